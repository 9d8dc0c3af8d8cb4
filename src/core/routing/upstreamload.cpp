#include "core/routing/upstreamload.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Routing
{
namespace
{

constexpr double latencyWeight = 0.12;
constexpr double othersWeight = 0.1;
constexpr double failureWeight = 0.2;
// Below this ratio a difference in latency is taken for noise.
constexpr double slownessDeadband = 2.0;
constexpr double inFlightAgeDeadband = 4.0;
// Differences below this are the scheduler's, not the upstream's.
constexpr Millis latencyNoise = 2_ms;
constexpr Millis slownessHalfLife = 2_s;
constexpr Millis reportMemory = 12_ms;
constexpr double outlierFailureRate = 0.5;
constexpr int outlierFailuresInRow = 3;
constexpr Millis firstEjection = 1_s;
constexpr int maxEjectionDoublings = 5;
constexpr Millis warmUp = 3_s;
constexpr double coldest = 0.15;
constexpr double limitIncrease = 0.1;
constexpr double limitDecrease = 0.85;
constexpr double queueDecrease = 0.98;
constexpr double minLimit = 1;

}

UpstreamLoad::UpstreamLoad(int slots, Millis now, bool cold)
    : m_slots(slots)
    , m_limit(slots + 1)
    , m_ratioAt(now)
    , m_reportAt(now)
    , m_lastHeard(now)
    , m_coldSince(now)
    , m_cold(cold)
{
}

AttemptStart UpstreamLoad::start(Priority priority, Millis now)
{
    const double ahead = m_inFlight + othersInFlight(now);
    ++m_inFlight;
    ++m_inFlightBy[indexOf(priority)];
    m_sentAtSum += now.count;
    return {.sentAt = now, .priority = priority, .expectedWaitFactor = std::max(1.0, (ahead + 1) / m_slots)};
}

void UpstreamLoad::end(
    const AttemptStart &attempt, AttemptOutcome outcome, const std::optional<LoadReport> &report, Millis typicalLatency, Millis now)
{
    --m_inFlight;
    --m_inFlightBy[indexOf(attempt.priority)];
    m_sentAtSum -= attempt.sentAt.count;
    if (m_inFlight == 0) {
        m_sentAtSum = 0;
    }
    if (report) {
        noteReport(*report, now);
    }
    adaptLimit(outcome, report);
    switch (outcome) {
    case AttemptOutcome::Answered:
        noteLatency(attempt, typicalLatency, now);
        noteHealth(true);
        m_lastHeard = now;
        break;
    case AttemptOutcome::TimedOut:
        noteLatency(attempt, typicalLatency, now);
        noteHealth(false);
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Broken:
        noteHealth(false);
        break;
    case AttemptOutcome::Shed:
        m_lastHeard = now;
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void UpstreamLoad::probed(bool healthy, const LoadReport &report, Millis now)
{
    if (!healthy) {
        noteHealth(false);
        return;
    }
    // A health endpoint misleads: it may say what the upstream holds, but never ends an ejection by itself.
    noteReport(report, now);
    m_lastHeard = now;
}

void UpstreamLoad::noteReport(const LoadReport &report, Millis now)
{
    m_reportedOthers = std::max(0.0, report.inFlight - m_inFlight);
    m_meanOthers += othersWeight * (m_reportedOthers - m_meanOthers);
    m_reportAt = now;
    if (report.draining) {
        m_draining = true;
    }
}

double UpstreamLoad::othersInFlight(Millis now) const
{
    const double trust = std::exp(-((now - m_reportAt) / reportMemory));
    return m_meanOthers + (m_reportedOthers - m_meanOthers) * trust;
}

// Latency since the send, over what is usual for the service and what the calls ahead explain.
// The mean is of logarithms: one long call in a log-normal crowd says little.
void UpstreamLoad::noteLatency(const AttemptStart &attempt, Millis typicalLatency, Millis now)
{
    if (typicalLatency.count <= 0) {
        return;
    }
    const Millis expected = typicalLatency * attempt.expectedWaitFactor + latencyNoise;
    const double ratio = (now - attempt.sentAt + latencyNoise) / expected;
    const double decay = std::exp2(-((now - m_ratioAt) / slownessHalfLife));
    m_logRatio = m_logRatio * decay;
    m_logRatio += latencyWeight * (std::log(ratio) - m_logRatio);
    m_ratioAt = now;
}

double UpstreamLoad::slowness(Millis now, Millis typicalLatency) const
{
    const double decay = std::exp2(-((now - m_ratioAt) / slownessHalfLife));
    const double ratio = std::exp(m_logRatio * decay);
    double worst = ratio > slownessDeadband ? ratio : 1.0;
    if (m_inFlight > 0 && typicalLatency.count > 0) {
        // Calls that have not answered yet tell of a sudden slowness before any answer can.
        const double meanAge = now.count - m_sentAtSum / m_inFlight;
        const double expected = typicalLatency.count * std::max(1.0, (m_inFlight + othersInFlight(now)) / m_slots);
        const double ageRatio = (meanAge + latencyNoise.count) / (expected + latencyNoise.count);
        if (ageRatio > inFlightAgeDeadband) {
            worst = std::max(worst, ageRatio);
        }
    }
    return worst;
}

double UpstreamLoad::warmth(Millis now) const
{
    if (!m_cold) {
        return 1;
    }
    return std::clamp((now - m_coldSince) / warmUp, coldest, 1.0);
}

void UpstreamLoad::noteHealth(bool healthy)
{
    m_failureRate += failureWeight * ((healthy ? 0.0 : 1.0) - m_failureRate);
    if (healthy) {
        m_failuresInRow = 0;
        m_ejections = 0;
    } else {
        ++m_failuresInRow;
    }
}

bool UpstreamLoad::isOutlier() const
{
    const bool failsOnTrial = m_ejections > 0 && m_failuresInRow > 0;
    return failsOnTrial || m_failuresInRow >= outlierFailuresInRow || m_failureRate > outlierFailureRate;
}

void UpstreamLoad::eject(Millis now)
{
    m_ejectedUntil = now + firstEjection * std::exp2(std::min(m_ejections, maxEjectionDoublings));
    ++m_ejections;
    m_failuresInRow = 0;
    m_failureRate = 0;
}

void UpstreamLoad::adaptLimit(AttemptOutcome outcome, const std::optional<LoadReport> &report)
{
    if (outcome == AttemptOutcome::Shed) {
        m_limit = std::max(minLimit, m_limit * limitDecrease);
        return;
    }
    if (outcome != AttemptOutcome::Answered) {
        return;
    }
    if (report && report->inFlight > 2.0 * m_slots) {
        m_limit = std::max(minLimit, m_limit * queueDecrease);
    } else {
        m_limit = std::min(m_slots + 1.0, m_limit + limitIncrease);
    }
}

double UpstreamLoad::cost(Millis now, Millis typicalLatency) const
{
    const double load = (m_inFlight + othersInFlight(now) + 1) / m_slots;
    const double failures = 1 + 4 * m_failureRate;
    return load * slowness(now, typicalLatency) * failures / warmth(now);
}

}
