#include "core/fleet/upstreamtable.h"

#include <utility>

namespace Laburnummast::Fleet
{
namespace
{

// The platform's contract guarantees that live upstreams have registered again by then.
constexpr Millis reregistrationTime = 2_s;
// How long a departure is remembered, to recognize it in an older copy of the store.
constexpr Millis departureMemory = 60_s;

}

void UpstreamTable::put(const UpstreamRecord &record, Millis now)
{
    if (now < m_holdOlderRecordsUntil && isOlder(record)) {
        m_heldRecords[record.id] = record;
        return;
    }
    m_heldRecords.erase(record.id);
    m_departures.erase(record.id);
    m_deferredRemovals.erase(record.id);
    auto &upstream = m_upstreams[record.id];
    if (upstream.record.id.empty() || upstream.record.startedAt != record.startedAt) {
        upstream.firstRecordAt = now;
    }
    upstream.record = record;
    upstream.warmUpEnd = now + record.warmUpRemaining;
}

bool UpstreamTable::isOlder(const UpstreamRecord &record) const
{
    if (const auto it = m_upstreams.find(record.id); it != m_upstreams.end()) {
        const auto &known = it->second.record;
        return record.startedAt < known.startedAt || (record.startedAt == known.startedAt && known.draining && !record.draining);
    }
    const auto it = m_departures.find(record.id);
    return it != m_departures.end() && record.startedAt <= it->second.startedAt && !record.draining;
}

void UpstreamTable::erase(std::string_view id, Millis now)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    std::erase_if(m_departures, [&](const auto &departure) { return now - departure.second.at > departureMemory; });
    m_departures[it->first] = {.startedAt = it->second.record.startedAt, .at = now};
    m_upstreams.erase(it);
}

void UpstreamTable::remove(std::string_view id, Millis now)
{
    m_heldRecords.erase(std::string(id));
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    // An upstream that announced draining has left and does not register again.
    if (!it->second.record.draining && (m_storeUnreachable || now < m_deferRemovalsUntil)) {
        m_deferredRemovals.try_emplace(std::string(id), now);
        return;
    }
    m_deferredRemovals.erase(std::string(id));
    erase(id, now);
}

void UpstreamTable::markStoreUnreachable()
{
    m_storeUnreachable = true;
}

void UpstreamTable::markStoreReachable(Millis now)
{
    if (m_storeUnreachable) {
        m_storeUnreachable = false;
        m_deferRemovalsUntil = now + reregistrationTime;
    }
}

void UpstreamTable::markStoreRestored(Millis now)
{
    m_deferRemovalsUntil = now + reregistrationTime;
    m_holdOlderRecordsUntil = now + reregistrationTime;
}

bool UpstreamTable::applyDeferredRemovals(Millis now)
{
    if (m_storeUnreachable || now < m_deferRemovalsUntil || m_deferredRemovals.empty()) {
        return false;
    }
    for (const auto &[id, removedAt] : m_deferredRemovals) {
        erase(id, now);
    }
    m_deferredRemovals.clear();
    return true;
}

bool UpstreamTable::applyHeldRecords(Millis now)
{
    if (m_storeUnreachable || now < m_holdOlderRecordsUntil || m_heldRecords.empty()) {
        return false;
    }
    for (const auto &[id, record] : std::exchange(m_heldRecords, {})) {
        put(record, now);
    }
    return true;
}

}
