#include "core/placement/servicedispatcher.h"

#include "core/placement/domainloads.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

using Dispatch::Disposition;
using Dispatch::RefusalReason;

// A daemon with few calls still chooses among this many upstreams.
constexpr std::size_t minFamiliarUpstreams = 16;
// Share of calls that no failure domain is chosen for.
constexpr double undirectedProbability = 0.05;
// Share of waiting calls that are sent to a free slot of an upstream rejected for its expected contention: a learned factor could
// never be corrected if no call were sent against it. The second value applies while too few answers support the factor.
constexpr double trialProbability = 0.03;
constexpr double untrainedTrialProbability = 0.25;
// Up to this fill level of the probe token bucket, fewer upstreams are probed in the first round.
constexpr double scarceProbeFillLevel = 0.3;

}

ServiceDispatcher::ServiceDispatcher(const PlacementOptions &options, Retry::TokenBucket &probeTokens, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_budget(options.retries)
    , m_probeTokens(probeTokens)
    , m_chooser(m_upstreams, m_latencyModel, m_pressure, m_options)
    , m_waitPolicy(m_upstreams, m_latencyModel, m_order)
{
}

void ServiceDispatcher::configure(const PlacementOptions &options, Millis now)
{
    m_options = options;
    m_budget.configure(options.retries);
    m_upstreams.assignPreferred(options.daemonDomains, options.daemonIndex);
    m_upstreams.assignLimitPool(options.limitPool, options.coldBound, now);
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
    return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const auto &it) { return it.second.isWaiting(); }));
}

void ServiceDispatcher::submit(const CallSpec &spec, Millis now, Actions &actions)
{
    ++m_counters.calls;
    m_firstCallAt = m_firstCallAt.value_or(now);
    m_budget.recordCall(now);
    m_service.recordCall(spec.workspace, now);
    auto &call = m_calls[spec.id];
    call.spec = spec;
    call.arrived = now;
    if (m_upstreams.listedCount() == 0) {
        ++m_counters.refused;
        actions.emplace_back(Dispatch::RefuseCall{
            .call = spec.id, .reason = RefusalReason::NoUpstream, .retryAfter = m_waitPolicy.retryAfter(call, m_calls, now, m_random)});
        m_calls.erase(spec.id);
        return;
    }
    // Refused before any probe is sent for it.
    const bool isHopeless = m_hedgePolicy.isHopeless(call, now);
    if (isHopeless || endsTooSoonFor(spec, now)) {
        m_counters.refusedTooLate += isHopeless ? 1 : 0;
        giveUp(call, now, actions);
        m_calls.erase(spec.id);
        return;
    }
    call.domain = chooseDomain(spec, now);
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
    const bool probeFewer = m_pressure.isLow() || m_probeTokens.fillLevel(now) <= scarceProbeFillLevel;
    startProbeRound(call, probeFewer ? m_options.reducedFirstRoundProbes : m_options.firstRoundProbes, now, actions);
}

std::size_t ServiceDispatcher::familiarCount(Millis now) const
{
    // Under pressure a free slot is worth more than a kept connection, and at first the rate of calls is unknown.
    const bool rateKnown = m_firstCallAt && now - *m_firstCallAt >= m_options.retries.window;
    if (!m_pressure.isLow() || !rateKnown) {
        return m_upstreams.size();
    }
    // Each call probes about one upstream besides the preferred ones.
    const double callsPerLifetime = m_budget.calls(now) * (m_options.connectionLifetime / m_options.retries.window);
    return std::max(static_cast<std::size_t>(callsPerLifetime), minFamiliarUpstreams);
}

std::string ServiceDispatcher::chooseDomain(const CallSpec &spec, Millis now)
{
    if (!m_options.balanceDomains) {
        return {};
    }
    if (m_domainChoice.isDue(now)) {
        m_domainChoice.update(m_options.domain, domainLoads(m_upstreams, m_options.domain, m_latencyModel.typicalLatency(), now), now);
    }
    // A few calls are placed as if there were no choice, so that the room of other domains stays known.
    if (std::bernoulli_distribution(undirectedProbability)(m_random)) {
        return {};
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    return std::string(m_domainChoice.choose(spec.bulk, draw).value_or(m_options.domain));
}

void ServiceDispatcher::startProbeRound(OpenCall &call, std::size_t count, Millis now, Actions &actions)
{
    ++call.probeRounds;
    call.pressureUpdated = false;
    call.probeRoundDeadline = now + m_options.probeRoundTimeout;
    call.nextStepAt = call.probeRoundDeadline;
    for (const auto id : m_chooser.selectForProbing(call, count, familiarCount(now), now, m_random)) {
        const auto &entry = m_upstreams[id];
        call.probed.push_back(id);
        const bool isKnown = entry.view.hasFreshReport(now, m_options.maxReportAge) && entry.cold.isKnown(now);
        if (!entry.probing && !isKnown && !startProbe(id, now, actions)) {
            call.lackedProbeTokens = true;
        }
    }
}

bool ServiceDispatcher::startProbe(UpstreamId id, Millis now, Actions &actions)
{
    if (!m_probeTokens.take(1, now)) {
        return false;
    }
    auto &entry = m_upstreams[id];
    entry.probing = true;
    entry.probeStartedAt = now;
    ++m_counters.probes;
    actions.emplace_back(Dispatch::ProbeUpstream{.upstream = id});
    return true;
}

bool ServiceDispatcher::probeRoundEnded(const OpenCall &call, Millis now) const
{
    return now >= call.probeRoundDeadline
        || std::none_of(call.probed.begin(), call.probed.end(), [&](UpstreamId id) { return m_upstreams[id].probing; });
}

std::optional<Choice> ServiceDispatcher::contentionTrial(OpenCall &call, Millis now)
{
    if (call.trialDecided || call.search != Search::First) {
        return std::nullopt;
    }
    const auto choice = m_chooser.trialChoice(now);
    if (!choice) {
        return std::nullopt;
    }
    call.trialDecided = true;
    std::bernoulli_distribution trialDraw(m_latencyModel.fullContentionKnown() ? trialProbability : untrainedTrialProbability);
    return trialDraw(m_random) ? choice : std::nullopt;
}

bool ServiceDispatcher::displacesTimelyCalls(const OpenCall &call, Millis now) const
{
    return call.search == Search::First && m_pressure.isHigh() && m_waitPolicy.wouldMissObjective(call, now);
}

void ServiceDispatcher::updatePressure(OpenCall &call, bool noneSuitable)
{
    // Repeated searches for a hedge would count one late call many times.
    if (!call.pressureUpdated && call.failedHedgeSearches == 0) {
        call.pressureUpdated = true;
        m_pressure.update(noneSuitable);
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
    if (call.search != Search::Hedge && m_hedgePolicy.isHopeless(call, now)) {
        m_counters.refusedTooLate += call.attemptsRun == 0 ? 1 : 0;
        return giveUp(call, now, actions);
    }
    const auto choice = m_chooser.bestChoice(call, now);
    const bool suitable = choice && m_chooser.isSuitable(call, *choice, now);
    // Upstreams that do not report load show a free slot by answering the probe quickly, so the first preferred one that answers is
    // used without waiting for the rest of the round.
    const bool sendEarly = suitable && !m_probeLearner.upstreamsReportLoad() && m_chooser.isPreferred(m_upstreams[choice->upstream], now);
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
    if (suitable || (choice && m_chooser.isAcceptable(call, *choice, now))) {
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
    const auto roomAt = m_waitPolicy.upstreamsLeaveRoomAt(call, m_calls, now);
    if (now >= m_waitPolicy.waitLimit(call) || !roomAt || *roomAt > m_waitPolicy.waitLimit(call)) {
        const auto fallback = call.lackedProbeTokens && !m_pressure.isHigh() ? m_chooser.fallbackChoice(call, now) : std::nullopt;
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
        call.nextStepAt = std::min(nextProbeAt, m_waitPolicy.waitLimit(call));
    }
    return false;
}

bool ServiceDispatcher::endSearch(OpenCall &call, Millis now, Actions &actions)
{
    // The first attempt goes on if there is no hedge.
    if (call.search == Search::Hedge) {
        call.search = Search::None;
        ++call.failedHedgeSearches;
        m_hedgePlanner.deny(call, HedgeDenial::NoUpstream, now);
        return false;
    }
    return giveUp(call, now, actions);
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

void ServiceDispatcher::send(OpenCall &call, const Choice &choice, Millis now, Actions &actions)
{
    auto &view = m_upstreams[choice.upstream].view;
    const bool hedge = call.search == Search::Hedge;
    if (call.search != Search::First) {
        m_budget.recordExtraAttempt(now);
        ++(hedge ? m_counters.hedges : m_counters.retries);
    }
    ++m_counters.sent;
    m_service.recordAttempt(call.spec.workspace, call.search == Search::First, now);
    const Attempt attempt{.number = call.nextAttempt++,
                          .upstream = choice.upstream,
                          .sentAt = now,
                          .condition = view.conditionForNextCall(now),
                          .reportedFreeSlot = m_probeLearner.upstreamsReportLoad() && view.report() && view.hasFreeSlot()};
    view.recordAttemptSent();
    m_upstreams[choice.upstream].limit.recordCall(now);
    m_upstreams[choice.upstream].cold.recordCall(now);
    call.activeAttempts.push_back(attempt);
    call.triedUpstreams.push_back(choice.upstream);
    ++call.attemptsRun;
    call.search = Search::None;
    call.hedgeAt = hedge ? call.spec.deadline : m_hedgePolicy.firstTime(call.spec, now);
    actions.emplace_back(
        Dispatch::SendAttempt{.call = call.spec.id, .attempt = attempt.number, .upstream = choice.upstream, .hedge = hedge});
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
    actions.emplace_back(Dispatch::RefuseCall{
        .call = call.spec.id, .reason = RefusalReason::Overloaded, .retryAfter = m_waitPolicy.retryAfter(call, m_calls, now, m_random)});
    return true;
}

void ServiceDispatcher::probeEnded(UpstreamId upstream, const ProbeResult &result, Millis now, Actions &actions)
{
    if (upstream >= m_upstreams.size()) {
        return;
    }
    auto &entry = m_upstreams[upstream];
    entry.probing = false;
    m_probeLearner.learn(entry, result, now);
    advanceSearches(now, actions);
}

void ServiceDispatcher::advanceSearches(Millis now, Actions &actions)
{
    std::vector<OpenCall *> searching;
    for (auto &[id, it] : m_calls) {
        if (it.search != Search::None) {
            searching.push_back(&it);
        }
    }
    m_order.sort(searching, now);
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
    const auto upstream = attempt->upstream;
    auto &entry = m_upstreams[upstream];
    entry.view.recordAttemptEnded(signal, now);
    entry.successes += succeeded ? 1 : 0;
    entry.failures += signal == HealthSignal::Failure ? 1 : 0;
    if (load) {
        entry.view.recordLoadReport(*load, now);
    }
    if (outcome == AttemptOutcome::NotSent) {
        entry.view.startBackoff(now);
    }
    if (succeeded) {
        m_hedgePolicy.learn(now - attempt->sentAt);
    }
    if (succeeded && m_probeLearner.upstreamsReportLoad()) {
        m_latencyModel.learn(attempt->condition, entry.view.estimatedCalls() / entry.view.slots(), now - attempt->sentAt);
    } else if (succeeded) {
        m_latencyModel.learnWithoutLoad(now - attempt->sentAt);
    }
    call.activeAttempts.erase(attempt);
    if (endAttempt(call, number, outcome, now, actions)) {
        m_calls.erase(id);
    }
    if (load) {
        // A free slot is of use to waiting calls only once a probe shows whether the upstream is cold.
        if (!entry.cold.isKnown(now) && !entry.probing && waitingCalls() > 0) {
            startProbe(upstream, now, actions);
        }
        advanceSearches(now, actions);
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
            // It takes at least this long; without it slow attempts, which are often cancelled, would be missing.
            m_hedgePolicy.learn(now - it.sentAt);
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
    std::vector<OpenCall *> hedgesDue;
    for (auto &[id, it] : m_calls) {
        if (now >= it.spec.deadline) {
            if (expire(it, now, actions)) {
                endedCalls.push_back(id);
            }
        } else if (it.search == Search::None && now >= it.hedgeAt) {
            hedgesDue.push_back(&it);
        }
    }
    for (auto *it : m_hedgePlanner.plan(hedgesDue, m_calls, m_options.hedgeReserve, now)) {
        startSearch(*it, Search::Hedge, now, actions);
    }
    for (const auto it : endedCalls) {
        m_calls.erase(it);
    }
    advanceSearches(now, actions);
}

std::optional<Millis> ServiceDispatcher::nextDue() const
{
    std::optional<Millis> due;
    for (const auto &[id, it] : m_calls) {
        const auto at = it.nextDue();
        due = due ? std::min(*due, at) : at;
    }
    return due;
}

}
