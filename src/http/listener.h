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

/// Accepts HTTP connections on one address and runs them on an event loop.
class Listener
{
public:
    Listener(boost::asio::io_context &loop, ServerHandler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Binds to `endpoint` and starts accepting. Returns the error if that fails.
    std::optional<boost::system::error_code> start(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Later requests and responses use the new limits, also on open connections.
    void setLimits(const ServerLimits &limits);
    /// Limits the memory for the bodies of requests. To be called before start().
    void setBufferBudget(std::shared_ptr<BufferBudget> budget);
    /// Limits the connections, also together with those of other listeners. To be called before start().
    void setGuard(std::shared_ptr<ConnectionGuard> guard);
    /// Closes idle connections now and each other one after the responses to the requests that it has received. New connections are
    /// still accepted, and closed after their first response.
    void beginDraining();
    /// Accepts the connections that are already established and closes the listening socket; open connections stay.
    void stopAccepting();
    /// Closes connections without a request and rejects requests that have not been received completely.
    void refuseIncompleteRequests();
    /// Stops accepting and closes every connection immediately.
    void closeAll();

    /// Number of connections on which a request, or a part of one, has arrived whose response is not sent yet.
    std::size_t unansweredRequests() const;
    /// Number of open connections.
    std::size_t connectionCount() const;
    const ServerCounters &counters() const
    {
        return m_state->counters;
    }
    /// The bound address, with the port that the system assigned if start() was given port 0.
    boost::asio::ip::tcp::endpoint endpoint() const;

private:
    void accept();
    void addConnection(boost::asio::ip::tcp::socket socket);
    void removeExpired();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::shared_ptr<ListenerState> m_state;
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    /// Size of `m_connections` from which expired entries are removed before the next one is added.
    std::size_t m_cleanupSize = 64;
};

}

#endif
