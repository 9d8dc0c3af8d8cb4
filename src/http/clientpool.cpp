#include "http/clientpool.h"

#include <algorithm>

namespace Laburnummast::Http
{
namespace
{

// A connection is discarded this long before its server would close it, so that no request is sent while the server is closing.
constexpr Millis keepAliveMargin = 1_s;

bool withinKeepAlive(const ClientConnection &connection, Millis now, Millis maxIdle)
{
    const auto maxAge = std::min(maxIdle, connection.serverKeepAlive() - keepAliveMargin);
    return connection.usable() && now - connection.idleSince() <= maxAge;
}

}

ClientPool::ClientPool(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server)
    : m_loop(loop)
    , m_server(server)
{
}

ClientPool::~ClientPool()
{
    closeIdle();
}

std::shared_ptr<ClientConnection> ClientPool::acquire(Millis now)
{
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        m_idle.pop_back();
        if (withinKeepAlive(*connection, now, connection->serverKeepAlive())) {
            ++m_counters.reused;
            return connection;
        }
        ++m_counters.discarded;
        connection->close();
    }
    ++m_counters.opened;
    return std::make_shared<ClientConnection>(m_loop, m_server);
}

void ClientPool::release(const std::shared_ptr<ClientConnection> &connection)
{
    if (connection->usable() && connection->server() == m_server) {
        m_idle.push_back(connection);
    }
}

void ClientPool::closeIdle()
{
    m_counters.discarded += m_idle.size();
    for (const auto &it : m_idle) {
        it->close();
    }
    m_idle.clear();
}

void ClientPool::closeExpired(Millis now, Millis maxIdle)
{
    std::erase_if(m_idle, [&](const auto &it) {
        if (withinKeepAlive(*it, now, maxIdle)) {
            return false;
        }
        it->close();
        return true;
    });
}

}
