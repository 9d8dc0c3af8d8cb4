#ifndef LABURNUMMAST_CORE_PLACEMENT_LATENCYMODEL_H
#define LABURNUMMAST_CORE_PLACEMENT_LATENCYMODEL_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Placement
{

/// State of an upstream at the time a call is sent to it.
struct UpstreamCondition
{
    /// Calls at the upstream, including this one, divided by its slots; above 1 calls are queued. With a single slot, this
    /// call is not counted.
    double utilization = 0;
    /// Slowness as in LoadReport, raised while the upstream is warming up or unhealthy; 1 is normal.
    double slowness = 1;
};

/// Observed slowdown of full upstreams: the number of answers, and the mean factor relative to the typical latency.
struct ContentionSample
{
    std::uint32_t answers = 0;
    double factor = 0;
};

/// Estimates the latency of a service's calls from the utilization and slowness of the upstream; learns from answers.
///
/// Some upstreams slow down so much when nearly full that one more call lowers their total throughput. Reported slowness
/// changes within the duration of a call, so only a learned part of it is applied.
class LatencyModel
{
public:
    LatencyModel();

    /// Learns from the answer to a call. `utilizationAtEnd` is the utilization of the upstream when the call ended.
    void learn(const UpstreamCondition &condition, double utilizationAtEnd, Millis latency);
    /// Returns and resets what this daemon observed at full upstreams since the previous takeSample(); meant for the other
    /// daemons.
    ContentionSample takeSample();
    /// Learns from a sample taken by another daemon.
    void learnFromPeer(const ContentionSample &sample);
    /// Learns from an answer of an upstream that reported neither load nor slowness.
    void learnWithoutLoad(Millis latency);

    /// Typical latency of a call on an upstream that is neither full nor slow; a default until hasMeasurements().
    Millis typicalLatency() const
    {
        return m_typicalLatency;
    }
    /// Whether at least one answer has been learned from.
    bool hasMeasurements() const
    {
        return m_hasMeasurements;
    }
    /// Expected latency of a call sent to an upstream in this condition, including time in its queue.
    Millis expectedLatency(const UpstreamCondition &condition) const;
    /// Whether an upstream that has `calls` on `slots` slots gains throughput from one more call.
    bool increasesThroughput(double calls, double slots) const;
    /// Latency at this utilization relative to the typical latency; above a utilization of 1 it includes queueing.
    double contentionFactor(double utilization) const;
    /// Whether enough answers of full upstreams were seen to rely on their contention factor.
    bool fullContentionKnown() const;
    /// Part of a reported slowness that takes effect on the latency of a call; learned, from 0 to 1.5.
    double persistence() const
    {
        return m_persistence;
    }

private:
    static constexpr std::size_t utilizationLevels = 8;

    static std::size_t levelOf(double utilization);
    void learnContention(std::size_t level, double factor);
    void learnFullContention(double answers, double factor);

    Millis m_typicalLatency;
    bool m_hasMeasurements = false;
    int m_typicalSampleCount = 0;
    double m_persistence;
    /// Latency relative to the typical one, by utilization level.
    std::array<double, utilizationLevels> m_contentionFactors{};
    /// Answers behind the last of these factors, including those that its initial value counts as.
    double m_fullSampleCount;
    /// Observations since the last takeSample().
    ContentionSample m_unsharedSample;
};

}

#endif
