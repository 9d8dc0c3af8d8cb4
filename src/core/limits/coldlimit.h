#ifndef LABURNUMMAST_CORE_LIMITS_COLDLIMIT_H
#define LABURNUMMAST_CORE_LIMITS_COLDLIMIT_H

#include "core/limits/pacedshare.h"
#include "core/millis.h"

#include <optional>

namespace Laburnummast::Limits
{

/// Calls that a cold upstream may get in any second: a multiple of the rate that it tolerates, plus a number.
struct ColdBound
{
    double overshoot = 1.5;
    double slack = 8;

    friend bool operator==(const ColdBound &, const ColdBound &) = default;
};

/// Rate to divide among the daemons so that the bound holds for an upstream that tolerates `perSecond` while it is cold.
double dividedColdRate(double perSecond, const ColdBound &bound);

/// Whether an upstream is cold, and this daemon's use of its share of the calls that the upstream tolerates then.
///
/// An upstream can turn cold at any time. One that no recent probe proves to be warm is treated as cold when a call is sent, so that
/// knowledge that is out of date cannot exceed the bound.
class ColdLimit
{
public:
    /// Sets the tolerated calls per second from all daemons together, 0 if there is no limit, and the end of the warm-up time according
    /// to the upstream's record.
    void configure(double perSecond, Millis warmUpEnd);
    /// Applies an answered probe: the remaining time that it stated, empty if it stated none.
    void observeProbe(const std::optional<Millis> &remaining, Millis sentAt, Millis now);
    void assignShare(double perSecond, Millis now)
    {
        m_share.assign(perSecond, now);
    }

    /// Calls per second that the upstream tolerates while it is cold; 0 if there is no limit.
    double perSecond() const
    {
        return m_perSecond;
    }
    bool isLimited() const
    {
        return m_perSecond > 0;
    }
    /// Known to be cold, with a limit.
    bool isCold(Millis now) const
    {
        return isLimited() && now < m_coldUntil;
    }
    /// Whether a call may be sent without another probe: there is no limit, the upstream is cold, or it is proven to be warm.
    bool isKnown(Millis now) const;
    /// Calls per second that this daemon may send while the upstream is cold.
    double share() const
    {
        return m_share.perSecond();
    }
    /// When this daemon may consider the upstream for the next call; empty if only other daemons may while it is cold.
    std::optional<Millis> nextCallAt(Millis now) const;
    /// Whether a call may be sent now with what is known.
    bool allowsSending(Millis now) const;
    /// Whether this daemon has not used its share of a cold upstream for so long that the upstream may be without any calls.
    bool isNeglected(Millis now) const;
    /// Counts a call that this daemon sent.
    void recordCall(Millis now)
    {
        m_share.recordCall(now);
    }

private:
    double m_perSecond = 0;
    Millis m_warmUpEnd{-1};
    Millis m_coldUntil{-1};
    /// When the last answered probe was sent.
    std::optional<Millis> m_probedAt;
    /// No call is kept for later: calls kept by all daemons with a share could arrive in the same second.
    PacedShare m_share{0};
};

}

#endif
