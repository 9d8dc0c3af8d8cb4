#include "core/dispatch/dispatcher.h"

#include <algorithm>

namespace Laburnummast::Dispatch
{
namespace
{

// Shortest time over which a dispatch rate is measured, and the weight of one measurement in the moving average.
constexpr Millis minRateInterval = 100_ms;
constexpr double rateSmoothing = 0.3;
// A queue whose oldest call has waited longer than this share of the latency target is a standing queue: its newest
// calls can still meet the target, its oldest cannot.
constexpr double standingQueueShare = 0.25;
constexpr double hedgeQuantile = 0.95;
// No call is hedged before this delay: a second attempt would cost more than the wait that it saves.
constexpr Millis minHedgeDelay = 10_ms;
constexpr double latestStartQuantile = 0.95;
constexpr Millis minRetryAfter = 1_s;
constexpr Millis maxRetryAfter = 30_s;
constexpr std::size_t maxAttempts = 4;
// A deferrable call precedes a normal one once the flow of the normal one has received this much more service per weight; each
// dispatched call of a flow of weight one adds 1.
constexpr double maxFlowLead = 20;

bool certainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Shed || outcome == AttemptOutcome::NotSent;
}

bool isAnswer(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Failed;
}

Disposition dispositionOf(AttemptOutcome outcome)
{
    if (isAnswer(outcome)) {
        return Disposition::Done;
    }
    return certainlyNotRun(outcome) ? Disposition::NotRun : Disposition::Unknown;
}

}

std::string_view nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::WaitWouldPassDeadline:
        return "wait-would-pass-deadline";
    case RefusalReason::Expired:
        return "expired";
    case RefusalReason::NoUpstream:
        return "no-upstream";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Draining:
        return "draining";
    }
    return "unknown";
}

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : m_options(options)
    , m_router(options.domain, options.seed)
    , m_queues{Admission::FairQueue(m_flowClock), Admission::FairQueue(m_flowClock), Admission::FairQueue(m_flowClock)}
    , m_floorCredits(options.floors)
    , m_retryBudget(options.retryShare)
    , m_hedgeBudget(options.hedgeShare)
    , m_probeBucket(options.probesPerSecond, options.probesPerSecond)
{
}

void Dispatcher::configure(const DispatcherOptions &options)
{
    m_options = options;
    m_floorCredits.setFloors(options.floors);
    m_retryBudget.setShare(options.retryShare);
    m_hedgeBudget.setShare(options.hedgeShare);
}

void Dispatcher::setUpstreams(std::span<const UpstreamSpec> specs, Millis now, Actions &actions)
{
    m_router.setUpstreams(specs, now);
    dispatchQueued(now, actions);
}

void Dispatcher::setDispatchers(std::span<const std::string> names, std::string_view self)
{
    m_router.setDispatchers(names, self);
}

void Dispatcher::setDraining(std::string_view upstream, bool draining)
{
    m_router.setDraining(upstream, draining);
}

void Dispatcher::submit(const CallRequest &request, Millis now, Actions &actions)
{
    ++m_counters.submitted[indexOf(request.priority)];
    m_retryBudget.recordCall();
    if (request.idempotent) {
        m_hedgeBudget.recordCall();
    }
    auto &call = m_calls[request.id];
    call.request = request;
    // Draining or ejected upstreams may become usable again while the call waits, so only a call without any upstream is refused.
    if (m_router.usableCount(now) == 0 && m_router.upstreams().empty()) {
        refuse(request.id, RefusalReason::NoUpstream, actions);
        return;
    }
    if (waitWouldPassDeadline(request, now)) {
        refuse(request.id, RefusalReason::WaitWouldPassDeadline, actions);
        return;
    }
    enqueue(call, false, now);
    dispatchQueued(now, actions);
    auto &queue = m_queues[indexOf(request.priority)];
    if (queue.size() > m_options.queueLimit) {
        if (const auto dropped = queue.dropFromLongest()) {
            m_calls[dropped->id].queued = false;
            refuse(dropped->id, RefusalReason::QueueFull, actions);
        }
    }
}

void Dispatcher::enqueue(PendingCall &call, bool requeued, Millis now)
{
    const auto &request = call.request;
    const Admission::QueuedCall queued{.id = request.id, .queuedAt = now, .expiresAt = latestStart(request, now)};
    auto &queue = m_queues[indexOf(request.priority)];
    call.queued = true;
    if (requeued) {
        queue.requeue(request.flow, request.weight, queued, serveOrderOf(request.priority, now));
    } else {
        queue.push(request.flow, request.weight, queued);
    }
}

void Dispatcher::dispatchQueued(Millis now, Actions &actions)
{
    while (dispatchNext(now, actions)) { }
}

bool Dispatcher::dispatchNext(Millis now, Actions &actions)
{
    // A priority with enough floor credit goes first and may use any upstream, so that the limits of assigned upstreams
    // cannot starve it.
    for (const auto priority : {Priority::Normal, Priority::Deferrable}) {
        if (m_floorCredits.isEntitled(priority) && dispatchFrom(priority, SelectionRule::AnyUpstream, now, actions)) {
            return true;
        }
    }
    const auto second = deferrablePrecedesNormal() ? Priority::Deferrable : Priority::Normal;
    const auto third = second == Priority::Normal ? Priority::Deferrable : Priority::Normal;
    for (const auto priority : {Priority::Urgent, second, third}) {
        if (dispatchFrom(priority, selectionRuleOf(priority), now, actions)) {
            return true;
        }
    }
    return false;
}

// A flow of normal calls that has received far more than its fair share must not starve the deferrable calls of another flow.
// Urgent calls precede both.
bool Dispatcher::deferrablePrecedesNormal() const
{
    const auto normal = m_queues[indexOf(Priority::Normal)].nextFlow();
    const auto deferrable = m_queues[indexOf(Priority::Deferrable)].nextFlow();
    return normal && deferrable && m_flowClock.normalizedService(*normal) - m_flowClock.normalizedService(*deferrable) > maxFlowLead;
}

SelectionRule Dispatcher::selectionRuleOf(Priority priority) const
{
    return priority == Priority::Urgent ? SelectionRule::AnyUpstream : SelectionRule::AssignedUpstreams;
}

bool Dispatcher::dispatchFrom(Priority priority, SelectionRule rule, Millis now, Actions &actions)
{
    auto &queue = m_queues[indexOf(priority)];
    if (queue.empty()) {
        return false;
    }
    const auto firstChoice = m_router.choose(rule, {}, now);
    if (!firstChoice) {
        return false;
    }
    const auto waiting = waitingPriorities();
    const auto order = serveOrderOf(priority, now);
    const auto queued = queue.pop(order);
    auto &call = m_calls[queued->id];
    // A retry prefers an upstream that the call has not tried yet, but uses a tried one if there is no other.
    const bool alreadyTried = std::find(call.triedUpstreams.begin(), call.triedUpstreams.end(), *firstChoice) != call.triedUpstreams.end();
    const auto upstream = alreadyTried ? m_router.choose(rule, call.triedUpstreams, now) : firstChoice;
    call.queued = false;
    m_floorCredits.recordDispatch(priority, waiting);
    ++m_counters.dispatched[indexOf(priority)];
    send(call, upstream.value_or(*firstChoice), false, now, actions);
    return true;
}

void Dispatcher::send(PendingCall &call, UpstreamId upstream, bool hedge, Millis now, Actions &actions)
{
    const auto number = call.nextAttempt++;
    call.activeAttempts.push_back(
        {.number = number, .upstream = upstream, .start = m_router.startAttempt(upstream, call.request.priority, now)});
    call.triedUpstreams.push_back(upstream);
    ++m_counters.attempts;
    actions.emplace_back(SendAttempt{.call = call.request.id, .attempt = number, .upstream = upstream, .hedge = hedge});
    if (!hedge && call.request.idempotent && call.request.resendable && call.request.priority != Priority::Deferrable) {
        m_hedgeTimers.push_back({.sentAt = now, .call = call.request.id});
    }
}

void Dispatcher::refuse(CallId call, RefusalReason reason, Actions &actions)
{
    const auto it = m_calls.find(call);
    const auto priority = it->second.request.priority;
    ++m_counters.refused[indexOf(priority)];
    actions.emplace_back(RefuseCall{.call = call, .reason = reason, .retryAfter = suggestedRetryAfter(priority)});
    m_calls.erase(it);
}

void Dispatcher::attemptEnded(CallId id, AttemptNumber number, const AttemptResult &result, Millis now, Actions &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &call = found->second;
    const auto hasNumber = [&](const Attempt &attempt) { return attempt.number == number; };
    const auto attempt = std::find_if(call.activeAttempts.begin(), call.activeAttempts.end(), hasNumber);
    if (attempt == call.activeAttempts.end()) {
        return;
    }
    m_router.endAttempt(attempt->upstream, attempt->start, result, now);
    call.activeAttempts.erase(attempt);
    if (!call.finished) {
        if (mayRetry(call, result, now)) {
            ++m_counters.retries;
            enqueue(call, true, now);
        } else if (isAnswer(result.outcome) || call.activeAttempts.empty()) {
            finish(call, number, dispositionOf(result.outcome), actions);
        }
    }
    if (call.finished && call.activeAttempts.empty()) {
        m_calls.erase(found);
    }
    dispatchQueued(now, actions);
}

bool Dispatcher::mayRetry(const PendingCall &call, const AttemptResult &result, Millis now)
{
    const auto &request = call.request;
    if (result.outcome == AttemptOutcome::Answered || result.doNotRetry || !call.activeAttempts.empty()) {
        return false;
    }
    if (call.triedUpstreams.size() >= maxAttempts || latestStart(request, now) <= now) {
        return false;
    }
    // A request that was not buffered can be sent again only if no part of it was sent.
    const bool canResend = request.resendable || result.outcome == AttemptOutcome::NotSent;
    const bool safeToRepeat = request.idempotent || certainlyNotRun(result.outcome);
    return canResend && safeToRepeat && m_retryBudget.take();
}

void Dispatcher::finish(PendingCall &call, AttemptNumber attempt, Disposition disposition, Actions &actions)
{
    call.finished = true;
    actions.emplace_back(FinishCall{
        .call = call.request.id, .attempt = attempt, .disposition = disposition, .retryAfter = suggestedRetryAfter(call.request.priority)});
    for (const auto &it : call.activeAttempts) {
        actions.emplace_back(CancelAttempt{.call = call.request.id, .attempt = it.number, .upstream = it.upstream});
    }
}

bool Dispatcher::cancel(CallId id, Actions &actions)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.finished) {
        return false;
    }
    auto &call = it->second;
    if (call.queued) {
        const bool neverSent = call.triedUpstreams.empty();
        m_queues[indexOf(call.request.priority)].remove(id);
        m_calls.erase(it);
        return neverSent;
    }
    // A call that is neither queued nor finished has an attempt in flight.
    finish(call, call.activeAttempts.front().number, Disposition::Unknown, actions);
    return false;
}

void Dispatcher::probeEnded(UpstreamId upstream, bool healthy, const LoadReport &report, Millis now, Actions &actions)
{
    m_router.recordProbe(upstream, healthy, report, now);
    dispatchQueued(now, actions);
}

void Dispatcher::tick(Millis now, Actions &actions)
{
    measureDispatchRates(now);
    refuseExpired(now, actions);
    hedgeLateCalls(now, actions);
    requestProbes(now, actions);
    dispatchQueued(now, actions);
}

void Dispatcher::refuseExpired(Millis now, Actions &actions)
{
    std::vector<Admission::QueuedCall> expired;
    for (auto &it : m_queues) {
        it.removeExpired(now, expired);
    }
    for (const auto &it : expired) {
        refuse(it.id, RefusalReason::Expired, actions);
    }
}

void Dispatcher::hedgeLateCalls(Millis now, Actions &actions)
{
    const Millis hedgeDelay = std::max(m_router.latencyQuantile(hedgeQuantile), minHedgeDelay);
    while (!m_hedgeTimers.empty() && now - m_hedgeTimers.front().sentAt >= hedgeDelay) {
        const auto timer = m_hedgeTimers.front();
        m_hedgeTimers.pop_front();
        const auto it = m_calls.find(timer.call);
        if (it == m_calls.end() || it->second.finished || it->second.hedged || it->second.activeAttempts.size() != 1) {
            continue;
        }
        // Hedges use only capacity that no queued urgent or normal call needs.
        const bool urgentOrNormalQueued = !m_queues[indexOf(Priority::Urgent)].empty() || !m_queues[indexOf(Priority::Normal)].empty();
        const auto upstream
            = urgentOrNormalQueued ? std::nullopt : m_router.choose(SelectionRule::AssignedUpstreams, it->second.triedUpstreams, now);
        if (upstream && m_hedgeBudget.take()) {
            it->second.hedged = true;
            ++m_counters.hedges;
            send(it->second, *upstream, true, now, actions);
        }
    }
}

void Dispatcher::requestProbes(Millis now, Actions &actions)
{
    std::vector<UpstreamId> due;
    m_router.findDueForProbe(now, m_options.probeAfter, due);
    for (const auto it : due) {
        if (m_probeBucket.take(1, now)) {
            ++m_counters.probes;
            actions.emplace_back(ProbeUpstream{.upstream = it});
        }
    }
}

void Dispatcher::measureDispatchRates(Millis now)
{
    const Millis span = now - m_rateMeasuredAt;
    if (span < minRateInterval) {
        return;
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        const double rate = static_cast<double>(m_counters.dispatched[i] - m_previousDispatched[i]) / span.count;
        m_dispatchesPerMs[i] += rateSmoothing * (rate - m_dispatchesPerMs[i]);
        m_previousDispatched[i] = m_counters.dispatched[i];
    }
    m_rateMeasuredAt = now;
}

// Returns the latest time at which the call can be sent so that the share latestStartQuantile of such calls is answered by the
// deadline. If the latency exceeds half of the remaining time, that half is left for queueing.
Millis Dispatcher::latestStart(const CallRequest &request, Millis now) const
{
    const Millis highLatency = m_router.latencyQuantile(latestStartQuantile);
    const Millis remaining = request.deadline - now;
    return request.deadline - std::min(highLatency, remaining * 0.5);
}

// The wait is estimated only for a queue that is served oldest first; one that is served newest first takes new calls at once.
bool Dispatcher::waitWouldPassDeadline(const CallRequest &request, Millis now) const
{
    const auto &queue = m_queues[indexOf(request.priority)];
    const double rate = m_dispatchesPerMs[indexOf(request.priority)];
    const auto ahead = queue.size(request.flow);
    if (latestStart(request, now) <= now) {
        return true;
    }
    if (ahead == 0 || rate <= 0 || serveOrderOf(request.priority, now) == Admission::ServeOrder::NewestFirst) {
        return false;
    }
    const Millis wait{static_cast<double>(ahead) / (rate * queue.shareOf(request.flow, request.weight))};
    return now + wait > latestStart(request, now);
}

Millis Dispatcher::suggestedRetryAfter(Priority priority) const
{
    const double rate = m_dispatchesPerMs[indexOf(priority)];
    const auto waitingCalls = static_cast<double>(m_queues[indexOf(priority)].size());
    const Millis wait{rate > 0 ? waitingCalls / rate : minRetryAfter.count};
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

Admission::ServeOrder Dispatcher::serveOrderOf(Priority priority, Millis now) const
{
    if (priority == Priority::Deferrable) {
        return Admission::ServeOrder::OldestFirst;
    }
    const auto oldest = m_queues[indexOf(priority)].oldestArrival();
    const bool standing = oldest && now - *oldest > m_options.latencyTargets[indexOf(priority)] * standingQueueShare;
    return standing ? Admission::ServeOrder::NewestFirst : Admission::ServeOrder::OldestFirst;
}

std::array<bool, priorityCount> Dispatcher::waitingPriorities() const
{
    std::array<bool, priorityCount> result{};
    for (std::size_t i = 0; i < priorityCount; ++i) {
        result[i] = !m_queues[i].empty();
    }
    return result;
}

std::optional<InvariantError> Dispatcher::checkInvariants() const
{
    std::vector<int> inFlight(m_router.upstreams().size(), 0);
    std::size_t queued = 0;
    for (const auto &[id, call] : m_calls) {
        queued += call.queued ? 1 : 0;
        for (const auto &it : call.activeAttempts) {
            ++inFlight[it.upstream];
        }
        if (!call.request.idempotent && call.activeAttempts.size() > 1) {
            return InvariantError::NonIdempotentInFlightTwice;
        }
    }
    std::size_t inQueues = 0;
    for (const auto &it : m_queues) {
        inQueues += it.size();
    }
    if (queued != inQueues) {
        return InvariantError::QueueMismatch;
    }
    for (std::size_t i = 0; i < inFlight.size(); ++i) {
        const auto &load = m_router.upstreams()[i].load;
        if (inFlight[i] != load.inFlight()) {
            return InvariantError::InFlightMismatch;
        }
        if (load.inFlight() > load.slots() + 1) {
            return InvariantError::LimitExceeded;
        }
    }
    return std::nullopt;
}

}
