#include "core/placement/hedgepolicy.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

// A hedge is considered once a call takes this multiple of the typical latency. Half of the calls hedged at this time would have been over
// soon after, so whether it is sent depends on its gain.
constexpr double hedgeDelayFactor = 1.6;
// Pause between two decisions about a call, as a part of the typical latency and at least this long.
constexpr double decisionIntervalPart = 0.1;
constexpr Millis minDecisionInterval = 5_ms;
constexpr int maxDoublings = 8;
// Time that the choice of another upstream takes: a probe round.
constexpr Millis searchTime = 4_ms;
// Value of an answer after the objective but before the deadline; one by the objective has the value 1.
constexpr double lateValue = 0.3;
// Latencies beyond all that were seen: an attempt that is still running then hardly ever ends soon.
constexpr double unseenShare = 0.01;
// Up to this used part of the budget every late call is hedged. In simulated bursts a minimum gain from the start left fewer calls in time:
// a long latency is often due to a slow upstream, so another one does better than the latencies of all upstreams show.
constexpr double ampleBudgetPart = 0.5;
// Gain below which a hedge is not sent when the budget is nearly used up; it rises from 0 to this value.
constexpr double minGainAtBudgetEnd = 0.3;
// Latencies after which their spread is known well enough.
constexpr std::size_t minLatencies = 30;
// An attempt is hopeless if less than this share of all latencies is as short as the time left.
constexpr double hopelessShare = 0.25;

}

bool HedgePolicy::isTrained() const
{
    return m_latencies.count() >= minLatencies;
}

Millis HedgePolicy::firstTime(const CallSpec &spec, Millis now) const
{
    if (!spec.idempotent || !m_latencyModel.hasMeasurements()) {
        return spec.deadline;
    }
    return std::min(spec.deadline, now + m_latencyModel.typicalLatency() * hedgeDelayFactor);
}

Millis HedgePolicy::nextTime(const OpenCall &call, Millis now) const
{
    const auto interval = std::max(minDecisionInterval, m_latencyModel.typicalLatency() * decisionIntervalPart);
    // Each search for an upstream sends probes, so after failed ones the pause doubles.
    return std::min(call.spec.deadline, now + interval * std::exp2(std::min(call.failedHedgeSearches, maxDoublings)));
}

double HedgePolicy::gainAt(const OpenCall &call, Millis sentAt, Millis now) const
{
    // Chance that an attempt which has run for a while ends within some more time, and the same for a new one.
    const auto stillRunning = 1 - m_latencies.shareBelow(now - sentAt) + unseenShare;
    const auto runningEndsBy
        = [&](Millis end) { return (m_latencies.shareBelow(end - sentAt) - m_latencies.shareBelow(now - sentAt)) / stillRunning; };
    const auto hedgeEndsBy = [&](Millis end) { return m_latencies.shareBelow(end - now - searchTime); };
    const auto &spec = call.spec;
    const double inTime = now < spec.objective ? (1 - runningEndsBy(spec.objective)) * hedgeEndsBy(spec.objective) : 0;
    const double atAll = (1 - runningEndsBy(spec.deadline)) * hedgeEndsBy(spec.deadline);
    return inTime * (1 - lateValue) + atAll * lateValue;
}

double HedgePolicy::gain(const OpenCall &call, Millis now) const
{
    return call.activeAttempts.empty() ? 0 : gainAt(call, call.activeAttempts.back().sentAt, now);
}

bool HedgePolicy::isWorthwhile(const OpenCall &call, double budgetUsed, Millis now) const
{
    if (!isTrained() || call.activeAttempts.empty() || budgetUsed <= ampleBudgetPart) {
        return true;
    }
    const auto sentAt = call.activeAttempts.back().sentAt;
    const double price = minGainAtBudgetEnd * std::min(1.0, (budgetUsed - ampleBudgetPart) / (1 - ampleBudgetPart));
    const double net = gainAt(call, sentAt, now) - price;
    if (net < 0) {
        return false;
    }
    // The running attempt may end until the next decision, and then nothing has to be spent.
    const auto later = nextTime(call, now);
    const double stillRunning = 1 - m_latencies.shareBelow(now - sentAt) + unseenShare;
    const double stillRunningLater = 1 - m_latencies.shareBelow(later - sentAt) + unseenShare;
    return net >= stillRunningLater / stillRunning * (gainAt(call, sentAt, later) - price);
}

bool HedgePolicy::isHopeless(const OpenCall &call, Millis now) const
{
    const auto left = call.spec.deadline - now;
    // The latencies of a service may come from other routes, which take longer, so a call is tried if it comes with its whole time.
    const bool hasMostOfItsTime = !call.spec.returning && left > (call.spec.deadline - call.arrived) * 0.5;
    return !hasMostOfItsTime && isTrained() && m_latencies.shareBelow(left) < hopelessShare;
}

}
