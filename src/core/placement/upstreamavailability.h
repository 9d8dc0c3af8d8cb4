#ifndef LABURNUMMAST_CORE_PLACEMENT_UPSTREAMAVAILABILITY_H
#define LABURNUMMAST_CORE_PLACEMENT_UPSTREAMAVAILABILITY_H

#include "core/millis.h"

#include <cstdint>
#include <optional>

namespace Laburnummast::Placement
{

/// What an answer of an upstream says about further calls from this daemon.
struct AvailabilityNotice
{
    /// The upstream is leaving and must get no more calls until it starts again.
    bool leaving = false;
    /// Time for which the upstream wants no calls from this daemon; empty if the answer states none.
    std::optional<Millis> pause;

    bool empty() const
    {
        return !leaving && !pause;
    }
};

/// How a notice changed what an upstream accepts.
enum class AvailabilityChange : std::uint8_t {
    None,
    Paused,
    Leaving,
};

/// Whether an upstream accepts calls from this daemon, according to its own answers since its start.
class UpstreamAvailability
{
public:
    /// Applies a notice; an earlier pause is never shortened, and an upstream that is leaving stays so.
    AvailabilityChange apply(const AvailabilityNotice &notice, Millis now);

    /// Time from which the upstream accepts calls, `now` at the earliest; empty if it is leaving.
    std::optional<Millis> acceptsAt(Millis now) const;
    bool accepts(Millis now) const
    {
        return !m_leaving && now >= m_pausedUntil;
    }
    bool isLeaving() const
    {
        return m_leaving;
    }
    bool isPaused(Millis now) const
    {
        return now < m_pausedUntil;
    }
    /// Whether a notice was ever applied.
    bool isRestricted() const
    {
        return m_leaving || m_pausedUntil > Millis{};
    }

private:
    bool m_leaving = false;
    Millis m_pausedUntil{};
};

}

#endif
