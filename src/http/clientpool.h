#ifndef LABURNUMMAST_HTTP_CLIENTPOOL_H
#define LABURNUMMAST_HTTP_CLIENTPOOL_H

#include "http/clientconnection.h"

#include <memory>
#include <string_view>
#include <vector>

namespace Laburnummast::Http
{

/// Connection counts of a pool since its creation.
struct ClientPoolCounters
{
    /// New connections that acquire() returned.
    std::uint64_t opened = 0;
    /// Idle connections that acquire() returned.
    std::uint64_t reused = 0;
    /// Idle connections closed by acquire() or closeIdle() because the server may no longer keep them.
    std::uint64_t discarded = 0;
};

/// Idle connections to one server; the most recently used one is reused first.
class ClientPool
{
public:
    ClientPool(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);
    ~ClientPool();
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;

    /// Returns an idle connection within the server's keep-alive timeout, or a new connection.
    std::shared_ptr<ClientConnection> acquire(Millis now);
    /// Returns a connection to the pool; one that is not usable is ignored.
    void release(const std::shared_ptr<ClientConnection> &connection);
    /// Closes all idle connections; called when an exchange with the server failed, since the others may be dead as well.
    void closeIdle();
    /// Closes connections that have been idle for longer than `maxIdle` or the server's keep-alive timeout.
    void closeExpired(Millis now, Millis maxIdle);

    const boost::asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }
    /// Number of idle connections.
    std::size_t idle() const
    {
        return m_idle.size();
    }
    const ClientPoolCounters &counters() const
    {
        return m_counters;
    }

private:
    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::endpoint m_server;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
    ClientPoolCounters m_counters;
};

}

#endif
