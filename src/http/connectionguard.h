#ifndef LABURNUMMAST_HTTP_CONNECTIONGUARD_H
#define LABURNUMMAST_HTTP_CONNECTIONGUARD_H

#include "core/bufferbudget.h"
#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Laburnummast::Http
{

class ServerConnection;

/// What a connection does. If descriptors run out, connections are closed in this order.
enum class ConnectionActivity : std::uint8_t {
    /// Its client has stopped to send a request or to read a response, or sends many requests without waiting for their responses.
    Stalled,
    /// Without a request so far.
    New,
    /// Between two requests.
    Idle,
    /// Its client sends a request or reads a response.
    Transferring,
    /// A request is being handled.
    Working,
};

/// What a connection holds, to choose the connections that are closed.
struct ConnectionLoad
{
    ConnectionActivity activity = ConnectionActivity::Idle;
    /// Memory of the connection with the bodies that it receives or sends.
    std::uint64_t bytes = 0;
    /// Start of the transfer, or of the idle time.
    Millis since;
};

/// Why a connection was closed, or not accepted, although its client did nothing that a single connection may not do.
enum class GuardReason : std::uint8_t {
    /// Closed because others waited for memory.
    Memory,
    /// Closed because the limit for connections was reached.
    Connections,
    /// Not accepted, because the limit was reached and no connection could be closed.
    NotAccepted,
};

constexpr std::size_t guardReasonCount = 3;
/// Name of a reason in lower case with hyphens.
std::string_view nameOf(GuardReason reason);

/// Indexed by `GuardReason`; never decreases.
using GuardCounters = std::array<std::uint64_t, guardReasonCount>;

/// Limits the connections of one or several listeners on one event loop and closes some if memory or descriptors run out.
class ConnectionGuard
{
public:
    explicit ConnectionGuard(std::shared_ptr<BufferBudget> budget);
    ConnectionGuard(const ConnectionGuard &) = delete;
    ConnectionGuard &operator=(const ConnectionGuard &) = delete;

    /// Limit for open connections.
    void setMaxConnections(std::size_t n)
    {
        m_maxConnections = n;
    }
    /// Whether another connection may be accepted; closes others for it if need be.
    bool admit();
    /// Called by a connection that opens or closes.
    void add(ServerConnection &connection);
    void remove(ServerConnection &connection);
    /// Closes connections that hold much memory for long; `asking` stays open, and may be null. Does nothing if called again too soon.
    void makeRoomInMemory(const ServerConnection *asking);
    /// Closes connections because the process has no descriptor left.
    void makeRoomForConnections();

    const std::shared_ptr<BufferBudget> &budget() const
    {
        return m_budget;
    }
    const GuardCounters &counters() const
    {
        return m_counters;
    }
    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

private:
    struct Candidate
    {
        std::shared_ptr<ServerConnection> connection;
        ConnectionLoad load;
        double score = 0;
    };

    /// Connections that may be closed for `reason`, with a score for how much they hold and how long.
    std::vector<Candidate> candidates(const ServerConnection *asking, GuardReason reason) const;
    void closeSome(std::vector<Candidate> candidates, GuardReason reason);

    std::shared_ptr<BufferBudget> m_budget;
    std::unordered_set<ServerConnection *> m_connections;
    std::size_t m_maxConnections = SIZE_MAX;
    /// When room was last made, on the steady clock.
    Millis m_lastMemoryRoomAt{};
    Millis m_lastConnectionRoomAt{};
    GuardCounters m_counters{};
};

}

#endif
