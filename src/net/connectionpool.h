#ifndef LABURNUMMAST_NET_CONNECTIONPOOL_H
#define LABURNUMMAST_NET_CONNECTIONPOOL_H

#include "core/millis.h"
#include "net/httpclient.h"

#include <deque>
#include <mutex>
#include <optional>

namespace Laburnummast::Net
{

struct ConnectionPoolOptions
{
    /// The upstream that the connections lead to.
    Address address;
    /// Limit for all open connections, idle or in use.
    std::size_t maxConnections = 16;
    /// A connection that has been idle for longer is closed, because the upstream may no longer keep it.
    Millis maxIdle{15000};
};

/// Counts since the creation of a pool.
struct ConnectionPoolCounters
{
    /// Attempts to open a connection.
    std::uint64_t opened = 0;
    /// Leases of an idle connection.
    std::uint64_t reused = 0;
    /// Requests for a connection that failed because the pool was full.
    std::uint64_t refused = 0;
    /// Connections closed by retireOpenedUpTo().
    std::uint64_t retired = 0;
};

/// Why acquire() returned no connection.
enum class LeaseError : std::uint8_t {
    PoolFull,
    CannotConnect,
};

/// Thread-safe, bounded pool of persistent connections to one upstream.
class ConnectionPool
{
public:
    /// An acquired connection; it counts as open until release() or discard().
    struct Lease
    {
        HttpConnection connection;
        bool newlyOpened = false;
    };

    explicit ConnectionPool(const ConnectionPoolOptions &options);

    /// Returns a connection that was used within `maxIdle`, and within the limit of the options, or opens a new one.
    Result<Lease, LeaseError> acquire(Millis maxIdle);
    /// Returns a connection to the pool; it is closed if it is not reusable or has been retired.
    void release(HttpConnection connection);
    /// Ends a lease whose connection must not be used again.
    void discard();
    /// Closes every connection that was opened at or before `openedAt`, idle ones now and leased ones on release().
    ///
    /// Called when the connection opened at `openedAt` stopped responding: older ones may be dead as well.
    void retireOpenedUpTo(Millis openedAt);
    /// Opens one idle connection in advance if the pool has fewer than `wanted` open connections.
    void warm(std::size_t wanted);
    /// Closes connections that have been idle for longer than `maxIdle`, outside the lock because closing can take a while.
    void closeExpired();

    /// Number of open connections, idle or leased.
    std::size_t open() const;
    /// Number of idle connections.
    std::size_t idle() const;
    ConnectionPoolCounters counters() const;
    const Address &address() const
    {
        return m_options.address;
    }

private:
    struct Idle
    {
        HttpConnection connection;
        Millis since;
    };

    std::optional<HttpConnection> acquireIdle(Millis maxIdle);

    ConnectionPoolOptions m_options;
    mutable std::mutex m_mutex;
    std::deque<Idle> m_idle;
    std::size_t m_open = 0;
    Millis m_retiredUpTo{-1};
    Millis m_nextWarmAt{-1};
    ConnectionPoolCounters m_counters;
};

}

#endif
