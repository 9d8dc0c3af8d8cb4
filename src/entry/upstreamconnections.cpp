#include "entry/upstreamconnections.h"

namespace Laburnummast::Entry
{
namespace
{

// Connections that are idle for longer are closed, because they are not worth a file descriptor.
constexpr Millis maxIdle = 30_s;

}

UpstreamConnections::UpstreamConnections(boost::asio::io_context &loop)
    : m_loop(loop)
{
}

void UpstreamConnections::setAddresses(Addresses addresses)
{
    m_addresses = std::move(addresses);
}

const Membership::Address *UpstreamConnections::addressOf(std::string_view upstream) const
{
    const auto it = m_addresses.find(upstream);
    return it == m_addresses.end() ? nullptr : &it->second;
}

std::shared_ptr<Http::ClientConnection> UpstreamConnections::acquire(std::string_view upstream, Millis now)
{
    const auto *address = addressOf(upstream);
    if (address == nullptr) {
        return nullptr;
    }
    boost::system::error_code ec;
    const boost::asio::ip::tcp::endpoint server(boost::asio::ip::make_address(address->ip, ec), address->port);
    auto it = m_pools.find(upstream);
    // An upstream may keep its id when it restarts at another address.
    if (it != m_pools.end() && it->second->server() != server) {
        keepCounters(*it->second);
        m_pools.erase(it);
        it = m_pools.end();
    }
    if (it == m_pools.end()) {
        it = m_pools.emplace(std::string(upstream), std::make_unique<Http::ClientPool>(m_loop, server)).first;
    }
    return it->second->acquire(now);
}

void UpstreamConnections::release(std::string_view upstream, const std::shared_ptr<Http::ClientConnection> &connection)
{
    const auto it = m_pools.find(upstream);
    if (it != m_pools.end()) {
        it->second->release(connection);
    }
}

void UpstreamConnections::closeIdle(std::string_view upstream)
{
    const auto it = m_pools.find(upstream);
    if (it != m_pools.end()) {
        it->second->closeIdle();
    }
}

void UpstreamConnections::closeExpired(Millis now)
{
    std::erase_if(m_pools, [&](const auto &it) {
        it.second->closeExpired(now, maxIdle);
        const bool gone = !m_addresses.contains(it.first);
        if (gone) {
            keepCounters(*it.second);
        }
        return gone;
    });
}

void UpstreamConnections::keepCounters(const Http::ClientPool &pool)
{
    m_closedPoolCounters.opened += pool.counters().opened;
    m_closedPoolCounters.reused += pool.counters().reused;
    m_closedPoolCounters.discarded += pool.counters().discarded;
}

Http::ClientPoolCounters UpstreamConnections::counters() const
{
    auto total = m_closedPoolCounters;
    for (const auto &[upstream, it] : m_pools) {
        total.opened += it->counters().opened;
        total.reused += it->counters().reused;
        total.discarded += it->counters().discarded;
    }
    return total;
}

}
