#include "core/fleet/upstreamtable.h"

namespace Laburnummast::Fleet
{
namespace
{

// The platform's contract guarantees that live upstreams have registered again by then.
constexpr Millis reregistrationTime = 2_s;

}

void UpstreamTable::put(const UpstreamRecord &record, Millis now)
{
    m_deferredRemovals.erase(record.id);
    auto &upstream = m_upstreams[record.id];
    if (upstream.record.id.empty() || upstream.record.startedAt != record.startedAt) {
        upstream.firstRecordAt = now;
    }
    upstream.record = record;
    upstream.warmUpEnd = now + record.warmUpRemaining;
}

void UpstreamTable::remove(std::string_view id, Millis now)
{
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
    m_upstreams.erase(it);
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

bool UpstreamTable::applyDeferredRemovals(Millis now)
{
    if (m_storeUnreachable || now < m_deferRemovalsUntil || m_deferredRemovals.empty()) {
        return false;
    }
    for (const auto &[id, removedAt] : m_deferredRemovals) {
        m_upstreams.erase(id);
    }
    m_deferredRemovals.clear();
    return true;
}

}
