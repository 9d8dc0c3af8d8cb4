#include "core/limits/upstreamlimit.h"

#include <algorithm>

namespace Laburnummast::Limits
{
namespace
{

// A limit that no answer confirms for this long has lapsed. Much longer than the reports of other daemons need, or daemons that no
// longer call the upstream would forget a limit that is still in force.
constexpr Millis unconfirmedLifetime = 30_s;
// Calls that a daemon did not send when its share allowed them and may still send later.
constexpr double maxUnusedCalls = 1;

}

LimitChange UpstreamLimit::observe(const LimitObservation &observation, Millis now)
{
    const auto before = perSecond(now);
    // Without a limit there is nothing that an answer without a limit could end.
    if ((m_latest && observation.at <= m_latest->at) || (!m_latest && !observation.perSecond)) {
        return LimitChange::None;
    }
    m_latest = observation;
    const auto after = perSecond(now);
    if (before == after) {
        return LimitChange::None;
    }
    return after ? LimitChange::Set : LimitChange::Ended;
}

void UpstreamLimit::assignShare(double perSecond, Millis now)
{
    if (m_share <= 0 && perSecond > 0) {
        // The daemon that had this share may just have used it.
        m_nextCallAt = now + 1_s * (1 / perSecond);
    }
    m_share = perSecond;
}

std::optional<Millis> UpstreamLimit::nextCallAt(Millis now) const
{
    if (!perSecond(now)) {
        return now;
    }
    return m_share > 0 ? std::optional(std::max(now, m_nextCallAt)) : std::nullopt;
}

bool UpstreamLimit::allowsCall(Millis now) const
{
    const auto at = nextCallAt(now);
    return at && *at <= now;
}

void UpstreamLimit::recordCall(Millis now)
{
    if (m_share > 0) {
        const auto interval = 1_s * (1 / m_share);
        m_nextCallAt = std::max(m_nextCallAt, now - interval * maxUnusedCalls) + interval;
    }
}

std::optional<double> UpstreamLimit::perSecond(Millis now) const
{
    return m_latest && now - m_latest->at <= unconfirmedLifetime ? m_latest->perSecond : std::nullopt;
}

}
