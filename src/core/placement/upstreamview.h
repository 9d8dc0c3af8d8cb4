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

/// What a dispatcher is told of an upstream.
struct UpstreamSpec
{
    std::string id;
    std::string domain;
    int slots = 1;
    Millis coldUntil;
    std::int64_t startedAt = 0;
};

/// How an attempt's end speaks of its upstream.
enum class HealthSignal : std::uint8_t {
    /// It worked.
    Success,
    /// It failed, or nothing whole came back.
    Failure,
    /// Nothing can be learned of it.
    None,
};

/// One upstream as this daemon sees it: its last word on its load, and how calls fared there.
class UpstreamView
{
public:
    explicit UpstreamView(UpstreamSpec spec);

    void update(UpstreamSpec spec);
    void recordLoadReport(const LoadReport &report, Millis now);
    /// It tells no load, but served a probe after `took`: a slot was free, and the time says how slow it is.
    void recordServedProbe(Millis probeTime, Millis now);
    void recordAttemptSent();
    void recordAttemptEnded(HealthSignal signal, Millis now);
    /// Outcomes that other daemons saw.
    void recordOutcomes(double successes, double failures, Millis now);
    void markUnhealthy(Millis now);
    void markHealthy();
    /// It did not answer, or another incarnation did: it is left alone for a while, longer each time.
    void startBackoff(Millis now);

    bool hasFreshReport(Millis now, Millis maxReportAge) const
    {
        return m_report && now - m_reportedAt <= maxReportAge;
    }
    bool inBackoff(Millis now) const
    {
        return now < m_backoffUntil;
    }
    /// Share of calls that fail here lately, over all daemons.
    double failureRate(Millis now) const;
    /// Calls that run or wait there, with those sent since the report.
    double estimatedCalls() const;
    double slots() const;
    /// Whether it would start one more call at once.
    bool hasFreeSlot() const
    {
        return estimatedCalls() + 1 <= slots();
    }
    /// Factor on the usual time of a call, as far as it is told.
    double slowness(Millis now) const;
    /// What one more call would find.
    UpstreamCondition conditionForNextCall(Millis now) const;

    const UpstreamSpec &spec() const
    {
        return m_spec;
    }
    const std::optional<LoadReport> &report() const
    {
        return m_report;
    }
    Millis reportedAt() const
    {
        return m_reportedAt;
    }
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
    /// Nearly the shortest time that a probe took lately.
    std::optional<Millis> m_minProbeTime;
    int m_inFlight = 0;
    double m_sentSinceReport = 0;
    double m_successes = 0;
    double m_failures = 0;
    Millis m_decayedAt{};
    Millis m_backoffUntil{-1};
    Millis m_unhealthyUntil{-1};
    int m_consecutiveBackoffs = 0;
};

}

#endif
