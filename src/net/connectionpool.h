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
    Address address;
    std::size_t maxConnections = 16;
    /// A connection idle for longer is closed rather than trusted.
    Millis maxIdle{15000};
};

struct ConnectionPoolCounters
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t refused = 0;
    std::uint64_t retired = 0;
};

/// Why there is no connection.
enum class LeaseError : std::uint8_t {
    PoolFull,
    CannotConnect,
};

/// Bounded pool of kept-alive connections to one upstream.
class ConnectionPool
{
public:
    struct Lease
    {
        HttpConnection connection;
        bool newlyOpened = false;
    };

    explicit ConnectionPool(const ConnectionPoolOptions &options);

    /// Takes a connection that was used within `maxIdle`, or opens a new one.
    Result<Lease, LeaseError> acquire(Millis maxIdle);
    void release(HttpConnection connection);
    /// Ends a lease whose connection is not to be used again.
    void discard();
    /// The connection opened at `openedAt` went silent: drops every idle one that is no younger.
    void retireOpenedUpTo(Millis openedAt);
    /// Opens one connection ahead of need, if the pool has fewer than `wanted`.
    void warm(std::size_t wanted);
    /// Closes what has been idle too long. Connections are closed outside the lock: that can take a while.
    void closeExpired();

    std::size_t open() const;
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
