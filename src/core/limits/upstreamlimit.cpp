#include "core/limits/upstreamlimit.h"

namespace Laburnummast::Limits
{
namespace
{

// A limit that no answer confirms for this long has lapsed. Much longer than the reports of other daemons need, or daemons that no
// longer call the upstream would forget a limit that is still in force.
constexpr Millis unconfirmedLifetime = 30_s;

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

std::optional<Millis> UpstreamLimit::nextCallAt(Millis now) const
{
    return perSecond(now) ? m_share.nextCallAt(now) : now;
}

bool UpstreamLimit::allowsCall(Millis now) const
{
    const auto at = nextCallAt(now);
    return at && *at <= now;
}

std::optional<double> UpstreamLimit::perSecond(Millis now) const
{
    return m_latest && now - m_latest->at <= unconfirmedLifetime ? m_latest->perSecond : std::nullopt;
}

}
