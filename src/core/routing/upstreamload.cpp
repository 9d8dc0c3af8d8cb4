#include "core/routing/upstreamload.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Routing
{
namespace
{

// Weights of one observation in the moving averages.
constexpr double latencySmoothing = 0.12;
constexpr double othersSmoothing = 0.1;
constexpr double failureSmoothing = 0.2;
// Latency ratios up to this value count as noise.
constexpr double slownessDeadband = 2.0;
// The same for the age of unanswered calls.
constexpr double inFlightAgeDeadband = 4.0;
// Smaller differences in latency are attributed to the scheduler, not to the upstream.
constexpr Millis latencyNoise = 2_ms;
constexpr Millis slownessHalfLife = 2_s;
// Time constant with which a load report loses weight against the mean of the reports.
constexpr Millis reportDecayTime = 12_ms;
constexpr double outlierFailureRate = 0.5;
constexpr int outlierConsecutiveFailures = 3;
constexpr Millis firstEjection = 1_s;
constexpr int maxEjectionDoublings = 5;
constexpr Millis warmUpTime = 3_s;
constexpr double minWarmUpFactor = 0.15;
// Added to the limit by an answer, and factors on it after a shed call and after an answer that reports many calls at the upstream.
constexpr double limitIncrease = 0.1;
constexpr double shedDecrease = 0.85;
constexpr double congestionDecrease = 0.98;
constexpr double minLimit = 1;

}

UpstreamLoad::UpstreamLoad(int slots, Millis now, bool warmsUp)
    : m_slots(slots)
    , m_limit(slots + 1)
    , m_logRatioAt(now)
    , m_reportedAt(now)
    , m_lastResponse(now)
    , m_addedAt(now)
    , m_warmsUp(warmsUp)
{
}

AttemptStart UpstreamLoad::startAttempt(Priority priority, Millis now)
{
    const double callsAhead = m_inFlight + othersInFlight(now);
    ++m_inFlight;
    ++m_inFlightByPriority[indexOf(priority)];
    m_sentAtSum += now.count;
    return {.sentAt = now, .priority = priority, .expectedWaitFactor = std::max(1.0, (callsAhead + 1) / m_slots)};
}

void UpstreamLoad::endAttempt(
    const AttemptStart &attempt, AttemptOutcome outcome, const std::optional<LoadReport> &report, Millis typicalLatency, Millis now)
{
    --m_inFlight;
    --m_inFlightByPriority[indexOf(attempt.priority)];
    m_sentAtSum -= attempt.sentAt.count;
    if (m_inFlight == 0) {
        m_sentAtSum = 0;
    }
    if (report) {
        recordLoadReport(*report, now);
    }
    adaptLimit(outcome, report);
    switch (outcome) {
    case AttemptOutcome::Answered:
        recordLatency(attempt, typicalLatency, now);
        recordHealth(true);
        m_lastResponse = now;
        break;
    case AttemptOutcome::TimedOut:
        recordLatency(attempt, typicalLatency, now);
        recordHealth(false);
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Incomplete:
        recordHealth(false);
        break;
    case AttemptOutcome::Shed:
        m_lastResponse = now;
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void UpstreamLoad::recordProbe(bool healthy, const LoadReport &report, Millis now)
{
    if (!healthy) {
        recordHealth(false);
        return;
    }
    // A health endpoint may report success while calls fail: its load report is used, but it never ends an ejection.
    recordLoadReport(report, now);
    m_lastResponse = now;
}

void UpstreamLoad::recordLoadReport(const LoadReport &report, Millis now)
{
    m_reportedOthers = std::max(0.0, report.inFlight - m_inFlight);
    m_meanOthers += othersSmoothing * (m_reportedOthers - m_meanOthers);
    m_reportedAt = now;
    if (report.draining) {
        m_draining = true;
    }
}

double UpstreamLoad::othersInFlight(Millis now) const
{
    const double freshness = std::exp(-((now - m_reportedAt) / reportDecayTime));
    return m_meanOthers + (m_reportedOthers - m_meanOthers) * freshness;
}

// Compares the latency with the one expected from the typical latency and the calls ahead. The mean is taken of
// logarithms, since a single long call means little in a log-normal distribution.
void UpstreamLoad::recordLatency(const AttemptStart &attempt, Millis typicalLatency, Millis now)
{
    if (typicalLatency.count <= 0) {
        return;
    }
    const Millis expected = typicalLatency * attempt.expectedWaitFactor + latencyNoise;
    const double ratio = (now - attempt.sentAt + latencyNoise) / expected;
    const double decay = std::exp2(-((now - m_logRatioAt) / slownessHalfLife));
    m_meanLogRatio = m_meanLogRatio * decay;
    m_meanLogRatio += latencySmoothing * (std::log(ratio) - m_meanLogRatio);
    m_logRatioAt = now;
}

double UpstreamLoad::slowness(Millis now, Millis typicalLatency) const
{
    const double decay = std::exp2(-((now - m_logRatioAt) / slownessHalfLife));
    const double ratio = std::exp(m_meanLogRatio * decay);
    double estimate = ratio > slownessDeadband ? ratio : 1.0;
    if (m_inFlight > 0 && typicalLatency.count > 0) {
        // The age of unanswered calls reveals a sudden slowdown before any answer arrives.
        const double meanAge = now.count - m_sentAtSum / m_inFlight;
        const double expected = typicalLatency.count * std::max(1.0, (m_inFlight + othersInFlight(now)) / m_slots);
        const double ageRatio = (meanAge + latencyNoise.count) / (expected + latencyNoise.count);
        if (ageRatio > inFlightAgeDeadband) {
            estimate = std::max(estimate, ageRatio);
        }
    }
    return estimate;
}

double UpstreamLoad::warmUpFactor(Millis now) const
{
    if (!m_warmsUp) {
        return 1;
    }
    return std::clamp((now - m_addedAt) / warmUpTime, minWarmUpFactor, 1.0);
}

void UpstreamLoad::recordHealth(bool healthy)
{
    m_failureRate += failureSmoothing * ((healthy ? 0.0 : 1.0) - m_failureRate);
    if (healthy) {
        m_consecutiveFailures = 0;
        m_ejections = 0;
    } else {
        ++m_consecutiveFailures;
    }
}

bool UpstreamLoad::isOutlier() const
{
    const bool failsOnTrial = m_ejections > 0 && m_consecutiveFailures > 0;
    return failsOnTrial || m_consecutiveFailures >= outlierConsecutiveFailures || m_failureRate > outlierFailureRate;
}

void UpstreamLoad::eject(Millis now)
{
    m_ejectedUntil = now + firstEjection * std::exp2(std::min(m_ejections, maxEjectionDoublings));
    ++m_ejections;
    m_consecutiveFailures = 0;
    m_failureRate = 0;
}

void UpstreamLoad::adaptLimit(AttemptOutcome outcome, const std::optional<LoadReport> &report)
{
    if (outcome == AttemptOutcome::Shed) {
        m_limit = std::max(minLimit, m_limit * shedDecrease);
        return;
    }
    if (outcome != AttemptOutcome::Answered) {
        return;
    }
    if (report && report->inFlight > 2.0 * m_slots) {
        m_limit = std::max(minLimit, m_limit * congestionDecrease);
    } else {
        m_limit = std::min(m_slots + 1.0, m_limit + limitIncrease);
    }
}

double UpstreamLoad::cost(Millis now, Millis typicalLatency) const
{
    const double load = (m_inFlight + othersInFlight(now) + 1) / m_slots;
    const double failureFactor = 1 + 4 * m_failureRate;
    return load * slowness(now, typicalLatency) * failureFactor / warmUpFactor(now);
}

}
