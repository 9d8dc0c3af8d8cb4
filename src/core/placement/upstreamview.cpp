#include "core/placement/upstreamview.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

// Outcomes fade with this time: long enough for some calls on each upstream, short enough to take a mended one back.
constexpr Millis outcomeDecayTime = 2_s;
// Calls that count as good before any is seen, so that one failure proves little.
constexpr double priorSuccesses = 2;
// An upstream that starts is about this much slower while it is cold.
constexpr double coldSlowness = 1.5;
constexpr Millis initialBackoff = 150_ms;
constexpr Millis maxBackoff = 2_s;
constexpr Millis unhealthyDuration = 1_s;
constexpr double unhealthySlowness = 3;
// The shortest time of a probe is forgotten by this factor with each one, so that a slower network is learned.
constexpr double minProbeTimeGrowth = 1.02;
// Differences below this are those of timers and networks.
constexpr Millis minComparedProbeTime = 0.5_ms;

}

UpstreamView::UpstreamView(UpstreamSpec spec)
    : m_spec(std::move(spec))
{
}

void UpstreamView::update(UpstreamSpec spec)
{
    if (spec.startedAt != m_spec.startedAt) {
        m_report.reset();
        m_sentSinceReport = 0;
        m_successes = 0;
        m_failures = 0;
        m_backoffUntil = {-1};
        m_unhealthyUntil = {-1};
        m_consecutiveBackoffs = 0;
        m_minProbeTime.reset();
    }
    m_spec = std::move(spec);
}

void UpstreamView::recordLoadReport(const LoadReport &report, Millis now)
{
    m_report = report;
    m_reportedAt = now;
    m_sentSinceReport = 0;
    m_consecutiveBackoffs = 0;
    m_backoffUntil = {-1};
}

void UpstreamView::recordServedProbe(Millis probeTime, Millis now)
{
    m_minProbeTime = m_minProbeTime ? std::min(probeTime, *m_minProbeTime * minProbeTimeGrowth) : probeTime;
    // The calls of other daemons are unknown; where they crowd the upstream, the probe took longer for it.
    recordLoadReport({.running = static_cast<double>(m_inFlight),
                      .waiting = 0,
                      .slots = static_cast<double>(m_spec.slots),
                      .slowness = std::max(1.0, probeTime / std::max(*m_minProbeTime, minComparedProbeTime))},
                     now);
}

void UpstreamView::recordAttemptSent()
{
    ++m_inFlight;
    m_sentSinceReport += 1;
}

void UpstreamView::recordAttemptEnded(HealthSignal signal, Millis now)
{
    m_inFlight = std::max(0, m_inFlight - 1);
    decayOutcomes(now);
    m_successes += signal == HealthSignal::Success ? 1 : 0;
    m_failures += signal == HealthSignal::Failure ? 1 : 0;
}

void UpstreamView::recordOutcomes(double successes, double failures, Millis now)
{
    decayOutcomes(now);
    m_successes += successes;
    m_failures += failures;
}

void UpstreamView::markUnhealthy(Millis now)
{
    m_unhealthyUntil = now + unhealthyDuration;
}

void UpstreamView::markHealthy()
{
    m_unhealthyUntil = {-1};
}

void UpstreamView::startBackoff(Millis now)
{
    const auto backoff = std::min(maxBackoff, initialBackoff * std::pow(2.0, std::min(m_consecutiveBackoffs, 8)));
    ++m_consecutiveBackoffs;
    m_backoffUntil = now + backoff;
    m_report.reset();
}

void UpstreamView::decayOutcomes(Millis now)
{
    const double factor = std::exp(-std::max(0.0, (now - m_decayedAt) / outcomeDecayTime));
    m_successes *= factor;
    m_failures *= factor;
    m_decayedAt = now;
}

double UpstreamView::failureRate(Millis now) const
{
    const double factor = std::exp(-std::max(0.0, (now - m_decayedAt) / outcomeDecayTime));
    return m_failures * factor / ((m_failures + m_successes) * factor + priorSuccesses);
}

double UpstreamView::estimatedCalls() const
{
    return m_report ? m_report->running + m_report->waiting + m_sentSinceReport : m_inFlight;
}

double UpstreamView::slots() const
{
    return std::max(1.0, m_report ? m_report->slots : static_cast<double>(m_spec.slots));
}

double UpstreamView::slowness(Millis now) const
{
    const double reportedSlowness = m_report ? std::max(0.1, m_report->slowness) : 1;
    const double coldFactor = now < m_spec.coldUntil ? coldSlowness : 1;
    return reportedSlowness * coldFactor * (isUnhealthy(now) ? unhealthySlowness : 1);
}

UpstreamCondition UpstreamView::conditionForNextCall(Millis now) const
{
    // A lone slot is never crowded by the call that takes it.
    const double calls = estimatedCalls() + 1;
    return {.utilization = slots() > 1 ? calls / slots() : calls - 1, .slowness = slowness(now)};
}

}
