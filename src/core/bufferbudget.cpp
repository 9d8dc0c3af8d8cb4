#include "core/bufferbudget.h"

#include <algorithm>

namespace Laburnummast
{
namespace
{

// Memory of an idle process without connections; of a small process at most half.
constexpr std::uint64_t idleProcessBytes = 14000000;
// Shares of the memory beyond that. The rest is for the state of a large deployment, for the fragmentation of the heap and for a buffer
// that is copied while it grows.
constexpr double requestShare = 0.55;
constexpr double totalShare = 0.7;
constexpr double smallBodyShare = 0.08;
constexpr double connectionShare = 0.1;
constexpr std::uint64_t maxSmallBodyBytes = 65536;
// Part of the memory for bodies that connections may use while no body does.
constexpr std::uint64_t overflowDivisor = 4;

std::uint64_t shareOf(std::uint64_t bytes, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(bytes) * share);
}

}

BufferBudgetOptions BufferBudgetOptions::forMemory(std::uint64_t memoryBytes)
{
    const auto usable = memoryBytes - std::min(memoryBytes / 2, idleProcessBytes);
    return {.requestBytes = shareOf(usable, requestShare),
            .totalBytes = shareOf(usable, totalShare),
            .smallBodyBytes = shareOf(usable, smallBodyShare),
            .connectionBytes = shareOf(usable, connectionShare)};
}

BufferBudget::BufferBudget(const BufferBudgetOptions &options)
    : m_options(options)
{
}

bool BufferBudget::canHold(BufferUse use, std::uint64_t bytes) const
{
    return bytes <= (use == BufferUse::Request ? m_options.requestBytes : m_options.totalBytes);
}

bool BufferBudget::raise(BufferUse use, std::uint64_t from, std::uint64_t to)
{
    const auto added = to - from;
    if (use == BufferUse::Connection) {
        return raiseForConnection(added);
    }
    const auto taken = m_reserved + connectionOverflow(m_reservedForConnections);
    const bool small = to <= maxSmallBodyBytes;
    const bool requestFits = use == BufferUse::Answer || small || m_reservedForRequests + added <= m_options.requestBytes;
    if (!requestFits || taken + added > m_options.totalBytes + (small ? m_options.smallBodyBytes : 0)) {
        return false;
    }
    m_reserved += added;
    m_reservedForRequests += use == BufferUse::Request ? added : 0;
    m_peak = std::max(m_peak, m_reserved);
    return true;
}

bool BufferBudget::raiseForConnection(std::uint64_t added)
{
    const auto overflow = connectionOverflow(m_reservedForConnections + added);
    if (overflow > m_options.totalBytes / overflowDivisor || (overflow > 0 && m_reserved + overflow > m_options.totalBytes)) {
        return false;
    }
    m_reservedForConnections += added;
    return true;
}

std::uint64_t BufferBudget::connectionOverflow(std::uint64_t connectionBytes) const
{
    return connectionBytes - std::min(connectionBytes, m_options.connectionBytes);
}

void BufferBudget::release(BufferUse use, std::uint64_t bytes)
{
    if (use == BufferUse::Connection) {
        m_reservedForConnections -= bytes;
        return;
    }
    m_reserved -= bytes;
    m_reservedForRequests -= use == BufferUse::Request ? bytes : 0;
}

BufferReservation::BufferReservation(std::shared_ptr<BufferBudget> budget, BufferUse use)
    : m_budget(std::move(budget))
    , m_use(use)
{
}

BufferReservation::~BufferReservation()
{
    m_budget->release(m_use, m_bytes);
}

bool BufferReservation::raiseTo(std::uint64_t bytes)
{
    if (bytes <= m_bytes) {
        return true;
    }
    if (!m_budget->raise(m_use, m_bytes, bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

void BufferReservation::lowerTo(std::uint64_t bytes)
{
    if (bytes < m_bytes) {
        m_budget->release(m_use, m_bytes - bytes);
        m_bytes = bytes;
    }
}

}
