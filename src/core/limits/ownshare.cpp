#include "core/limits/ownshare.h"

#include <algorithm>

namespace Laburnummast::Limits
{
namespace
{

// Part of the share that is used at first. In this time all daemons together get at most 0.24 s of the rate, which the overshoot has room
// for beside the leases that are out.
constexpr double firstPart = 0.2;
// Time after which the home must have noticed: it last heard this daemon at most one keep-alive's time-out before the share started.
constexpr Millis fullAfter = silentAfter + 200_ms;
constexpr double burstSeconds = 0.5;
constexpr Millis minRetryAfter = 200_ms;
constexpr Millis maxRetryAfter = 2_s;

}

void OwnShare::start(const Allowance &allowance, std::size_t knownDaemons, Millis now)
{
    m_bucket = Retry::TokenBucket(0, 0);
    m_startedAt = now;
    m_isFull = false;
    advance(allowance, knownDaemons, now);
}

void OwnShare::advance(const Allowance &allowance, std::size_t knownDaemons, Millis now)
{
    // The bucket is filled at the rate that was set before, up to the time of each change.
    if (!m_isFull && now >= m_startedAt + fullAfter) {
        m_bucket.take(0, m_startedAt + fullAfter);
        m_isFull = true;
        setRate(allowance, knownDaemons);
    }
    m_bucket.take(0, now);
    setRate(allowance, knownDaemons);
}

void OwnShare::setRate(const Allowance &allowance, std::size_t knownDaemons)
{
    const double share = knownDaemons == 0 ? 0 : allowance.perSecond / static_cast<double>(knownDaemons);
    m_perSecond = share * (m_isFull ? 1 : firstPart);
    m_bucket.setRate(m_perSecond, m_perSecond > 0 ? std::max(1.0, m_perSecond * burstSeconds) : 0);
}

bool OwnShare::take(const Allowance &allowance, std::size_t knownDaemons, Millis now)
{
    advance(allowance, knownDaemons, now);
    return m_bucket.take(1, now);
}

Millis OwnShare::retryAfter(Millis now)
{
    return m_perSecond > 0 ? std::clamp(m_bucket.timeUntil(1, now), minRetryAfter, maxRetryAfter) : maxRetryAfter;
}

}
