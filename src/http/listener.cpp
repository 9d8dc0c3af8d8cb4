#include "http/listener.h"

#include <algorithm>
#include <chrono>

namespace Laburnummast::Http
{
namespace
{

constexpr int backlog = 1024;
// Delay after a failed accept, for example when file descriptors run out; retrying immediately would spin.
constexpr std::chrono::milliseconds acceptRetryDelay(50);

}

Listener::Listener(boost::asio::io_context &loop, ServerHandler handler)
    : m_acceptor(loop)
    , m_acceptRetryTimer(loop)
    , m_state(std::make_shared<ListenerState>())
{
    m_state->handler = std::move(handler);
}

Listener::~Listener()
{
    closeAll();
}

std::optional<boost::system::error_code> Listener::start(const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::system::error_code ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        m_acceptor.listen(backlog, ec);
    }
    if (ec) {
        return ec;
    }
    accept();
    return std::nullopt;
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const auto &ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (ec) {
            if (m_state->guard) {
                m_state->guard->makeRoomForConnections();
            }
            m_acceptRetryTimer.expires_after(acceptRetryDelay);
            m_acceptRetryTimer.async_wait([this](const auto &timerError) {
                if (!timerError) {
                    accept();
                }
            });
            return;
        }
        addConnection(std::move(socket));
        accept();
    });
}

void Listener::addConnection(boost::asio::ip::tcp::socket socket)
{
    ++m_state->counters.accepted;
    if (m_state->guard && !m_state->guard->admit()) {
        return;
    }
    // Not make_shared(): the weak pointers would keep the memory of connections that have ended.
    const std::shared_ptr<ServerConnection> connection(new ServerConnection(std::move(socket), m_state));
    removeExpired();
    m_connections.push_back(connection);
    connection->start();
}

void Listener::removeExpired()
{
    if (m_connections.size() < m_cleanupSize) {
        return;
    }
    std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
    m_cleanupSize = std::max<std::size_t>(64, m_connections.size() * 2);
}

void Listener::setLimits(const ServerLimits &limits)
{
    m_state->limits = limits;
}

void Listener::setBufferBudget(std::shared_ptr<BufferBudget> budget)
{
    m_state->budget = std::move(budget);
}

void Listener::setGuard(std::shared_ptr<ConnectionGuard> guard)
{
    m_state->guard = std::move(guard);
}

void Listener::beginDraining()
{
    m_state->draining = true;
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock()) {
            connection->beginDraining();
        }
    }
}

void Listener::stopAccepting()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    // Closing the socket would reset the connections that wait in its queue.
    while (!ec) {
        auto socket = m_acceptor.accept(ec);
        if (!ec) {
            addConnection(std::move(socket));
        }
    }
    m_acceptor.close(ec);
}

void Listener::refuseIncompleteRequests()
{
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock()) {
            connection->refuseIncompleteRequest();
        }
    }
}

void Listener::closeAll()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock()) {
            connection->close();
        }
    }
    m_connections.clear();
}

std::size_t Listener::unansweredRequests() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        const auto connection = it.lock();
        return connection && connection->hasUnansweredRequest();
    }));
}

std::size_t Listener::connectionCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        const auto connection = it.lock();
        return connection && !connection->closed();
    }));
}

boost::asio::ip::tcp::endpoint Listener::endpoint() const
{
    boost::system::error_code ec;
    return m_acceptor.local_endpoint(ec);
}

}
