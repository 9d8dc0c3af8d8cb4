#ifndef LABURNUMMAST_CORE_ROUTING_UPSTREAMLOAD_H
#define LABURNUMMAST_CORE_ROUTING_UPSTREAMLOAD_H

#include "core/millis.h"
#include "core/priority.h"

#include <array>
#include <cstdint>
#include <optional>

namespace Laburnummast::Routing
{

/// Load that an upstream reports with an answer or a probe.
struct LoadReport
{
    /// Calls at the upstream, from all dispatchers.
    double inFlight = 0;
    /// Whether the upstream asks for no new calls.
    bool draining = false;
};

/// How an attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    /// A complete answer without an error.
    Answered,
    /// A complete answer that reports an error.
    Failed,
    /// The upstream refused the call without running it.
    Shed,
    /// Nothing was sent because there was no connection.
    NotSent,
    /// Sent, but no complete answer was received.
    Incomplete,
    TimedOut,
    Cancelled,
};

/// State recorded when an attempt is sent, needed when it ends.
struct AttemptStart
{
    Millis sentAt;
    Priority priority = Priority::Normal;
    /// Latency expected from the calls ahead, as a multiple of the latency without queueing; at least 1.
    double expectedWaitFactor = 1;
};

/// Tracks the load and health of one upstream from the view of one dispatcher.
class UpstreamLoad
{
public:
    /// `slots` is the number of calls that the upstream runs at the same time; `warmsUp` starts it with a reduced limit.
    UpstreamLoad(int slots, Millis now, bool warmsUp);

    /// Records that an attempt was sent; the returned value must be passed to `endAttempt`.
    AttemptStart startAttempt(Priority priority, Millis now);
    /// Records the result of an attempt; `typicalLatency` is the typical latency of the service, 0 if unknown.
    void endAttempt(
        const AttemptStart &attempt, AttemptOutcome outcome, const std::optional<LoadReport> &report, Millis typicalLatency, Millis now);
    /// Records the result of a probe; `report` is used only if `healthy`.
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
    /// Most calls that this dispatcher keeps in flight at the upstream.
    double limit() const
    {
        return m_limit;
    }
    /// Estimated number of calls in flight from other dispatchers.
    double othersInFlight(Millis now) const;
    /// Latency relative to the expected latency; 1 while the difference may be noise.
    double slowness(Millis now, Millis typicalLatency) const;
    /// Factor on the limit while a new upstream warms up, rising to 1.
    double warmUpFactor(Millis now) const;
    /// Smoothed share of failed attempts and probes, from 0 to 1; reset by an ejection.
    double failureRate() const
    {
        return m_failureRate;
    }
    /// When the upstream last answered without an error, refused a call or passed a probe.
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
    /// Whether the upstream is excluded because of failures.
    bool ejected(Millis now) const
    {
        return now < m_ejectedUntil;
    }
    /// Whether the ejection has ended but no call has succeeded since.
    bool onTrial(Millis now) const
    {
        return !ejected(now) && m_ejections > 0;
    }
    /// Whether the upstream fails often enough to be ejected.
    bool isOutlier() const;
    /// Excludes the upstream for a time that doubles with each ejection in a row, up to a limit.
    void eject(Millis now);

    /// Relative cost of sending one more call to the upstream: its utilization, raised by slowness, failures and warm-up.
    double cost(Millis now, Millis typicalLatency) const;

private:
    void recordLoadReport(const LoadReport &report, Millis now);
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
