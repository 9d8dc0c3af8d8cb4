#include "core/placement/latencymodel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Laburnummast::Placement
{
namespace
{

// Typical latency before any answer was measured. A value that is too short makes one call late; one that is too long gets every
// call refused.
constexpr Millis initialTypicalLatency = 5_ms;
// Lowest weight of one answer in the moving average of the typical latency.
constexpr double minTypicalWeight = 0.05;
// Factors are learned only after the typical latency is based on this many answers: a single call may take a third of it or three
// times as long.
constexpr int minSampleCount = 8;
// Relative steps of a quantile estimate per answer; it converges to the value that a third of the calls stay below. Used where calls
// slowed by contention cannot be told apart from others and would raise a mean far too much.
constexpr double quantileStepUp = 0.01;
constexpr double quantileStepDown = 0.02;
// Weight of one answer in the moving average of the persistence, and its lowest weight in that of the full contention factor.
constexpr double factorWeight = 0.05;
// Full upstreams are assumed to be slower by this factor until answers show otherwise; the assumption weighs as much as this many
// answers.
constexpr double initialFullContention = 2;
constexpr double priorSampleCount = 1;
constexpr double initialPersistence = 0.6;
// The typical latency is learned only up to this utilization and slowness. The effect of utilization is learned only at normal
// slowness, and that of high slowness only at low utilization, to keep the two apart.
constexpr double maxUncontendedUtilization = 0.5;
constexpr double maxNormalSlowness = 1.2;
constexpr double minHighSlowness = 1.5;
// Learned factors are clamped to this value to limit the effect of outliers.
constexpr double maxFactor = 10;
// A smaller throughput ratio is within the noise of the learned factors.
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
    // The last level holds fully utilized upstreams.
    const auto level = static_cast<std::size_t>(std::ceil(std::clamp(utilization, 0.0, 1.0) * static_cast<double>(utilizationLevels)));
    return std::max<std::size_t>(level, 1) - 1;
}

void LatencyModel::learn(const UpstreamCondition &condition, double utilizationAtEnd, Millis latency)
{
    const bool normalSpeed = condition.slowness <= maxNormalSlowness;
    // An upstream with a single slot is full with one call but has no contention, and its utilization is given as 0. Calls
    // during which others raised the utilization are left out of the typical latency.
    if (normalSpeed
        && ((condition.utilization <= maxUncontendedUtilization && utilizationAtEnd <= maxUncontendedUtilization) || !m_hasMeasurements)) {
        ++m_typicalSampleCount;
        const double weight = std::max(minTypicalWeight, 1.0 / m_typicalSampleCount);
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
    // Calls that start later slow this one down too; a low quantile excludes their effect.
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
    // Each full set of calls beyond the slots adds the duration of a whole call in the queue.
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
