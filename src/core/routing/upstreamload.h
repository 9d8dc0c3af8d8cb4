#ifndef LABURNUMMAST_CORE_ROUTING_UPSTREAMLOAD_H
#define LABURNUMMAST_CORE_ROUTING_UPSTREAMLOAD_H

#include "core/millis.h"
#include "core/priority.h"

#include <array>
#include <cstdint>
#include <optional>

namespace Laburnummast::Routing
{

/// What an upstream said of itself with an answer.
struct LoadReport
{
    double inFlight = 0;
    bool draining = false;
};

/// How an attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    Answered,
    /// An answer that says the work failed.
    Failed,
    /// The upstream refused it as not run.
    Shed,
    /// Nothing was written: there was no connection.
    NotSent,
    /// Written, but the answer did not come whole.
    Incomplete,
    TimedOut,
    Cancelled,
};

/// One attempt in flight, as the upstream's load remembers it.
struct AttemptStart
{
    Millis sentAt;
    Priority priority = Priority::Normal;
    /// Wait that the calls ahead explain, as a factor on the time of a call.
    double expectedWaitFactor = 1;
};

/// The load and health of one upstream as one dispatcher sees it.
class UpstreamLoad
{
public:
    UpstreamLoad(int slots, Millis now, bool warmsUp);

    AttemptStart startAttempt(Priority priority, Millis now);
    void endAttempt(
        const AttemptStart &attempt, AttemptOutcome outcome, const std::optional<LoadReport> &report, Millis typicalLatency, Millis now);
    void recordProbe(bool healthy, const LoadReport &report, Millis now);

    int inFlight() const
    {
        return m_inFlight;
    }
    int inFlight(Priority priority) const
    {
        return m_inFlightByPriority[indexOf(priority)];
    }
    int slots() const
    {
        return m_slots;
    }
    void setSlots(int slots)
    {
        m_slots = slots;
    }
    /// Most calls this dispatcher keeps in flight here.
    double limit() const
    {
        return m_limit;
    }
    /// Estimated calls in flight from everybody else.
    double othersInFlight(Millis now) const;
    /// How much slower than its peers; 1 within the noise.
    double slowness(Millis now, Millis typicalLatency) const;
    /// 0 to 1 while a new upstream warms up.
    double warmUpFactor(Millis now) const;
    double failureRate() const
    {
        return m_failureRate;
    }
    Millis lastResponse() const
    {
        return m_lastResponse;
    }

    bool draining() const
    {
        return m_draining;
    }
    void setDraining(bool draining)
    {
        m_draining = draining;
    }
    bool ejected(Millis now) const
    {
        return now < m_ejectedUntil;
    }
    /// Whether the ejection is over but no answer has proved the upstream well since.
    bool onTrial(Millis now) const
    {
        return !ejected(now) && m_ejections > 0;
    }
    /// Whether failures are bad enough for an ejection.
    bool isOutlier() const;
    void eject(Millis now);

    /// Relative cost of sending one more call here.
    double cost(Millis now, Millis typicalLatency) const;

private:
    void recordReport(const LoadReport &report, Millis now);
    void recordLatency(const AttemptStart &attempt, Millis typicalLatency, Millis now);
    void recordHealth(bool healthy);
    void adaptLimit(AttemptOutcome outcome, const std::optional<LoadReport> &report);

    int m_slots;
    int m_inFlight = 0;
    std::array<int, priorityCount> m_inFlightByPriority{};
    double m_limit;
    double m_sentAtSum = 0;
    double m_meanLogRatio = 0;
    Millis m_logRatioAt{};
    double m_reportedOthers = 0;
    double m_meanOthers = 0;
    Millis m_reportedAt{};
    double m_failureRate = 0;
    int m_consecutiveFailures = 0;
    int m_ejections = 0;
    Millis m_ejectedUntil{-1};
    Millis m_lastResponse{};
    Millis m_addedAt{};
    bool m_warmsUp;
    bool m_draining = false;
};

}

#endif
