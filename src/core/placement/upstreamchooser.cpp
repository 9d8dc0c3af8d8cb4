#include "core/placement/upstreamchooser.h"

#include <algorithm>
#include <string_view>

namespace Laburnummast::Placement
{
namespace
{

// An upstream is suitable up to this slowness.
constexpr double maxSuitableSlowness = 1.5;
// An upstream that fails more often than this is chosen only if no other is suitable.
constexpr double maxSuitableFailureRate = 0.2;
// Cost of a failure in multiples of the expected latency: the call has to be made again.
constexpr double failureCostFactor = 6;
// Relative cost of each call already at the upstream: further calls may be on their way to it unseen.
constexpr double costPerCall = 0.05;
// Latency penalty of another failure domain, for normal and for bulk calls.
constexpr Millis crossDomainCost = 6_ms;
constexpr Millis crossDomainBulkCost = 40_ms;
// An upstream that this daemon does not prefer counts as slower by this factor: calls of other daemons reach it unseen.
constexpr double nonPreferredCostFactor = 1.5;
// Lets a cold upstream that has been without calls go before those that are usually better.
constexpr double neglectedCostFactor = 0.5;
// Load reports up to this age are used if probe tokens ran out.
constexpr Millis maxStaleReportAge = 100_ms;
// An upstream gets at most as many calls as it has slots, plus this many queued ones: it resets connections once its queue is full.
constexpr double maxQueuedPerUpstream = 2;

}

UpstreamChooser::UpstreamChooser(const UpstreamSet &upstreams,
                                 const LatencyModel &latencyModel,
                                 const Pressure &pressure,
                                 const PlacementOptions &options)
    : m_upstreams(upstreams)
    , m_latencyModel(latencyModel)
    , m_pressure(pressure)
    , m_options(options)
{
}

bool UpstreamChooser::isEligible(const UpstreamEntry &entry, Millis now) const
{
    return entry.listed && !entry.view.inBackoff(now) && entry.availability.accepts(now) && entry.allowsCall(now);
}

bool UpstreamChooser::mayBeSent(const UpstreamEntry &entry, Millis now) const
{
    return isEligible(entry, now) && entry.cold.allowsSending(now);
}

bool UpstreamChooser::isPreferred(const UpstreamEntry &entry, Millis now) const
{
    // Few daemons call an upstream with a limit, so that nearly all calls running there are theirs.
    return entry.isLimited(now) ? entry.share(now) > 0 : entry.preferred;
}

std::vector<UpstreamId> UpstreamChooser::selectForProbing(
    const OpenCall &call, std::size_t count, std::size_t familiarCount, Millis now, std::mt19937_64 &random) const
{
    std::vector<UpstreamId> order;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const bool tried = std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), id) != call.triedUpstreams.end();
        const bool probed = std::find(call.probed.begin(), call.probed.end(), id) != call.probed.end();
        if (isEligible(m_upstreams[id], now) && !tried && !probed) {
            order.push_back(id);
        }
    }
    std::shuffle(order.begin(), order.end(), random);
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return m_upstreams[id].affinityRank < familiarCount; });
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return isPreferred(m_upstreams[id], now); });
    // Bulk calls probe their own failure domain first; other calls probe it for half of the count, since a suitable near upstream is
    // as good as a far one. Under pressure domains are not distinguished, or the daemons of one domain would overload its upstreams.
    // If a domain was chosen for the call, the first round probes only there.
    const bool isChosen = !call.domain.empty() && call.probeRounds <= 1;
    const auto localWanted = call.spec.bulk || isChosen ? order.size() : m_pressure.isLow() ? count / 2 : 0;
    const std::string_view near = call.domain.empty() ? m_options.domain : call.domain;
    std::size_t localFound = 0;
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) {
        return m_upstreams[id].view.spec().domain == near && localFound++ < localWanted;
    });
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return m_upstreams[id].cold.isNeglected(now); });
    order.resize(std::min(order.size(), count));
    return order;
}

std::optional<Choice> UpstreamChooser::bestChoice(const OpenCall &call, Millis now) const
{
    std::optional<Choice> choice;
    double lowestCost = 0;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &entry = m_upstreams[id];
        const auto &view = entry.view;
        const auto maxReportAge = call.lackedProbeTokens ? maxStaleReportAge : m_options.maxReportAge;
        if (!mayBeSent(entry, now) || !view.hasFreshReport(now, maxReportAge)
            || std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), id) != call.triedUpstreams.end()) {
            continue;
        }
        if (view.estimatedCalls() + 1 > view.slots() + maxQueuedPerUpstream) {
            continue;
        }
        const auto expectedLatency = m_latencyModel.expectedLatency(view.conditionForNextCall(now));
        const bool crossDomain = view.spec().domain != (call.domain.empty() ? m_options.domain : call.domain);
        const bool ignoresDistance = call.domain.empty() && !m_pressure.isLow();
        const auto distanceCost = !crossDomain || ignoresDistance ? 0_ms : call.spec.bulk ? crossDomainBulkCost : crossDomainCost;
        const double failureRate = view.failureRate(now);
        const double preferenceFactor = entry.cold.isNeglected(now) ? neglectedCostFactor
            : isPreferred(entry, now)                               ? 1
                                                                    : nonPreferredCostFactor;
        const double cost
            = preferenceFactor * expectedLatency.count * (1 + failureCostFactor * failureRate + costPerCall * view.estimatedCalls())
            + distanceCost.count;
        if (!choice || cost < lowestCost) {
            choice = Choice{.upstream = id, .expectedLatency = expectedLatency};
            lowestCost = cost;
        }
    }
    return choice;
}

bool UpstreamChooser::isSuitable(const OpenCall &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    return m_latencyModel.increasesThroughput(view.estimatedCalls(), view.slots()) && view.slowness(now) <= maxSuitableSlowness
        && view.failureRate(now) <= maxSuitableFailureRate && now + choice.expectedLatency <= call.spec.deadline;
}

bool UpstreamChooser::isAcceptable(const OpenCall &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    if (call.search == Search::Hedge || !m_latencyModel.increasesThroughput(view.estimatedCalls(), view.slots())) {
        return false;
    }
    const auto latestUseful = now < call.spec.objective ? call.spec.objective : call.spec.deadline;
    return now + choice.expectedLatency <= latestUseful;
}

std::optional<Choice> UpstreamChooser::fallbackChoice(const OpenCall &call, Millis now) const
{
    std::optional<Choice> choice;
    for (const auto id : call.probed) {
        const auto &view = m_upstreams[id].view;
        const bool hasRoom = view.inFlight() < view.slots();
        if (mayBeSent(m_upstreams[id], now) && hasRoom && (!choice || view.inFlight() < m_upstreams[choice->upstream].view.inFlight())) {
            choice = Choice{.upstream = id, .expectedLatency = m_latencyModel.typicalLatency()};
        }
    }
    // Few of the probed upstreams that may turn cold allow this daemon a call without a probe, so others that do are considered, too.
    for (UpstreamId id = 0; !choice && id < m_upstreams.size(); ++id) {
        const auto &entry = m_upstreams[id];
        const bool tried = std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), id) != call.triedUpstreams.end();
        if (entry.cold.isLimited() && !tried && mayBeSent(entry, now) && entry.view.inFlight() < entry.view.slots()) {
            choice = Choice{.upstream = id, .expectedLatency = m_latencyModel.typicalLatency()};
        }
    }
    return choice;
}

std::optional<Choice> UpstreamChooser::trialChoice(Millis now) const
{
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &view = m_upstreams[id].view;
        if (mayBeSent(m_upstreams[id], now) && view.hasFreshReport(now, m_options.maxReportAge) && view.hasFreeSlot()
            && view.slowness(now) <= maxSuitableSlowness && view.failureRate(now) <= maxSuitableFailureRate) {
            return Choice{.upstream = id, .expectedLatency = m_latencyModel.expectedLatency(view.conditionForNextCall(now))};
        }
    }
    return std::nullopt;
}

}
