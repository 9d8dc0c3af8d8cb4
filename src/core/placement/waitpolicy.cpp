#include "core/placement/waitpolicy.h"

#include <algorithm>

namespace Laburnummast::Placement
{
namespace
{

// Latencies vary around the typical one; most calls take less than this multiple of it.
constexpr double latencyMarginFactor = 1.25;
// If the caller will not try again, a call that can no longer meet its objective still waits for an otherwise unused slot: for this
// share of the time from its arrival to its deadline.
constexpr double lateWaitShare = 0.25;

}

WaitPolicy::WaitPolicy(const UpstreamSet &upstreams, const LatencyModel &latencyModel, const CallOrder &order)
    : m_upstreams(upstreams)
    , m_latencyModel(latencyModel)
    , m_order(order)
{
}

Millis WaitPolicy::waitLimit(const OpenCall &call) const
{
    if (call.search == Search::Retry) {
        return call.spec.deadline - m_latencyModel.typicalLatency();
    }
    const auto inTime = call.spec.objective - m_latencyModel.typicalLatency() * latencyMarginFactor;
    // A caller that will not return gets a late answer rather than none.
    return call.spec.returning ? std::max(inTime, call.arrived + (call.spec.deadline - call.arrived) * lateWaitShare) : inTime;
}

bool WaitPolicy::wouldMissObjective(const OpenCall &call, Millis now) const
{
    return now + m_latencyModel.typicalLatency() * latencyMarginFactor > call.spec.objective;
}

std::optional<Millis> WaitPolicy::upstreamsLeaveRoomAt(const OpenCall &call, const OpenCalls &calls, Millis now) const
{
    std::optional<Millis> unlimitedAt;
    std::optional<Millis> limitedAt;
    double sharesPerSecond = 0;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &entry = m_upstreams[id];
        const auto acceptsAt = entry.availability.acceptsAt(now);
        const auto limitAllowsAt = entry.nextCallAt(now);
        if (!entry.listed || !acceptsAt || !limitAllowsAt) {
            continue;
        }
        const auto at = std::max(*acceptsAt, *limitAllowsAt);
        auto &earliest = entry.isLimited(now) ? limitedAt : unlimitedAt;
        earliest = earliest ? std::min(*earliest, at) : at;
        sharesPerSecond += entry.isLimited(now) ? entry.share(now) : 0;
    }
    if (unlimitedAt && *unlimitedAt <= now) {
        return now;
    }
    if (limitedAt) {
        const auto callsAhead = std::count_if(calls.begin(), calls.end(), [&](const auto &it) {
            const auto &other = it.second;
            return other.isWaiting() && m_order.goesBefore(other.spec, call.spec, now);
        });
        limitedAt = *limitedAt + 1_s * (static_cast<double>(callsAhead) / sharesPerSecond);
    }
    return limitedAt && unlimitedAt ? std::min(*limitedAt, *unlimitedAt) : limitedAt ? limitedAt : unlimitedAt;
}

Millis WaitPolicy::retryAfter(const OpenCall &call, const OpenCalls &calls, Millis now, std::mt19937_64 &random) const
{
    // The delay is spread over the time left to meet the objective or, if that is over, over the time left until the deadline.
    const auto timeToObjective = call.spec.objective - now - m_latencyModel.typicalLatency();
    const auto spreadRange = timeToObjective > 0_ms ? timeToObjective * 0.6 : (call.spec.deadline - now) * 0.33;
    std::uniform_real_distribution<double> spread(0.4, 1.0);
    const auto delay = std::max(5_ms, spreadRange * spread(random));
    const auto roomAt = upstreamsLeaveRoomAt(call, calls, now);
    return roomAt && *roomAt > now ? std::max(delay, *roomAt - now) : delay;
}

}
