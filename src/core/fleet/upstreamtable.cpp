#include "core/fleet/upstreamtable.h"

namespace Laburnummast::Fleet
{
namespace
{

// Live upstreams have registered again by then, says the platform's contract.
constexpr Millis returnGrace = 2_s;

}

void UpstreamTable::put(const UpstreamRecord &record, Millis now)
{
    m_removals.erase(record.id);
    auto &known = m_upstreams[record.id];
    if (known.record.id.empty() || known.record.startedAt != record.startedAt) {
        known.since = now;
    }
    known.record = record;
    known.coldUntil = now + record.coldFor;
}

void UpstreamTable::remove(std::string_view id, Millis now)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    // One that said it drains has left: nothing of it comes back.
    if (!it->second.record.draining && (m_away || now < m_trustFrom)) {
        m_removals.try_emplace(std::string(id), now);
        return;
    }
    m_removals.erase(std::string(id));
    m_upstreams.erase(it);
}

void UpstreamTable::storeAway()
{
    m_away = true;
}

void UpstreamTable::storeBack(Millis now)
{
    if (m_away) {
        m_away = false;
        m_trustFrom = now + returnGrace;
    }
}

bool UpstreamTable::tick(Millis now)
{
    if (m_away || now < m_trustFrom || m_removals.empty()) {
        return false;
    }
    for (const auto &[id, since] : m_removals) {
        m_upstreams.erase(id);
    }
    m_removals.clear();
    return true;
}

}
