#include "http/connectionguard.h"

#include "http/serverconnection.h"
#include "process/wallclock.h"

#include <algorithm>
#include <limits>

namespace Laburnummast::Http
{
namespace
{

// Connections with a shorter transfer are not closed: a body of usual size arrives within this time.
constexpr Millis minTransferTime = 250_ms;
// Younger idle connections are not closed: their request may be on its way.
constexpr Millis minIdleTime = 500_ms;
// Transfers that make progress lose their connection to a new one only if they take longer than this.
constexpr Millis maxUndisturbedTime = 5000_ms;
// A client that has stopped counts as one that holds this many times as much.
constexpr double stalledWeight = 8;
// Making room looks at all connections, so it is done at most this often.
constexpr Millis roomInterval = 25_ms;
// Part of the connections that are closed each time.
constexpr std::size_t closedDivisor = 32;

}

std::string_view nameOf(GuardReason reason)
{
    constexpr std::array<std::string_view, guardReasonCount> names{"memory", "connections", "not-accepted"};
    return names[static_cast<std::size_t>(reason)];
}

ConnectionGuard::ConnectionGuard(std::shared_ptr<BufferBudget> budget)
    : m_budget(std::move(budget))
{
}

bool ConnectionGuard::admit()
{
    if (m_connections.size() >= m_maxConnections) {
        makeRoomForConnections();
    }
    if (m_connections.size() < m_maxConnections) {
        return true;
    }
    ++m_counters[static_cast<std::size_t>(GuardReason::NotAccepted)];
    return false;
}

void ConnectionGuard::add(ServerConnection &connection)
{
    m_connections.insert(&connection);
}

void ConnectionGuard::remove(ServerConnection &connection)
{
    m_connections.erase(&connection);
}

void ConnectionGuard::makeRoomInMemory(const ServerConnection *asking)
{
    const auto now = Process::steadyNow();
    if (now - m_lastMemoryRoomAt < roomInterval) {
        return;
    }
    m_lastMemoryRoomAt = now;
    closeSome(candidates(asking, GuardReason::Memory), GuardReason::Memory);
}

void ConnectionGuard::makeRoomForConnections()
{
    const auto now = Process::steadyNow();
    if (now - m_lastConnectionRoomAt < roomInterval) {
        return;
    }
    m_lastConnectionRoomAt = now;
    closeSome(candidates(nullptr, GuardReason::Connections), GuardReason::Connections);
}

std::vector<ConnectionGuard::Candidate> ConnectionGuard::candidates(const ServerConnection *asking, GuardReason reason) const
{
    const auto now = Process::steadyNow();
    const auto minAge = [&](ConnectionActivity activity) {
        switch (activity) {
        case ConnectionActivity::Stalled:
            return minTransferTime;
        case ConnectionActivity::New:
        case ConnectionActivity::Idle:
            return minIdleTime;
        case ConnectionActivity::Transferring:
            return reason == GuardReason::Memory ? minTransferTime : maxUndisturbedTime;
        case ConnectionActivity::Working:
            break;
        }
        return Millis{std::numeric_limits<double>::infinity()};
    };
    std::vector<Candidate> found;
    for (auto *it : m_connections) {
        auto connection = it->weak_from_this().lock();
        if (!connection) {
            continue;
        }
        const auto load = it->load();
        const auto age = now - load.since;
        const bool holdsMemory = load.activity == ConnectionActivity::Stalled || load.activity == ConnectionActivity::Transferring;
        if (it == asking || age < minAge(load.activity) || (reason == GuardReason::Memory && !holdsMemory)) {
            continue;
        }
        const auto weight = load.activity == ConnectionActivity::Stalled ? stalledWeight : 1;
        found.push_back({.connection = std::move(connection), .load = load, .score = weight * static_cast<double>(load.bytes) * age.count});
    }
    return found;
}

void ConnectionGuard::closeSome(std::vector<Candidate> candidates, GuardReason reason)
{
    const auto n = std::min(std::max<std::size_t>(1, m_connections.size() / closedDivisor), candidates.size());
    const auto isBefore = [reason](const Candidate &a, const Candidate &b) {
        const bool sameActivity = reason == GuardReason::Memory || a.load.activity == b.load.activity;
        return sameActivity ? a.score > b.score : a.load.activity < b.load.activity;
    };
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n), candidates.end(), isBefore);
    for (std::size_t i = 0; i < n; ++i) {
        ++m_counters[static_cast<std::size_t>(reason)];
        if (reason == GuardReason::Connections) {
            // A refusal would keep the descriptor until its client has read it.
            candidates[i].connection->close();
        } else {
            candidates[i].connection->evict();
        }
    }
}

}
