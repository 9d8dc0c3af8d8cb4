#include "core/placement/latencymodel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Laburnummast::Placement
{
namespace
{

// Usual time of a call before any was measured: too short a guess costs a late call, too long a one refuses all.
constexpr Millis initialTypicalLatency = 5_ms;
constexpr double typicalWeight = 0.05;
// Factors are learned once the usual time rests on this many answers: one call may take a third of it or thrice as long.
constexpr int minSampleCount = 8;
// One call moves an estimate by these shares; it settles where a third of the calls are faster. Used where slow calls cannot be
// told apart from others and would pull a mean far up.
constexpr double quantileStepUp = 0.01;
constexpr double quantileStepDown = 0.02;
constexpr double factorWeight = 0.05;
// Full upstreams count as slowed down by this factor until answers say otherwise, and that weighs as much as this many answers.
constexpr double initialFullContention = 2;
constexpr double priorSampleCount = 1;
constexpr double initialPersistence = 0.6;
// Samples teach the usual time only below these, and a factor only where the other one is low.
constexpr double maxUncontendedUtilization = 0.5;
constexpr double maxNormalSlowness = 1.2;
constexpr double minHighSlowness = 1.5;
constexpr double maxFactor = 10;
// A gain below this is within the noise of the learned factors.
constexpr double minThroughputGain = 1.02;

}

LatencyModel::LatencyModel()
    : m_typicalLatency(initialTypicalLatency)
    , m_persistence(initialPersistence)
    , m_fullSampleCount(priorSampleCount)
{
    m_contentionFactors.fill(1);
    m_contentionFactors.back() = initialFullContention;
}

std::size_t LatencyModel::levelOf(double utilization)
{
    // The last level is that of a full upstream.
    const auto level = static_cast<std::size_t>(std::ceil(std::clamp(utilization, 0.0, 1.0) * static_cast<double>(utilizationLevels)));
    return std::max<std::size_t>(level, 1) - 1;
}

void LatencyModel::learn(const UpstreamCondition &condition, double utilizationAtEnd, Millis latency)
{
    const bool normalSpeed = condition.slowness <= maxNormalSlowness;
    // A lone slot is full with one call and never crowded. What others crowded meanwhile does not teach the usual time.
    if (normalSpeed
        && ((condition.utilization <= maxUncontendedUtilization && utilizationAtEnd <= maxUncontendedUtilization) || !m_hasMeasurements)) {
        ++m_typicalSampleCount;
        const double weight = std::max(typicalWeight, 1.0 / m_typicalSampleCount);
        m_typicalLatency = m_typicalLatency * (1 - weight) + latency * weight;
        m_hasMeasurements = true;
        return;
    }
    if (m_typicalSampleCount < minSampleCount) {
        return;
    }
    const double factor = std::clamp(latency / m_typicalLatency, 0.5, maxFactor);
    if (normalSpeed && condition.utilization <= 1) {
        learnContention(levelOf(condition.utilization), factor);
    } else if (condition.slowness >= minHighSlowness && condition.utilization <= maxUncontendedUtilization) {
        const double observedPersistence = std::clamp((factor - 1) / (condition.slowness - 1), 0.0, 1.5);
        m_persistence = m_persistence * (1 - factorWeight) + observedPersistence * factorWeight;
    }
}

void LatencyModel::learnWithoutLoad(Millis latency)
{
    m_typicalLatency
        = m_hasMeasurements ? m_typicalLatency * (latency > m_typicalLatency ? 1 + quantileStepUp : 1 - quantileStepDown) : latency;
    m_hasMeasurements = true;
}

void LatencyModel::learnContention(std::size_t level, double factor)
{
    if (level == utilizationLevels - 1) {
        learnFullContention(1, factor);
        ++m_unsharedSample.answers;
        m_unsharedSample.factor += (factor - m_unsharedSample.factor) / m_unsharedSample.answers;
        return;
    }
    // Calls that join later slow this one down as well; a low quantile leaves them out.
    auto &levelFactor = m_contentionFactors[level];
    levelFactor = std::max(1.0, levelFactor * (factor > levelFactor ? 1 + quantileStepUp : 1 - quantileStepDown));
}

void LatencyModel::learnFullContention(double answers, double factor)
{
    m_fullSampleCount += answers;
    const double weight = std::max(1 - std::pow(1 - factorWeight, answers), answers / m_fullSampleCount);
    auto &fullFactor = m_contentionFactors.back();
    fullFactor = std::max(1.0, fullFactor * (1 - weight) + factor * weight);
}

ContentionSample LatencyModel::takeSample()
{
    return std::exchange(m_unsharedSample, {});
}

void LatencyModel::learnFromPeer(const ContentionSample &sample)
{
    if (sample.answers > 0) {
        learnFullContention(sample.answers, std::clamp(sample.factor, 0.5, maxFactor));
    }
}

bool LatencyModel::fullContentionKnown() const
{
    return m_fullSampleCount >= minSampleCount;
}

double LatencyModel::contentionFactor(double utilization) const
{
    // Calls beyond the slots wait for a whole one.
    return m_contentionFactors[levelOf(utilization)] + std::max(0.0, utilization - 1) * m_contentionFactors.back();
}

Millis LatencyModel::expectedLatency(const UpstreamCondition &condition) const
{
    const double slownessFactor = 1 + std::max(0.0, condition.slowness - 1) * m_persistence;
    return m_typicalLatency * (slownessFactor * contentionFactor(condition.utilization));
}

bool LatencyModel::increasesThroughput(double calls, double slots) const
{
    if (calls + 1 > slots) {
        return false;
    }
    if (calls < 1) {
        return true;
    }
    const double throughputWithCall = (calls + 1) / contentionFactor((calls + 1) / slots);
    const double currentThroughput = calls / contentionFactor(calls / slots);
    return throughputWithCall >= currentThroughput * minThroughputGain;
}

}
