#ifndef LABURNUMMAST_HTTP_LISTENER_H
#define LABURNUMMAST_HTTP_LISTENER_H

#include "http/serverconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Http
{

/// Accepts the connections of one address on an event loop.
class Listener
{
public:
    Listener(boost::asio::io_context &loop, ServerHandler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Binds and starts to accept. Returns the failure, if there is one.
    std::optional<boost::system::error_code> start(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Later connections and answers follow the new limits.
    void setLimits(const ServerLimits &limits);
    /// Closes idle connections now and the others after their answers; still accepts.
    void beginDraining();
    void stopAccepting();
    /// Closes every connection at once.
    void closeAll();

    bool hasBusyConnections() const;
    std::size_t connectionCount() const;
    const ServerCounters &counters() const
    {
        return m_state->counters;
    }
    /// The address it listens on; differs from the one asked for if that had port 0.
    boost::asio::ip::tcp::endpoint endpoint() const;

private:
    void accept();
    void removeExpired();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::shared_ptr<ListenerState> m_state;
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    std::size_t m_cleanupSize = 64;
};

}

#endif
