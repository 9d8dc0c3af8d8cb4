#include "core/limits/coldlimit.h"

#include <algorithm>

namespace Laburnummast::Limits
{
namespace
{

// A probe proves for this long after it was sent that the upstream is warm. A full upstream gets a few calls in this time, well below the
// slack of the bound; a shorter time would need a probe for almost every call.
constexpr Millis proofLifetime = 40_ms;
// A cold upstream that a daemon has not called for this long after its share allowed it goes first. A new upstream has to get calls within
// 4 s.
constexpr Millis neglectTime = 1_s;
// Calls of evenly paced shares in any second, as a multiple of their sum: each of the daemons, of which there is one for 2 calls a second,
// may send one call more than its share.
constexpr double pacingExcess = 1.5;
// Part of the slack that is left to calls sent before the daemons learn that the upstream is cold.
constexpr double unknowingSlackShare = 0.5;

}

double dividedColdRate(double perSecond, const ColdBound &bound)
{
    const double allowed = perSecond * bound.overshoot + bound.slack * (1 - unknowingSlackShare);
    return std::min(perSecond, allowed / pacingExcess);
}

void ColdLimit::configure(double perSecond, Millis warmUpEnd)
{
    m_perSecond = perSecond;
    // An unchanged record must not undo what a later probe stated.
    if (warmUpEnd != m_warmUpEnd) {
        m_warmUpEnd = warmUpEnd;
        m_coldUntil = std::max(m_coldUntil, warmUpEnd);
    }
}

void ColdLimit::observeProbe(const std::optional<Millis> &remaining, Millis sentAt, Millis now)
{
    m_probedAt = sentAt;
    if (remaining) {
        m_coldUntil = now + *remaining;
    }
}

bool ColdLimit::isKnown(Millis now) const
{
    return !isLimited() || isCold(now) || (m_probedAt && now - *m_probedAt <= proofLifetime);
}

std::optional<Millis> ColdLimit::nextCallAt(Millis now) const
{
    return isCold(now) ? m_share.nextCallAt(now) : now;
}

bool ColdLimit::allowsSending(Millis now) const
{
    if (!isCold(now) && isKnown(now)) {
        return true;
    }
    const auto at = m_share.nextCallAt(now);
    return at && *at <= now;
}

bool ColdLimit::isNeglected(Millis now) const
{
    return isCold(now) && m_share.unusedFor(now) >= neglectTime;
}

}
