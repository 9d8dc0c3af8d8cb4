#ifndef LABURNUMMAST_CORE_PLACEMENT_UPSTREAMVIEW_H
#define LABURNUMMAST_CORE_PLACEMENT_UPSTREAMVIEW_H

#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/placement/loadreport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Laburnummast::Placement
{

/// Configuration of an upstream for the dispatcher.
struct UpstreamSpec
{
    std::string id;
    std::string domain;
    int slots = 1;
    /// Time until which the upstream is warming up and expected to be slower.
    Millis warmUpEnd;
    /// Start time of the upstream; a changed value means a restart. Only compared for equality here.
    std::int64_t startedAt = 0;
    /// Calls per second from all daemons together that the upstream tolerates while it is cold; 0 if there is no limit.
    double coldCallsPerSecond = 0;
};

/// What the end of an attempt says about the health of its upstream.
enum class HealthSignal : std::uint8_t {
    /// The attempt succeeded.
    Success,
    /// The attempt failed, or no complete answer arrived.
    Failure,
    /// The outcome says nothing about the upstream.
    None,
};

/// This daemon's view of one upstream: its last load report and the recent outcomes of calls.
class UpstreamView
{
public:
    explicit UpstreamView(UpstreamSpec spec);

    /// Replaces the configuration; resets what was learned if the upstream was restarted.
    void update(UpstreamSpec spec);
    /// Stores the report and ends any backoff.
    void recordLoadReport(const LoadReport &report, Millis now);
    /// Records a probe answered after `probeTime` without a load report: a slot was free, and slowness is derived from the time.
    void recordServedProbe(Millis probeTime, Millis now);
    /// Counts an attempt as in flight until recordAttemptEnded().
    void recordAttemptSent();
    void recordAttemptEnded(HealthSignal signal, Millis now);
    /// Adds outcomes of attempts that are not counted by recordAttemptEnded(), such as those that other daemons observed.
    void recordOutcomes(double successes, double failures, Millis now);
    /// Counts the upstream as unhealthy, and hence slower, for a limited time.
    void markUnhealthy(Millis now);
    void markHealthy();
    /// Excludes the upstream from selection because it could not be reached, did not answer, or another instance answered. The
    /// time doubles with each such failure, up to a limit.
    void startBackoff(Millis now);

    /// Whether the last load report is at most `maxReportAge` old.
    bool hasFreshReport(Millis now, Millis maxReportAge) const
    {
        return m_report && now - m_reportedAt <= maxReportAge;
    }
    /// Whether the upstream is excluded from selection; see startBackoff().
    bool inBackoff(Millis now) const
    {
        return now < m_backoffUntil;
    }
    /// Recent share of failed calls over all daemons, 0 to 1.
    double failureRate(Millis now) const;
    /// Calls that run or wait at the upstream: those reported plus those sent since; without a report, this daemon's own.
    double estimatedCalls() const;
    /// Calls that the upstream can run at the same time; at least 1.
    double slots() const;
    /// Whether one more call would start at once.
    bool hasFreeSlot() const
    {
        return estimatedCalls() + 1 <= slots();
    }
    /// Slowness as reported, raised while the upstream is warming up or unhealthy; 1 is normal.
    double slowness(Millis now) const;
    /// Condition of the upstream with one more call.
    UpstreamCondition conditionForNextCall(Millis now) const;

    const UpstreamSpec &spec() const
    {
        return m_spec;
    }
    /// The last load report; empty if there is none or since the last startBackoff().
    const std::optional<LoadReport> &report() const
    {
        return m_report;
    }
    /// When the last load report was recorded; 0 if there was none.
    Millis reportedAt() const
    {
        return m_reportedAt;
    }
    /// Attempts of this daemon that are in flight.
    int inFlight() const
    {
        return m_inFlight;
    }
    bool isUnhealthy(Millis now) const
    {
        return now < m_unhealthyUntil;
    }

private:
    void decayOutcomes(Millis now);

    UpstreamSpec m_spec;
    std::optional<LoadReport> m_report;
    Millis m_reportedAt{};
    /// Recent minimum of the probe time; grows slowly to follow a slower network.
    std::optional<Millis> m_minProbeTime;
    int m_inFlight = 0;
    /// Attempts sent since the last load report.
    double m_sentSinceReport = 0;
    /// Outcomes, decayed exponentially up to `m_decayedAt`.
    double m_successes = 0;
    double m_failures = 0;
    Millis m_decayedAt{};
    Millis m_backoffUntil{-1};
    Millis m_unhealthyUntil{-1};
    int m_consecutiveBackoffs = 0;
};

}

#endif
