#ifndef LABURNUMMAST_CORE_PLACEMENT_SPEEDMODEL_H
#define LABURNUMMAST_CORE_PLACEMENT_SPEEDMODEL_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Placement
{

/// What a call found at its upstream when it was placed there.
struct PlacedAt
{
    /// Calls there, this one included, as a share of the slots.
    double share = 0;
    /// Slowness that the upstream told.
    double slowness = 1;
};

/// What answers of full upstreams showed: how many, and by what factor they were slower on average.
struct CrowdingSample
{
    std::uint32_t answers = 0;
    double factor = 0;
};

/// How long calls of a service take, by how full and how slow their upstream was; learned from their answers.
///
/// Some upstreams slow down so much when nearly full that one more call lowers what they serve at all. Told slowness
/// changes within a call's time, so it weighs less than it says.
class SpeedModel
{
public:
    SpeedModel();

    /// `shareAtEnd`: the share of slots taken when the call was over.
    void learn(const PlacedAt &placed, double shareAtEnd, Millis latency);
    /// What this daemon's answers taught since the last time, for the others.
    CrowdingSample takeSample();
    /// What other daemons' answers taught them.
    void learnFromOthers(const CrowdingSample &sample);
    /// The same for an upstream that told neither load nor slowness.
    void learnUntold(Millis latency);

    /// Usual time of a call on an upstream that is neither full nor slow.
    Millis typical() const
    {
        return m_typical;
    }
    bool measured() const
    {
        return m_measured;
    }
    Millis expected(const PlacedAt &placed) const;
    /// Whether an upstream with `calls` of `slots` taken serves more with one more call.
    bool gains(double calls, double slots) const;
    double crowding(double share) const;
    /// Whether enough answers of full upstreams were seen to rely on their factor.
    bool knowsFull() const;
    /// Part of a told slowness that calls feel.
    double persistence() const
    {
        return m_persistence;
    }

private:
    static constexpr std::size_t levels = 8;

    static std::size_t levelOf(double share);
    void learnCrowding(std::size_t level, double factor);
    void learnFull(double answers, double factor);

    Millis m_typical;
    bool m_measured = false;
    int m_typicalSamples = 0;
    double m_persistence;
    /// Factor on the usual time, by share of slots taken.
    std::array<double, levels> m_crowding{};
    /// Answers that taught the last of these, with those that the first guess stands for.
    double m_fullSamples;
    CrowdingSample m_fresh;
};

}

#endif
