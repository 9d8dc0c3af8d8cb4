#include "net/connectionpool.h"

#include "process/wallclock.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace Laburnummast::Net
{
namespace
{

// Pause after a failed attempt to open a connection in advance.
constexpr Millis warmBackoff = 5_s;

}

ConnectionPool::ConnectionPool(const ConnectionPoolOptions &options)
    : m_options(options)
{
}

// Reuses the most recently used connection first, so that surplus connections expire when the load is low.
std::optional<HttpConnection> ConnectionPool::acquireIdle(Millis maxIdle)
{
    if (m_idle.empty() || Process::steadyNow() - m_idle.back().since > std::min(maxIdle, m_options.maxIdle)) {
        return std::nullopt;
    }
    auto connection = std::move(m_idle.back().connection);
    m_idle.pop_back();
    return connection;
}

Result<ConnectionPool::Lease, LeaseError> ConnectionPool::acquire(Millis maxIdle)
{
    {
        const std::lock_guard lock(m_mutex);
        if (auto idle = acquireIdle(maxIdle)) {
            ++m_counters.reused;
            return Lease{.connection = std::move(*idle), .newlyOpened = false};
        }
        if (m_open >= m_options.maxConnections && !m_idle.empty()) {
            m_idle.pop_front();
            --m_open;
        }
        if (m_open >= m_options.maxConnections) {
            ++m_counters.refused;
            return LeaseError::PoolFull;
        }
        ++m_open;
        ++m_counters.opened;
    }
    auto connection = HttpConnection::connect(m_options.address);
    if (std::holds_alternative<HttpError>(connection)) {
        discard();
        return LeaseError::CannotConnect;
    }
    return Lease{.connection = std::move(std::get<HttpConnection>(connection)), .newlyOpened = true};
}

void ConnectionPool::release(HttpConnection connection)
{
    const std::lock_guard lock(m_mutex);
    const bool mustRetire = connection.openedAt() <= m_retiredUpTo;
    if (!connection.reusable() || mustRetire) {
        --m_open;
        m_counters.retired += mustRetire ? 1 : 0;
        return;
    }
    m_idle.push_back({.connection = std::move(connection), .since = Process::steadyNow()});
}

void ConnectionPool::discard()
{
    const std::lock_guard lock(m_mutex);
    --m_open;
}

void ConnectionPool::retireOpenedUpTo(Millis openedAt)
{
    std::vector<Idle> toClose;
    const std::lock_guard lock(m_mutex);
    m_retiredUpTo = std::max(m_retiredUpTo, openedAt);
    const auto notRetired = [&](const Idle &it) { return it.connection.openedAt() > m_retiredUpTo; };
    const auto first = std::stable_partition(m_idle.begin(), m_idle.end(), notRetired);
    std::move(first, m_idle.end(), std::back_inserter(toClose));
    m_idle.erase(first, m_idle.end());
    m_open -= toClose.size();
    m_counters.retired += toClose.size();
}

void ConnectionPool::warm(std::size_t wanted)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_open >= std::min(wanted, m_options.maxConnections) || Process::steadyNow() < m_nextWarmAt) {
            return;
        }
        ++m_open;
        ++m_counters.opened;
    }
    auto connection = HttpConnection::connect(m_options.address);
    const std::lock_guard lock(m_mutex);
    if (std::holds_alternative<HttpError>(connection)) {
        --m_open;
        m_nextWarmAt = Process::steadyNow() + warmBackoff;
        return;
    }
    m_idle.push_front({.connection = std::move(std::get<HttpConnection>(connection)), .since = Process::steadyNow()});
}

void ConnectionPool::closeExpired()
{
    std::vector<Idle> toClose;
    const std::lock_guard lock(m_mutex);
    const auto now = Process::steadyNow();
    while (!m_idle.empty() && now - m_idle.front().since > m_options.maxIdle) {
        toClose.push_back(std::move(m_idle.front()));
        m_idle.pop_front();
        --m_open;
    }
}

std::size_t ConnectionPool::open() const
{
    const std::lock_guard lock(m_mutex);
    return m_open;
}

std::size_t ConnectionPool::idle() const
{
    const std::lock_guard lock(m_mutex);
    return m_idle.size();
}

ConnectionPoolCounters ConnectionPool::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

}
