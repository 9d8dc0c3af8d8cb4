#ifndef LABURNUMMAST_CORE_PLACEMENT_LATENCYMODEL_H
#define LABURNUMMAST_CORE_PLACEMENT_LATENCYMODEL_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Placement
{

/// What a call found at its upstream when it was placed there.
struct UpstreamCondition
{
    /// Calls there, this one included, as a share of the slots.
    double utilization = 0;
    /// Slowness that the upstream told.
    double slowness = 1;
};

/// What answers of full upstreams showed: how many, and by what factor they were slower on average.
struct ContentionSample
{
    std::uint32_t answers = 0;
    double factor = 0;
};

/// How long calls of a service take, by how full and how slow their upstream was; learned from their answers.
///
/// Some upstreams slow down so much when nearly full that one more call lowers what they serve at all. Told slowness
/// changes within a call's time, so it weighs less than it says.
class LatencyModel
{
public:
    LatencyModel();

    /// `shareAtEnd`: the share of slots taken when the call was over.
    void learn(const UpstreamCondition &condition, double utilizationAtEnd, Millis latency);
    /// What this daemon's answers taught since the last time, for the others.
    ContentionSample takeSample();
    /// What other daemons' answers taught them.
    void learnFromPeer(const ContentionSample &sample);
    /// The same for an upstream that told neither load nor slowness.
    void learnWithoutLoad(Millis latency);

    /// Usual time of a call on an upstream that is neither full nor slow.
    Millis typicalLatency() const
    {
        return m_typicalLatency;
    }
    bool hasMeasurements() const
    {
        return m_hasMeasurements;
    }
    Millis expectedLatency(const UpstreamCondition &condition) const;
    /// Whether an upstream with `calls` of `slots` taken serves more with one more call.
    bool increasesThroughput(double calls, double slots) const;
    double contentionFactor(double utilization) const;
    /// Whether enough answers of full upstreams were seen to rely on their factor.
    bool fullContentionKnown() const;
    /// Part of a told slowness that calls feel.
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
    /// Factor on the usual time, by share of slots taken.
    std::array<double, utilizationLevels> m_contentionFactors{};
    /// Answers that taught the last of these, with those that the first guess stands for.
    double m_fullSampleCount;
    ContentionSample m_unsharedSample;
};

}

#endif
