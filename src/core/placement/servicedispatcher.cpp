#include "core/placement/servicedispatcher.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

using Dispatch::Disposition;
using Dispatch::RefusalReason;

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
// A hedge is sent once a call takes this multiple of the typical latency.
constexpr double hedgeDelayFactor = 1.6;
constexpr int maxProbeRounds = 2;
// A daemon with few calls still chooses among this many upstreams.
constexpr std::size_t minFamiliarUpstreams = 16;
// Share of waiting calls that are sent to a free slot of an upstream rejected for its expected contention: a learned factor could
// never be corrected if no call were sent against it. The second value applies while too few answers support the factor.
constexpr double trialProbability = 0.03;
constexpr double untrainedTrialProbability = 0.25;
// An upstream that this daemon does not prefer counts as slower by this factor: calls of other daemons reach it unseen.
constexpr double nonPreferredCostFactor = 1.5;
// Latencies vary around the typical one; most calls take less than this multiple of it.
constexpr double latencyMarginFactor = 1.25;
// If the caller will not try again, a call that can no longer meet its objective still waits for an otherwise unused slot: for this
// share of the time from its arrival to its deadline.
constexpr double lateWaitShare = 0.25;
// Weight of one search in the moving average of the pressure, and the pressure above which slots are reserved for calls that can
// still be in time and no hedges are sent.
constexpr double pressureUpdateWeight = 0.1;
constexpr double highPressure = 0.3;
// Up to this pressure free slots are plentiful, so that fewer probes are needed and distance is taken into account.
constexpr double lowPressure = 0.05;
// Up to this fill level of the probe token bucket, fewer upstreams are probed in the first round.
constexpr double scarceProbeFillLevel = 0.3;
// Load reports up to this age are used if probe tokens ran out.
constexpr Millis maxStaleReportAge = 100_ms;
// After this many consecutive answers without load the service counts as one whose upstreams do not report load.
constexpr int probesToAssumeNoLoad = 6;
// How long after the deadline an answer of the upstream itself is still awaited.
constexpr Millis answerGrace = 40_ms;
// An upstream gets at most as many calls as it has slots, plus this many queued ones: it resets connections once its queue is full.
constexpr double maxQueuedPerUpstream = 2;

// Order in which waiting calls get upstreams.
bool goesBefore(const CallSpec &a, const CallSpec &b)
{
    return a.rank != b.rank ? a.rank < b.rank : a.objective < b.objective;
}

}

ServiceDispatcher::ServiceDispatcher(const PlacementOptions &options, Retry::TokenBucket &probeTokens, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_budget(options.retries)
    , m_probeTokens(probeTokens)
{
}

void ServiceDispatcher::configure(const PlacementOptions &options, Millis now)
{
    m_options = options;
    m_budget.configure(options.retries);
    m_upstreams.assignPreferred(options.daemonDomains, options.daemonIndex);
    m_upstreams.assignLimitPool(options.limitPool, now);
}

void ServiceDispatcher::setUpstreams(std::span<const UpstreamSpec> specs)
{
    m_upstreams.update(specs);
    m_upstreams.assignAffinity(m_options.host);
    m_upstreams.assignPreferred(m_options.daemonDomains, m_options.daemonIndex);
}

const UpstreamView *ServiceDispatcher::view(UpstreamId upstream) const
{
    return upstream < m_upstreams.size() ? &m_upstreams[upstream].view : nullptr;
}

Limits::LimitChange
ServiceDispatcher::observeLimit(std::string_view upstream, const Limits::LimitObservation &observation, bool isOwn, Millis now)
{
    const auto id = m_upstreams.idOf(upstream);
    return id ? m_upstreams.observeLimit(*id, observation, isOwn, now) : Limits::LimitChange::None;
}

AvailabilityChange
ServiceDispatcher::observeAvailability(std::string_view upstream, std::int64_t startedAt, const AvailabilityNotice &notice, Millis now)
{
    const auto id = m_upstreams.idOf(upstream);
    return id ? m_upstreams.observeAvailability(*id, startedAt, notice, now) : AvailabilityChange::None;
}

std::size_t ServiceDispatcher::waitingCalls() const
{
    return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const auto &it) {
        return it.second.search == Search::First && it.second.probeRounds >= maxProbeRounds;
    }));
}

void ServiceDispatcher::submit(const CallSpec &spec, Millis now, Actions &actions)
{
    ++m_counters.calls;
    m_firstCallAt = m_firstCallAt.value_or(now);
    m_budget.recordCall(now);
    auto &call = m_calls[spec.id];
    call.spec = spec;
    call.arrived = now;
    if (m_upstreams.listedCount() == 0) {
        ++m_counters.refused;
        actions.emplace_back(
            Dispatch::RefuseCall{.call = spec.id, .reason = RefusalReason::NoUpstream, .retryAfter = retryAfter(call, now)});
        m_calls.erase(spec.id);
        return;
    }
    // Refused before any probe is sent for it.
    if (endsTooSoonFor(spec, now)) {
        giveUp(call, now, actions);
        m_calls.erase(spec.id);
        return;
    }
    startSearch(call, Search::First, now, actions);
    if (advanceSearch(call, now, actions)) {
        m_calls.erase(spec.id);
    }
}

void ServiceDispatcher::drain(const DrainWindow &window, Millis now, Actions &actions)
{
    m_drainWindow = window;
    advanceSearches(now, actions);
}

void ServiceDispatcher::endCalls(Millis now, Actions &actions)
{
    for (auto &[id, it] : m_calls) {
        it.mayHaveRun = it.mayHaveRun || !it.activeAttempts.empty();
        cancelOthers(it, std::nullopt, now, actions);
        giveUp(it, now, actions);
    }
    m_calls.clear();
}

bool ServiceDispatcher::endsTooSoonFor(const CallSpec &spec, Millis now) const
{
    return m_drainWindow && !m_drainWindow->allows(now, spec.deadline, m_latencyModel.typicalLatency());
}

void ServiceDispatcher::startSearch(OpenCall &call, Search search, Millis now, Actions &actions)
{
    call.search = search;
    call.probeRounds = 0;
    call.lackedProbeTokens = false;
    call.probed.clear();
    // Two upstreams are enough while free slots are plentiful, and more cannot be probed while tokens are scarce.
    const bool probeFewer = m_pressure <= lowPressure || m_probeTokens.fillLevel(now) <= scarceProbeFillLevel;
    startProbeRound(call, probeFewer ? m_options.reducedFirstRoundProbes : m_options.firstRoundProbes, now, actions);
}

bool ServiceDispatcher::isEligible(const UpstreamEntry &entry, Millis now) const
{
    return entry.listed && !entry.view.inBackoff(now) && entry.availability.accepts(now) && entry.limit.allowsCall(now);
}

bool ServiceDispatcher::isPreferred(const UpstreamEntry &entry, Millis now) const
{
    // Few daemons call an upstream with a limit, so that nearly all calls running there are theirs.
    return entry.limit.perSecond(now) ? entry.limit.hasShare(now) : entry.preferred;
}

std::size_t ServiceDispatcher::familiarCount(Millis now) const
{
    // Under pressure a free slot is worth more than a kept connection, and at first the rate of calls is unknown.
    const bool rateKnown = m_firstCallAt && now - *m_firstCallAt >= m_options.retries.window;
    if (m_pressure > lowPressure || !rateKnown) {
        return m_upstreams.size();
    }
    // Each call probes about one upstream besides the preferred ones.
    const double callsPerLifetime = m_budget.calls(now) * (m_options.connectionLifetime / m_options.retries.window);
    return std::max(static_cast<std::size_t>(callsPerLifetime), minFamiliarUpstreams);
}

std::vector<UpstreamId> ServiceDispatcher::selectForProbing(const OpenCall &call, std::size_t count, Millis now)
{
    std::vector<UpstreamId> order;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const bool tried = std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), id) != call.triedUpstreams.end();
        const bool probed = std::find(call.probed.begin(), call.probed.end(), id) != call.probed.end();
        if (isEligible(m_upstreams[id], now) && !tried && !probed) {
            order.push_back(id);
        }
    }
    std::shuffle(order.begin(), order.end(), m_random);
    const auto familiar = familiarCount(now);
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return m_upstreams[id].affinityRank < familiar; });
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return isPreferred(m_upstreams[id], now); });
    // Bulk calls probe their own failure domain first; other calls probe it for half of the count, since a suitable near upstream is
    // as good as a far one. Under pressure domains are not distinguished, or the daemons of one domain would overload its upstreams.
    const auto localWanted = call.spec.bulk ? order.size() : m_pressure <= lowPressure ? count / 2 : 0;
    std::size_t localFound = 0;
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) {
        return m_upstreams[id].view.spec().domain == m_options.domain && localFound++ < localWanted;
    });
    order.resize(std::min(order.size(), count));
    return order;
}

void ServiceDispatcher::startProbeRound(OpenCall &call, std::size_t count, Millis now, Actions &actions)
{
    ++call.probeRounds;
    call.pressureUpdated = false;
    call.probeRoundDeadline = now + m_options.probeRoundTimeout;
    call.nextStepAt = call.probeRoundDeadline;
    for (const auto id : selectForProbing(call, count, now)) {
        auto &entry = m_upstreams[id];
        call.probed.push_back(id);
        if (entry.probing || entry.view.hasFreshReport(now, m_options.maxReportAge)) {
            continue;
        }
        if (!m_probeTokens.take(1, now)) {
            call.lackedProbeTokens = true;
            continue;
        }
        entry.probing = true;
        entry.probeStartedAt = now;
        ++m_counters.probes;
        actions.emplace_back(Dispatch::ProbeUpstream{.upstream = id});
    }
}

bool ServiceDispatcher::probeRoundEnded(const OpenCall &call, Millis now) const
{
    return now >= call.probeRoundDeadline
        || std::none_of(call.probed.begin(), call.probed.end(), [&](UpstreamId id) { return m_upstreams[id].probing; });
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::bestChoice(const OpenCall &call, Millis now) const
{
    std::optional<Choice> choice;
    double lowestCost = 0;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &entry = m_upstreams[id];
        const auto &view = entry.view;
        const auto maxReportAge = call.lackedProbeTokens ? maxStaleReportAge : m_options.maxReportAge;
        if (!isEligible(entry, now) || !view.hasFreshReport(now, maxReportAge)
            || std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), id) != call.triedUpstreams.end()) {
            continue;
        }
        if (view.estimatedCalls() + 1 > view.slots() + maxQueuedPerUpstream) {
            continue;
        }
        const auto expectedLatency = m_latencyModel.expectedLatency(view.conditionForNextCall(now));
        const bool crossDomain = view.spec().domain != m_options.domain;
        const auto distanceCost = !crossDomain || m_pressure > lowPressure ? 0_ms : call.spec.bulk ? crossDomainBulkCost : crossDomainCost;
        const double failureRate = view.failureRate(now);
        const double preferenceFactor = isPreferred(entry, now) ? 1 : nonPreferredCostFactor;
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

bool ServiceDispatcher::isSuitable(const OpenCall &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    return m_latencyModel.increasesThroughput(view.estimatedCalls(), view.slots()) && view.slowness(now) <= maxSuitableSlowness
        && view.failureRate(now) <= maxSuitableFailureRate && now + choice.expectedLatency <= call.spec.deadline;
}

bool ServiceDispatcher::isAcceptable(const OpenCall &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    if (call.search == Search::Hedge || !m_latencyModel.increasesThroughput(view.estimatedCalls(), view.slots())) {
        return false;
    }
    const auto latestUseful = now < call.spec.objective ? call.spec.objective : call.spec.deadline;
    return now + choice.expectedLatency <= latestUseful;
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::contentionTrial(OpenCall &call, Millis now)
{
    if (call.trialDecided || call.search != Search::First) {
        return std::nullopt;
    }
    std::optional<Choice> choice;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &view = m_upstreams[id].view;
        if (isEligible(m_upstreams[id], now) && view.hasFreshReport(now, m_options.maxReportAge) && view.hasFreeSlot()
            && view.slowness(now) <= maxSuitableSlowness && view.failureRate(now) <= maxSuitableFailureRate) {
            choice = Choice{.upstream = id, .expectedLatency = m_latencyModel.expectedLatency(view.conditionForNextCall(now))};
            break;
        }
    }
    if (!choice) {
        return std::nullopt;
    }
    call.trialDecided = true;
    std::bernoulli_distribution trialDraw(m_latencyModel.fullContentionKnown() ? trialProbability : untrainedTrialProbability);
    return trialDraw(m_random) ? choice : std::nullopt;
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::fallbackChoice(const OpenCall &call, Millis now) const
{
    std::optional<Choice> choice;
    for (const auto id : call.probed) {
        const auto &view = m_upstreams[id].view;
        const bool hasRoom = view.inFlight() < view.slots();
        if (isEligible(m_upstreams[id], now) && hasRoom && (!choice || view.inFlight() < m_upstreams[choice->upstream].view.inFlight())) {
            choice = Choice{.upstream = id, .expectedLatency = m_latencyModel.typicalLatency()};
        }
    }
    return choice;
}

bool ServiceDispatcher::wouldMissObjective(const OpenCall &call, Millis now) const
{
    return now + m_latencyModel.typicalLatency() * latencyMarginFactor > call.spec.objective;
}

bool ServiceDispatcher::displacesTimelyCalls(const OpenCall &call, Millis now) const
{
    return call.search == Search::First && m_pressure > highPressure && wouldMissObjective(call, now);
}

void ServiceDispatcher::updatePressure(OpenCall &call, bool noneSuitable)
{
    if (!call.pressureUpdated) {
        call.pressureUpdated = true;
        m_pressure = m_pressure * (1 - pressureUpdateWeight) + (noneSuitable ? pressureUpdateWeight : 0);
    }
}

bool ServiceDispatcher::advanceSearch(OpenCall &call, Millis now, Actions &actions)
{
    if (call.search == Search::None) {
        return false;
    }
    if (endsTooSoonFor(call.spec, now)) {
        return endSearch(call, now, actions);
    }
    const auto choice = bestChoice(call, now);
    const bool suitable = choice && isSuitable(call, *choice, now);
    // Upstreams that do not report load show a free slot by answering the probe quickly, so the first preferred one that answers is
    // used without waiting for the rest of the round.
    const bool sendEarly = suitable && !m_upstreamsReportLoad && isPreferred(m_upstreams[choice->upstream], now);
    if (!sendEarly && !probeRoundEnded(call, now)) {
        return false;
    }
    if (suitable) {
        updatePressure(call, false);
    } else if (call.probeRounds < maxProbeRounds) {
        startProbeRound(call, m_options.laterRoundProbes, now, actions);
        return probeRoundEnded(call, now) && advanceSearch(call, now, actions);
    } else if (choice || !call.lackedProbeTokens) {
        updatePressure(call, true);
    }
    // Under pressure slots are reserved for calls that can still be in time.
    if (displacesTimelyCalls(call, now)) {
        return giveUp(call, now, actions);
    }
    if (suitable || (choice && isAcceptable(call, *choice, now))) {
        send(call, *choice, now, actions);
        return false;
    }
    if (const auto trial = contentionTrial(call, now)) {
        send(call, *trial, now, actions);
        return false;
    }
    if (call.search == Search::Hedge) {
        return endSearch(call, now, actions);
    }
    const auto roomAt = upstreamsLeaveRoomAt(call, now);
    if (now >= waitLimit(call) || !roomAt || *roomAt > waitLimit(call)) {
        const auto fallback = call.lackedProbeTokens && m_pressure <= highPressure ? fallbackChoice(call, now) : std::nullopt;
        if (!fallback) {
            return giveUp(call, now, actions);
        }
        send(call, *fallback, now, actions);
        return false;
    }
    const auto nextProbeAt = *roomAt > now ? *roomAt : call.probeRoundDeadline + m_options.waitingProbeInterval;
    if (now >= nextProbeAt) {
        probeForWaitingCalls(call, now, actions);
    } else {
        call.nextStepAt = std::min(nextProbeAt, waitLimit(call));
    }
    return false;
}

bool ServiceDispatcher::endSearch(OpenCall &call, Millis now, Actions &actions)
{
    // The first attempt goes on if there is no hedge.
    if (call.search == Search::Hedge) {
        call.search = Search::None;
        call.hedgeAt = call.spec.deadline;
        return false;
    }
    return giveUp(call, now, actions);
}

std::optional<Millis> ServiceDispatcher::upstreamsLeaveRoomAt(const OpenCall &call, Millis now) const
{
    std::optional<Millis> unlimitedAt;
    std::optional<Millis> limitedAt;
    double sharesPerSecond = 0;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &entry = m_upstreams[id];
        const auto acceptsAt = entry.availability.acceptsAt(now);
        const auto limitAllowsAt = entry.limit.nextCallAt(now);
        if (!entry.listed || !acceptsAt || !limitAllowsAt) {
            continue;
        }
        const auto at = std::max(*acceptsAt, *limitAllowsAt);
        auto &earliest = entry.limit.perSecond(now) ? limitedAt : unlimitedAt;
        earliest = earliest ? std::min(*earliest, at) : at;
        sharesPerSecond += entry.limit.perSecond(now) ? entry.limit.share() : 0;
    }
    if (unlimitedAt && *unlimitedAt <= now) {
        return now;
    }
    if (limitedAt) {
        const auto callsAhead = std::count_if(m_calls.begin(), m_calls.end(), [&](const auto &it) {
            const auto &other = it.second;
            return other.search == Search::First && other.probeRounds >= maxProbeRounds && goesBefore(other.spec, call.spec);
        });
        limitedAt = *limitedAt + 1_s * (static_cast<double>(callsAhead) / sharesPerSecond);
    }
    return limitedAt && unlimitedAt ? std::min(*limitedAt, *unlimitedAt) : limitedAt ? limitedAt : unlimitedAt;
}

void ServiceDispatcher::probeForWaitingCalls(OpenCall &call, Millis now, Actions &actions)
{
    // The results of one round serve all waiting calls, and answers to earlier calls update the load reports as well.
    ++m_counters.waitingRounds;
    call.probed.clear();
    const bool probedRecently = now < m_waitingProbedAt + m_options.waitingProbeInterval;
    if (!probedRecently) {
        m_waitingProbedAt = now;
    }
    startProbeRound(call, probedRecently ? 0 : m_options.waitingRoundProbes, now, actions);
}

Millis ServiceDispatcher::waitLimit(const OpenCall &call) const
{
    if (call.search == Search::Retry) {
        return call.spec.deadline - m_latencyModel.typicalLatency();
    }
    const auto inTime = call.spec.objective - m_latencyModel.typicalLatency() * latencyMarginFactor;
    // A caller that will not return gets a late answer rather than none.
    return call.spec.returning ? std::max(inTime, call.arrived + (call.spec.deadline - call.arrived) * lateWaitShare) : inTime;
}

void ServiceDispatcher::send(OpenCall &call, const Choice &choice, Millis now, Actions &actions)
{
    auto &view = m_upstreams[choice.upstream].view;
    const bool hedge = call.search == Search::Hedge;
    if (call.search != Search::First) {
        m_budget.recordExtraAttempt(now);
        ++(hedge ? m_counters.hedges : m_counters.retries);
    }
    ++m_counters.sent;
    const Attempt attempt{.number = call.nextAttempt++,
                          .upstream = choice.upstream,
                          .sentAt = now,
                          .condition = view.conditionForNextCall(now),
                          .reportedFreeSlot = m_upstreamsReportLoad && view.report() && view.hasFreeSlot()};
    view.recordAttemptSent();
    m_upstreams[choice.upstream].limit.recordCall(now);
    call.activeAttempts.push_back(attempt);
    call.triedUpstreams.push_back(choice.upstream);
    ++call.attemptsRun;
    call.search = Search::None;
    call.hedgeAt = hedge ? call.spec.deadline : hedgeTime(call, now);
    actions.emplace_back(
        Dispatch::SendAttempt{.call = call.spec.id, .attempt = attempt.number, .upstream = choice.upstream, .hedge = hedge});
}

Millis ServiceDispatcher::hedgeTime(const OpenCall &call, Millis now) const
{
    if (!call.spec.idempotent || !m_latencyModel.hasMeasurements()) {
        return call.spec.deadline;
    }
    return now + m_latencyModel.typicalLatency() * hedgeDelayFactor;
}

bool ServiceDispatcher::giveUp(OpenCall &call, Millis now, Actions &actions)
{
    if (call.failedAttempt) {
        finish(call, *call.failedAttempt, Disposition::Done, actions);
        return true;
    }
    if (call.mayHaveRun) {
        finish(call, 0, Disposition::Unknown, actions);
        return true;
    }
    ++m_counters.refused;
    if (endsTooSoonFor(call.spec, now)) {
        // Other daemons have room, so the caller need not wait.
        actions.emplace_back(Dispatch::RefuseCall{.call = call.spec.id, .reason = RefusalReason::Draining, .retryAfter = 0_ms});
        return true;
    }
    actions.emplace_back(
        Dispatch::RefuseCall{.call = call.spec.id, .reason = RefusalReason::Overloaded, .retryAfter = retryAfter(call, now)});
    return true;
}

Millis ServiceDispatcher::retryAfter(const OpenCall &call, Millis now)
{
    // The delay is spread over the time left to meet the objective or, if that is over, over the time left until the deadline.
    const auto timeToObjective = call.spec.objective - now - m_latencyModel.typicalLatency();
    const auto spreadRange = timeToObjective > 0_ms ? timeToObjective * 0.6 : (call.spec.deadline - now) * 0.33;
    std::uniform_real_distribution<double> spread(0.4, 1.0);
    const auto delay = std::max(5_ms, spreadRange * spread(m_random));
    const auto roomAt = upstreamsLeaveRoomAt(call, now);
    return roomAt && *roomAt > now ? std::max(delay, *roomAt - now) : delay;
}

void ServiceDispatcher::probeEnded(UpstreamId upstream, const ProbeResult &result, Millis now, Actions &actions)
{
    if (upstream >= m_upstreams.size()) {
        return;
    }
    auto &entry = m_upstreams[upstream];
    entry.probing = false;
    learnFromProbe(entry, result, now);
    advanceSearches(now, actions);
}

void ServiceDispatcher::learnFromProbe(UpstreamEntry &entry, const ProbeResult &result, Millis now)
{
    if (!result.answered || result.wrongInstance) {
        entry.view.startBackoff(now);
        return;
    }
    if (result.load) {
        entry.view.recordLoadReport(*result.load, now);
        m_probesWithoutLoad = 0;
        m_upstreamsReportLoad = true;
    } else {
        m_probesWithoutLoad = std::min(m_probesWithoutLoad + 1, probesToAssumeNoLoad);
        m_upstreamsReportLoad = m_probesWithoutLoad < probesToAssumeNoLoad;
        if (!result.refused) {
            entry.view.recordServedProbe(now - entry.probeStartedAt, now);
        }
    }
    if (result.healthy) {
        entry.view.markHealthy();
    } else {
        entry.view.markUnhealthy(now);
    }
}

void ServiceDispatcher::advanceSearches(Millis now, Actions &actions)
{
    std::vector<OpenCall *> searching;
    for (auto &[id, it] : m_calls) {
        if (it.search != Search::None) {
            searching.push_back(&it);
        }
    }
    std::stable_sort(searching.begin(), searching.end(), [](const OpenCall *a, const OpenCall *b) { return goesBefore(a->spec, b->spec); });
    for (auto *it : searching) {
        if (advanceSearch(*it, now, actions)) {
            m_calls.erase(it->spec.id);
        }
    }
}

void ServiceDispatcher::attemptEnded(
    CallId id, AttemptNumber number, AttemptOutcome outcome, const std::optional<LoadReport> &load, Millis now, Actions &actions)
{
    const auto callIt = m_calls.find(id);
    if (callIt == m_calls.end()) {
        return;
    }
    auto &call = callIt->second;
    const auto attempt
        = std::find_if(call.activeAttempts.begin(), call.activeAttempts.end(), [&](const Attempt &it) { return it.number == number; });
    if (attempt == call.activeAttempts.end()) {
        return;
    }
    const auto signal = healthSignalOf(*attempt, outcome);
    const bool succeeded = signal == HealthSignal::Success;
    auto &entry = m_upstreams[attempt->upstream];
    entry.view.recordAttemptEnded(signal, now);
    entry.successes += succeeded ? 1 : 0;
    entry.failures += signal == HealthSignal::Failure ? 1 : 0;
    if (load) {
        entry.view.recordLoadReport(*load, now);
    }
    if (outcome == AttemptOutcome::NotSent) {
        entry.view.startBackoff(now);
    }
    if (succeeded && m_upstreamsReportLoad) {
        m_latencyModel.learn(attempt->condition, entry.view.estimatedCalls() / entry.view.slots(), now - attempt->sentAt);
    } else if (succeeded) {
        m_latencyModel.learnWithoutLoad(now - attempt->sentAt);
    }
    call.activeAttempts.erase(attempt);
    if (endAttempt(call, number, outcome, now, actions)) {
        m_calls.erase(id);
    }
    if (load) {
        advanceSearches(now, actions);
    }
}

HealthSignal ServiceDispatcher::healthSignalOf(const Attempt &attempt, AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return HealthSignal::Success;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Incomplete:
    case AttemptOutcome::TimedOut:
        return HealthSignal::Failure;
    case AttemptOutcome::Shed:
        // A full upstream may refuse calls; one that reported a free slot and still refuses is failing.
        return attempt.reportedFreeSlot ? HealthSignal::Failure : HealthSignal::None;
    default:
        return HealthSignal::None;
    }
}

bool ServiceDispatcher::endAttempt(OpenCall &call, AttemptNumber number, AttemptOutcome outcome, Millis now, Actions &actions)
{
    if (outcome == AttemptOutcome::Answered) {
        cancelOthers(call, number, now, actions);
        finish(call, number, Disposition::Done, actions);
        return true;
    }
    if (outcome == AttemptOutcome::NotSent) {
        --call.attemptsRun;
    }
    call.mayHaveRun = call.mayHaveRun || outcome == AttemptOutcome::Incomplete || outcome == AttemptOutcome::TimedOut
        || outcome == AttemptOutcome::Failed;
    if (outcome == AttemptOutcome::Failed) {
        call.failedAttempt = number;
    }
    if (!call.activeAttempts.empty()) {
        return false;
    }
    if (mayRetry(call, outcome, now)) {
        startSearch(call, Search::Retry, now, actions);
        return advanceSearch(call, now, actions);
    }
    return giveUp(call, now, actions);
}

bool ServiceDispatcher::mayRetry(const OpenCall &call, AttemptOutcome outcome, Millis now) const
{
    const bool mayRunAgain = outcome != AttemptOutcome::Cancelled && (call.spec.idempotent || !call.mayHaveRun);
    if (!mayRunAgain || call.attemptsRun >= call.spec.maxAttempts || now + m_latencyModel.typicalLatency() > call.spec.deadline) {
        return false;
    }
    return outcome == AttemptOutcome::NotSent || m_budget.allows(now);
}

void ServiceDispatcher::finish(OpenCall &call, AttemptNumber attempt, Disposition disposition, Actions &actions)
{
    actions.emplace_back(Dispatch::FinishCall{.call = call.spec.id, .attempt = attempt, .disposition = disposition, .retryAfter = {}});
}

void ServiceDispatcher::cancelOthers(OpenCall &call, std::optional<AttemptNumber> except, Millis now, Actions &actions)
{
    for (const auto &it : call.activeAttempts) {
        if (it.number != except) {
            m_upstreams[it.upstream].view.recordAttemptEnded(HealthSignal::None, now);
            actions.emplace_back(Dispatch::CancelAttempt{.call = call.spec.id, .attempt = it.number, .upstream = it.upstream});
        }
    }
    call.activeAttempts.clear();
}

void ServiceDispatcher::cancel(CallId id, Millis now, Actions &actions)
{
    const auto callIt = m_calls.find(id);
    if (callIt == m_calls.end()) {
        return;
    }
    cancelOthers(callIt->second, std::nullopt, now, actions);
    m_calls.erase(callIt);
}

bool ServiceDispatcher::expire(OpenCall &call, Millis now, Actions &actions)
{
    if (call.activeAttempts.empty()) {
        return giveUp(call, now, actions);
    }
    // The upstream stops at the deadline by itself; its final answer is awaited a little longer.
    if (now < call.spec.deadline + answerGrace) {
        return false;
    }
    for (const auto &it : call.activeAttempts) {
        ++m_upstreams[it.upstream].failures;
        m_upstreams[it.upstream].view.recordOutcomes(0, 1, now);
    }
    call.mayHaveRun = true;
    cancelOthers(call, std::nullopt, now, actions);
    return giveUp(call, now, actions);
}

void ServiceDispatcher::tick(Millis now, Actions &actions)
{
    std::vector<CallId> endedCalls;
    for (auto &[id, it] : m_calls) {
        if (now >= it.spec.deadline) {
            if (expire(it, now, actions)) {
                endedCalls.push_back(id);
            }
        } else if (it.search == Search::None && now >= it.hedgeAt) {
            it.hedgeAt = it.spec.deadline;
            if (it.attemptsRun < it.spec.maxAttempts && m_pressure <= highPressure && m_budget.allows(now, m_options.hedgeReserve)) {
                startSearch(it, Search::Hedge, now, actions);
            }
        }
    }
    for (const auto it : endedCalls) {
        m_calls.erase(it);
    }
    advanceSearches(now, actions);
}

Millis ServiceDispatcher::nextDueOf(const OpenCall &call) const
{
    const auto finalDue = call.activeAttempts.empty() ? call.spec.deadline : call.spec.deadline + answerGrace;
    switch (call.search) {
    case Search::None:
        return call.hedgeAt < call.spec.deadline ? call.hedgeAt : finalDue;
    case Search::First:
    case Search::Retry:
    case Search::Hedge:
        return std::min(finalDue, call.nextStepAt);
    }
    return finalDue;
}

std::optional<Millis> ServiceDispatcher::nextDue() const
{
    std::optional<Millis> due;
    for (const auto &[id, it] : m_calls) {
        const auto at = nextDueOf(it);
        due = due ? std::min(*due, at) : at;
    }
    return due;
}

}
