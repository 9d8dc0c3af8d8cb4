#ifndef LABURNUMMAST_HTTP_CLIENTPOOL_H
#define LABURNUMMAST_HTTP_CLIENTPOOL_H

#include "http/clientconnection.h"

#include <memory>
#include <string_view>
#include <vector>

namespace Laburnummast::Http
{

struct ClientPoolCounters
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /// Idle connections that were closed rather than trusted.
    std::uint64_t discarded = 0;
};

/// Idle connections to one server; the one used last is given out first.
class ClientPool
{
public:
    ClientPool(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);
    ~ClientPool();
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;

    /// An idle connection that the server still keeps, or a new one.
    std::shared_ptr<ClientConnection> acquire(Millis now);
    void release(const std::shared_ptr<ClientConnection> &connection);
    /// One connection went silent: its idle siblings cannot be trusted either.
    void closeIdle();
    /// Closes what has been idle for longer than `maxIdle` or than the server keeps it.
    void closeExpired(Millis now, Millis maxIdle);

    const boost::asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }
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
