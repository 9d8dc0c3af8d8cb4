#include "core/placement/upstreamview.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

// Time constant of the exponential decay of outcomes: long enough for several calls on each upstream, short enough to use a recovered
// one again soon.
constexpr Millis outcomeDecayTime = 2_s;
// Successes assumed before any call is observed, so that a single failure does not raise the failure rate much.
constexpr double priorSuccesses = 2;
// An upstream is slower by about this factor while it is warming up.
constexpr double warmUpSlowness = 1.5;
// The backoff starts at this value and doubles up to the limit.
constexpr Millis initialBackoff = 150_ms;
constexpr Millis maxBackoff = 2_s;
// How long an unhealthy answer counts, and the slowdown assumed meanwhile.
constexpr Millis unhealthyDuration = 1_s;
constexpr double unhealthySlowness = 3;
// The minimum probe time grows by this factor with each probe, so that it adapts to a slower network.
constexpr double minProbeTimeGrowth = 1.02;
// Lower bound of the minimum probe time when slowness is derived from it: smaller times differ only by timers and the network.
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
    // The calls of other daemons are unknown, but a longer probe time shows the contention that they cause.
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
    const double warmUpFactor = now < m_spec.warmUpEnd ? warmUpSlowness : 1;
    return reportedSlowness * warmUpFactor * (isUnhealthy(now) ? unhealthySlowness : 1);
}

UpstreamCondition UpstreamView::conditionForNextCall(Millis now) const
{
    // The call that takes the only slot of an upstream causes no contention.
    const double calls = estimatedCalls() + 1;
    return {.utilization = slots() > 1 ? calls / slots() : calls - 1, .slowness = slowness(now)};
}

}
