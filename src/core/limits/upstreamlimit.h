#ifndef LABURNUMMAST_CORE_LIMITS_UPSTREAMLIMIT_H
#define LABURNUMMAST_CORE_LIMITS_UPSTREAMLIMIT_H

#include "core/limits/pacedshare.h"
#include "core/millis.h"

#include <cstdint>
#include <optional>

namespace Laburnummast::Limits
{

/// What an answer of an upstream said about the rate of calls that it accepts.
struct LimitObservation
{
    /// Calls per second from all daemons together; empty if the upstream accepts any rate.
    std::optional<double> perSecond;
    /// When this was known to hold: for a limit when the answer arrived, otherwise when its request was sent, because the upstream may
    /// have named a limit since.
    Millis at;
};

/// How an observation changed the limit in force.
enum class LimitChange : std::uint8_t {
    None,
    /// There was none before, or another one.
    Set,
    Ended,
};

/// Limit that an upstream last named, as observed by this daemon and others, and this daemon's use of its share.
class UpstreamLimit
{
public:
    /// Applies an observation unless a later one is known.
    LimitChange observe(const LimitObservation &observation, Millis now);

    /// Calls per second from all daemons together; empty if no limit is in force.
    std::optional<double> perSecond(Millis now) const;
    /// Sets the calls per second that this daemon may send while a limit is in force; see limitShare().
    void assignShare(double perSecond, Millis now)
    {
        m_share.assign(perSecond, now);
    }
    /// Whether this daemon may send some calls, now or later.
    bool hasShare(Millis now) const
    {
        return !perSecond(now) || share() > 0;
    }
    /// Calls per second that this daemon may send while a limit is in force.
    double share() const
    {
        return m_share.perSecond();
    }
    /// When this daemon may send the next call; empty if only other daemons may.
    std::optional<Millis> nextCallAt(Millis now) const;
    /// Whether this daemon may send a call now.
    bool allowsCall(Millis now) const;
    /// Counts a call that this daemon sent.
    void recordCall(Millis now)
    {
        m_share.recordCall(now);
    }
    /// The latest observation that was applied; empty before the first limit.
    const std::optional<LimitObservation> &latest() const
    {
        return m_latest;
    }

private:
    std::optional<LimitObservation> m_latest;
    /// A call that was not sent when the share allowed it may still be sent later.
    PacedShare m_share{1};
};

}

#endif
