#ifndef LABURNUMMAST_CORE_BUFFERBUDGET_H
#define LABURNUMMAST_CORE_BUFFERBUDGET_H

#include <cstdint>
#include <functional>
#include <memory>

namespace Laburnummast
{

/// What memory is held for.
enum class BufferUse : std::uint8_t {
    /// Body of a request, which can still be refused.
    Request,
    /// Body of an answer to a call that has run.
    Answer,
    /// An open connection: its state, received bytes that are not parsed, heads, and answers of the daemon's own.
    Connection,
};

/// Limits of a BufferBudget.
struct BufferBudgetOptions
{
    /// For the bodies of requests, so that answers always find some room.
    std::uint64_t requestBytes = 0;
    /// For all bodies together.
    std::uint64_t totalBytes = 0;
    /// For small bodies beyond `totalBytes`, so that they find room while large ones fill the rest.
    std::uint64_t smallBodyBytes = 0;
    /// For connections. Beyond it they may take a part of `totalBytes` that no body uses.
    std::uint64_t connectionBytes = 0;

    /// Limits for a process that may use `memoryBytes` in total.
    static BufferBudgetOptions forMemory(std::uint64_t memoryBytes);
};

/// Limits the memory that clients and upstreams make a process hold; a BufferReservation counts one body or one connection.
class BufferBudget
{
public:
    explicit BufferBudget(const BufferBudgetOptions &options);

    /// Whether a body of this size could be held if there were no other.
    bool canHold(BufferUse use, std::uint64_t bytes) const;
    /// Bytes that are reserved now, and the most that have been.
    std::uint64_t reservedBytes() const
    {
        return m_reserved;
    }
    std::uint64_t peakBytes() const
    {
        return m_peak;
    }
    /// Bytes that are reserved for connections now; not part of reservedBytes().
    std::uint64_t connectionBytes() const
    {
        return m_reservedForConnections;
    }
    const BufferBudgetOptions &options() const
    {
        return m_options;
    }

    /// Sets what is called when a reservation has waited for memory.
    void setShortageHandler(std::function<void()> handler)
    {
        m_onShortage = std::move(handler);
    }
    /// To be called by the holder of a reservation that has waited for memory.
    void reportShortage() const
    {
        if (m_onShortage) {
            m_onShortage();
        }
    }

private:
    friend class BufferReservation;
    /// Replaces a reservation of `from` bytes by one of `to` bytes unless a limit forbids it; returns whether it did.
    bool raise(BufferUse use, std::uint64_t from, std::uint64_t to);
    bool raiseForConnection(std::uint64_t added);
    void release(BufferUse use, std::uint64_t bytes);
    /// What `connectionBytes` would exceed its share by.
    std::uint64_t connectionOverflow(std::uint64_t connectionBytes) const;

    BufferBudgetOptions m_options;
    std::function<void()> m_onShortage;
    std::uint64_t m_reserved = 0;
    std::uint64_t m_reservedForRequests = 0;
    std::uint64_t m_reservedForConnections = 0;
    std::uint64_t m_peak = 0;
};

/// Memory reserved for one body or connection, until it is destroyed.
class BufferReservation
{
public:
    BufferReservation(std::shared_ptr<BufferBudget> budget, BufferUse use);
    ~BufferReservation();
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;

    /// Makes sure that at least `bytes` are reserved; returns false, with nothing changed, if the budget does not allow it.
    bool raiseTo(std::uint64_t bytes);
    /// Gives back what is reserved beyond `bytes`.
    void lowerTo(std::uint64_t bytes);
    std::uint64_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<BufferBudget> m_budget;
    BufferUse m_use;
    std::uint64_t m_bytes = 0;
};

}

#endif
