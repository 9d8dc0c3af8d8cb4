#include "http/clientpool.h"

#include <algorithm>

namespace Laburnummast::Http
{
namespace
{

// A connection is given up this long before its server would close it: a request must not cross that close.
constexpr Millis closeMargin = 1_s;

bool trusted(const ClientConnection &connection, Millis now, Millis maxIdle)
{
    const auto keeps = std::min(maxIdle, connection.serverKeepsIdle() - closeMargin);
    return connection.usable() && now - connection.idleSince() <= keeps;
}

}

ClientPool::ClientPool(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server)
    : m_loop(loop)
    , m_server(server)
{
}

ClientPool::~ClientPool()
{
    dropIdle();
}

std::shared_ptr<ClientConnection> ClientPool::take(Millis now)
{
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        m_idle.pop_back();
        if (trusted(*connection, now, connection->serverKeepsIdle())) {
            ++m_counters.reused;
            return connection;
        }
        ++m_counters.dropped;
        connection->close();
    }
    ++m_counters.opened;
    return std::make_shared<ClientConnection>(m_loop, m_server);
}

void ClientPool::giveBack(const std::shared_ptr<ClientConnection> &connection)
{
    if (connection->usable() && connection->server() == m_server) {
        m_idle.push_back(connection);
    }
}

void ClientPool::dropIdle()
{
    m_counters.dropped += m_idle.size();
    for (const auto &it : m_idle) {
        it->close();
    }
    m_idle.clear();
}

void ClientPool::sweep(Millis now, Millis maxIdle)
{
    std::erase_if(m_idle, [&](const auto &it) {
        if (trusted(*it, now, maxIdle)) {
            return false;
        }
        it->close();
        return true;
    });
}

}
