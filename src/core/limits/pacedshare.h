#ifndef LABURNUMMAST_CORE_LIMITS_PACEDSHARE_H
#define LABURNUMMAST_CORE_LIMITS_PACEDSHARE_H

#include "core/millis.h"

#include <algorithm>
#include <optional>

namespace Laburnummast::Limits
{

/// This daemon's share of a rate of calls, used at even intervals.
class PacedShare
{
public:
    /// `maxUnusedCalls` are kept for later if they are not sent when the share allows them.
    explicit PacedShare(double maxUnusedCalls)
        : m_maxUnusedCalls(maxUnusedCalls)
    {
    }

    void assign(double perSecond, Millis now)
    {
        if (m_perSecond <= 0 && perSecond > 0) {
            // The daemon that had this share may just have used it.
            m_nextCallAt = now + 1_s * (1 / perSecond);
        }
        m_perSecond = perSecond;
    }
    /// Calls per second.
    double perSecond() const
    {
        return m_perSecond;
    }
    /// When the next call may be sent, `now` at the earliest; empty if the share is 0.
    std::optional<Millis> nextCallAt(Millis now) const
    {
        return m_perSecond > 0 ? std::optional(std::max(now, m_nextCallAt)) : std::nullopt;
    }
    /// Time for which a call could have been sent and was not.
    Millis unusedFor(Millis now) const
    {
        return m_perSecond > 0 ? std::max(0_ms, now - m_nextCallAt) : 0_ms;
    }
    void recordCall(Millis now)
    {
        if (m_perSecond > 0) {
            const auto interval = 1_s * (1 / m_perSecond);
            m_nextCallAt = std::max(m_nextCallAt, now - interval * m_maxUnusedCalls) + interval;
        }
    }

private:
    double m_maxUnusedCalls;
    double m_perSecond = 0;
    Millis m_nextCallAt{};
};

}

#endif
