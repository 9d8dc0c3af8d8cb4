#include "core/placement/speedmodel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Laburnummast::Placement
{
namespace
{

// Usual time of a call before any was measured: too short a guess costs a late call, too long a one refuses all.
constexpr Millis firstTypical = 5_ms;
constexpr double typicalWeight = 0.05;
// Factors are learned once the usual time rests on this many answers: one call may take a third of it or thrice as long.
constexpr int enoughSamples = 8;
// One call moves an estimate by these shares; it settles where a third of the calls are faster. Used where slow calls cannot be
// told apart from others and would pull a mean far up.
constexpr double quantileRise = 0.01;
constexpr double quantileFall = 0.02;
constexpr double factorWeight = 0.05;
// Full upstreams count as slowed down by this factor until answers say otherwise, and that weighs as much as this many answers.
constexpr double firstFullCrowding = 2;
constexpr double priorSamples = 1;
constexpr double firstPersistence = 0.6;
// Samples teach the usual time only below these, and a factor only where the other one is low.
constexpr double calmShare = 0.5;
constexpr double calmSlowness = 1.2;
constexpr double slowSlowness = 1.5;
constexpr double largestFactor = 10;
// A gain below this is within the noise of the learned factors.
constexpr double leastGain = 1.02;

}

SpeedModel::SpeedModel()
    : m_typical(firstTypical)
    , m_persistence(firstPersistence)
    , m_fullSamples(priorSamples)
{
    m_crowding.fill(1);
    m_crowding.back() = firstFullCrowding;
}

std::size_t SpeedModel::levelOf(double share)
{
    // The last level is that of a full upstream.
    const auto level = static_cast<std::size_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(levels)));
    return std::max<std::size_t>(level, 1) - 1;
}

void SpeedModel::learn(const PlacedAt &placed, double shareAtEnd, Millis latency)
{
    const bool calm = placed.slowness <= calmSlowness;
    // A lone slot is full with one call and never crowded. What others crowded meanwhile does not teach the usual time.
    if (calm && ((placed.share <= calmShare && shareAtEnd <= calmShare) || !m_measured)) {
        ++m_typicalSamples;
        const double weight = std::max(typicalWeight, 1.0 / m_typicalSamples);
        m_typical = m_typical * (1 - weight) + latency * weight;
        m_measured = true;
        return;
    }
    if (m_typicalSamples < enoughSamples) {
        return;
    }
    const double factor = std::clamp(latency / m_typical, 0.5, largestFactor);
    if (calm && placed.share <= 1) {
        learnCrowding(levelOf(placed.share), factor);
    } else if (placed.slowness >= slowSlowness && placed.share <= calmShare) {
        const double felt = std::clamp((factor - 1) / (placed.slowness - 1), 0.0, 1.5);
        m_persistence = m_persistence * (1 - factorWeight) + felt * factorWeight;
    }
}

void SpeedModel::learnUntold(Millis latency)
{
    m_typical = m_measured ? m_typical * (latency > m_typical ? 1 + quantileRise : 1 - quantileFall) : latency;
    m_measured = true;
}

void SpeedModel::learnCrowding(std::size_t level, double factor)
{
    if (level == levels - 1) {
        learnFull(1, factor);
        ++m_fresh.answers;
        m_fresh.factor += (factor - m_fresh.factor) / m_fresh.answers;
        return;
    }
    // Calls that join later slow this one down as well; a low quantile leaves them out.
    auto &crowding = m_crowding[level];
    crowding = std::max(1.0, crowding * (factor > crowding ? 1 + quantileRise : 1 - quantileFall));
}

void SpeedModel::learnFull(double answers, double factor)
{
    m_fullSamples += answers;
    const double weight = std::max(1 - std::pow(1 - factorWeight, answers), answers / m_fullSamples);
    auto &full = m_crowding.back();
    full = std::max(1.0, full * (1 - weight) + factor * weight);
}

CrowdingSample SpeedModel::takeSample()
{
    return std::exchange(m_fresh, {});
}

void SpeedModel::learnFromOthers(const CrowdingSample &sample)
{
    if (sample.answers > 0) {
        learnFull(sample.answers, std::clamp(sample.factor, 0.5, largestFactor));
    }
}

bool SpeedModel::knowsFull() const
{
    return m_fullSamples >= enoughSamples;
}

double SpeedModel::crowding(double share) const
{
    // Calls beyond the slots wait for a whole one.
    return m_crowding[levelOf(share)] + std::max(0.0, share - 1) * m_crowding.back();
}

Millis SpeedModel::expected(const PlacedAt &placed) const
{
    const double slow = 1 + std::max(0.0, placed.slowness - 1) * m_persistence;
    return m_typical * (slow * crowding(placed.share));
}

bool SpeedModel::gains(double calls, double slots) const
{
    if (calls + 1 > slots) {
        return false;
    }
    if (calls < 1) {
        return true;
    }
    const double with = (calls + 1) / crowding((calls + 1) / slots);
    const double without = calls / crowding(calls / slots);
    return with >= without * leastGain;
}

}
