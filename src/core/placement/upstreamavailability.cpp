#include "core/placement/upstreamavailability.h"

#include <algorithm>

namespace Laburnummast::Placement
{
namespace
{

// An upstream that states a longer pause is tried again after this time.
constexpr Millis maxPause = 3600_s;

}

AvailabilityChange UpstreamAvailability::apply(const AvailabilityNotice &notice, Millis now)
{
    if (notice.leaving && !m_leaving) {
        m_leaving = true;
        return AvailabilityChange::Leaving;
    }
    if (m_leaving || !notice.pause) {
        return AvailabilityChange::None;
    }
    const auto pausedUntil = now + std::min(*notice.pause, maxPause);
    if (pausedUntil <= std::max(now, m_pausedUntil)) {
        return AvailabilityChange::None;
    }
    const bool wasPaused = isPaused(now);
    m_pausedUntil = pausedUntil;
    return wasPaused ? AvailabilityChange::None : AvailabilityChange::Paused;
}

std::optional<Millis> UpstreamAvailability::acceptsAt(Millis now) const
{
    return m_leaving ? std::nullopt : std::optional(std::max(now, m_pausedUntil));
}

}
