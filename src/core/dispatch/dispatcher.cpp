#include "core/dispatch/dispatcher.h"

#include <algorithm>

namespace Laburnummast::Dispatch
{
namespace
{

constexpr Millis drainWindow = 100_ms;
constexpr double drainWeight = 0.3;
// A queue older than this share of its target stands: the newest calls can still be met in time, the oldest cannot.
constexpr double standingShare = 0.25;
constexpr double hedgeQuantile = 0.95;
// A second copy of a shorter call costs more than the wait it saves.
constexpr Millis leastHedgeDelay = 10_ms;
constexpr double hopefulQuantile = 0.95;
constexpr Millis minRetryAfter = 1_s;
constexpr Millis maxRetryAfter = 30_s;
constexpr std::size_t maxAttempts = 4;
// Calls by which a flow may lead another, at weight one, before its priority no longer helps it.
constexpr double maxFlowLead = 20;

bool provablyNotRun(AttemptOutcome outcome)
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
    return provablyNotRun(outcome) ? Disposition::NotRun : Disposition::Unknown;
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
    }
    return "unknown";
}

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : m_options(options)
    , m_router(options.domain, options.seed)
    , m_queues{Admission::FairQueue(m_clock), Admission::FairQueue(m_clock), Admission::FairQueue(m_clock)}
    , m_credits(options.floors)
    , m_retries(options.retryShare)
    , m_hedges(options.hedgeShare)
    , m_probes(options.probesPerSecond, options.probesPerSecond)
{
}

void Dispatcher::configure(const DispatcherOptions &options)
{
    m_options = options;
    m_credits.setFloors(options.floors);
    m_retries.setShare(options.retryShare);
    m_hedges.setShare(options.hedgeShare);
}

void Dispatcher::setUpstreams(std::span<const UpstreamSpec> specs, Millis now, Actions &actions)
{
    m_router.setUpstreams(specs, now);
    pump(now, actions);
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
    m_retries.recordCall();
    if (request.idempotent) {
        m_hedges.recordCall();
    }
    auto &call = m_calls[request.id];
    call.request = request;
    if (m_router.usable(now) == 0 && m_router.slots().empty()) {
        refuse(request.id, RefusalReason::NoUpstream, actions);
        return;
    }
    if (waitWouldPassDeadline(request, now)) {
        refuse(request.id, RefusalReason::WaitWouldPassDeadline, actions);
        return;
    }
    enqueue(call, false, now);
    pump(now, actions);
    auto &queue = m_queues[indexOf(request.priority)];
    if (queue.size() > m_options.queueLimit) {
        if (const auto dropped = queue.dropFromLongest()) {
            m_calls[dropped->id].queued = false;
            refuse(dropped->id, RefusalReason::QueueFull, actions);
        }
    }
}

void Dispatcher::enqueue(Pending &call, bool next, Millis now)
{
    const auto &request = call.request;
    const Admission::QueuedCall queued{.id = request.id, .queuedAt = now, .expiresAt = latestStart(request, now)};
    auto &queue = m_queues[indexOf(request.priority)];
    call.queued = true;
    if (next) {
        queue.pushNext(request.flow, request.weight, queued, orderOf(request.priority, now));
    } else {
        queue.push(request.flow, request.weight, queued);
    }
}

void Dispatcher::pump(Millis now, Actions &actions)
{
    while (pumpOne(now, actions)) { }
}

bool Dispatcher::pumpOne(Millis now, Actions &actions)
{
    // A floor goes first where its credit is due, and by the urgent rule: own-part limits must not starve it.
    for (const auto priority : {Priority::Normal, Priority::Deferrable}) {
        if (m_credits.entitled(priority) && sendFrom(priority, PlaceRule::Anywhere, now, actions)) {
            return true;
        }
    }
    const auto second = deferrableGoesFirst() ? Priority::Deferrable : Priority::Normal;
    const auto third = second == Priority::Normal ? Priority::Deferrable : Priority::Normal;
    for (const auto priority : {Priority::Urgent, second, third}) {
        if (sendFrom(priority, ruleOf(priority), now, actions)) {
            return true;
        }
    }
    return false;
}

// Below the urgent work a partner's flood of a higher priority must not take the share of another's lower one.
bool Dispatcher::deferrableGoesFirst() const
{
    const auto normal = m_queues[indexOf(Priority::Normal)].nextFlow();
    const auto deferrable = m_queues[indexOf(Priority::Deferrable)].nextFlow();
    return normal && deferrable && m_clock.served(*normal) - m_clock.served(*deferrable) > maxFlowLead;
}

PlaceRule Dispatcher::ruleOf(Priority priority) const
{
    return priority == Priority::Urgent ? PlaceRule::Anywhere : PlaceRule::OwnPart;
}

bool Dispatcher::sendFrom(Priority priority, PlaceRule rule, Millis now, Actions &actions)
{
    auto &queue = m_queues[indexOf(priority)];
    if (queue.empty()) {
        return false;
    }
    const auto anyPlace = m_router.choose(rule, {}, now);
    if (!anyPlace) {
        return false;
    }
    const auto isWaiting = waiting();
    const auto order = orderOf(priority, now);
    const auto queued = queue.pop(order);
    auto &call = m_calls[queued->id];
    // A retry prefers an upstream that it has not tried; the one tried is better than none.
    const bool retried = std::find(call.tried.begin(), call.tried.end(), *anyPlace) != call.tried.end();
    const auto place = retried ? m_router.choose(rule, call.tried, now) : anyPlace;
    call.queued = false;
    m_credits.dispatched(priority, isWaiting);
    ++m_counters.dispatched[indexOf(priority)];
    send(call, place.value_or(*anyPlace), false, now, actions);
    return true;
}

void Dispatcher::send(Pending &call, UpstreamId upstream, bool hedge, Millis now, Actions &actions)
{
    const auto number = call.nextAttempt++;
    call.active.push_back({.number = number, .upstream = upstream, .start = m_router.start(upstream, call.request.priority, now)});
    call.tried.push_back(upstream);
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
    actions.emplace_back(RefuseCall{.call = call, .reason = reason, .retryAfter = expectedWait(priority)});
    m_calls.erase(it);
}

void Dispatcher::attemptEnded(CallId id, AttemptNumber number, const AttemptResult &result, Millis now, Actions &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &call = found->second;
    const auto isIt = [&](const Attempt &attempt) { return attempt.number == number; };
    const auto attempt = std::find_if(call.active.begin(), call.active.end(), isIt);
    if (attempt == call.active.end()) {
        return;
    }
    m_router.end(attempt->upstream, attempt->start, result, now);
    call.active.erase(attempt);
    if (!call.finished) {
        if (mayRetry(call, result, now)) {
            ++m_counters.retries;
            enqueue(call, true, now);
        } else if (isAnswer(result.outcome) || call.active.empty()) {
            finish(call, number, dispositionOf(result.outcome), actions);
        }
    }
    if (call.finished && call.active.empty()) {
        m_calls.erase(found);
    }
    pump(now, actions);
}

bool Dispatcher::mayRetry(const Pending &call, const AttemptResult &result, Millis now)
{
    const auto &request = call.request;
    if (result.outcome == AttemptOutcome::Answered || result.doNotRetry || !call.active.empty()) {
        return false;
    }
    if (call.tried.size() >= maxAttempts || latestStart(request, now) <= now) {
        return false;
    }
    // A request that was not kept can only go again if nothing of it left.
    const bool kept = request.resendable || result.outcome == AttemptOutcome::NotSent;
    const bool safe = request.idempotent || provablyNotRun(result.outcome);
    return kept && safe && m_retries.take();
}

void Dispatcher::finish(Pending &call, AttemptNumber attempt, Disposition disposition, Actions &actions)
{
    call.finished = true;
    actions.emplace_back(FinishCall{
        .call = call.request.id, .attempt = attempt, .disposition = disposition, .retryAfter = expectedWait(call.request.priority)});
    for (const auto &it : call.active) {
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
        const bool neverSent = call.tried.empty();
        m_queues[indexOf(call.request.priority)].remove(id);
        m_calls.erase(it);
        return neverSent;
    }
    finish(call, call.active.front().number, Disposition::Unknown, actions);
    return false;
}

void Dispatcher::probeEnded(UpstreamId upstream, bool healthy, const LoadReport &report, Millis now, Actions &actions)
{
    m_router.probed(upstream, healthy, report, now);
    pump(now, actions);
}

void Dispatcher::tick(Millis now, Actions &actions)
{
    measureDrain(now);
    expire(now, actions);
    hedgeLate(now, actions);
    askProbes(now, actions);
    pump(now, actions);
}

void Dispatcher::expire(Millis now, Actions &actions)
{
    std::vector<Admission::QueuedCall> expired;
    for (auto &it : m_queues) {
        it.takeExpired(now, expired);
    }
    for (const auto &it : expired) {
        refuse(it.id, RefusalReason::Expired, actions);
    }
}

void Dispatcher::hedgeLate(Millis now, Actions &actions)
{
    const Millis late = std::max(m_router.latencyQuantile(hedgeQuantile), leastHedgeDelay);
    while (!m_hedgeTimers.empty() && now - m_hedgeTimers.front().sentAt >= late) {
        const auto timer = m_hedgeTimers.front();
        m_hedgeTimers.pop_front();
        const auto it = m_calls.find(timer.call);
        if (it == m_calls.end() || it->second.finished || it->second.hedged || it->second.active.size() != 1) {
            continue;
        }
        // Only into room that queued calls do not want.
        const bool anyWaiting = !m_queues[indexOf(Priority::Urgent)].empty() || !m_queues[indexOf(Priority::Normal)].empty();
        const auto place = anyWaiting ? std::nullopt : m_router.choose(PlaceRule::OwnPart, it->second.tried, now);
        if (place && m_hedges.take()) {
            it->second.hedged = true;
            ++m_counters.hedges;
            send(it->second, *place, true, now, actions);
        }
    }
}

void Dispatcher::askProbes(Millis now, Actions &actions)
{
    std::vector<UpstreamId> stale;
    m_router.findStale(now, m_options.probeAfter, stale);
    for (const auto it : stale) {
        if (m_probes.take(1, now)) {
            ++m_counters.probes;
            actions.emplace_back(ProbeUpstream{.upstream = it});
        }
    }
}

void Dispatcher::measureDrain(Millis now)
{
    const Millis span = now - m_drainAt;
    if (span < drainWindow) {
        return;
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        const double rate = static_cast<double>(m_counters.dispatched[i] - m_drainSeen[i]) / span.count;
        m_drainPerMs[i] += drainWeight * (rate - m_drainPerMs[i]);
        m_drainSeen[i] = m_counters.dispatched[i];
    }
    m_drainAt = now;
}

// Work sent later than this would mostly be done for nothing. Where the deadline is short against the latency, half of
// what is left is kept for the queue.
Millis Dispatcher::latestStart(const CallRequest &request, Millis now) const
{
    const Millis usual = m_router.latencyQuantile(hopefulQuantile);
    const Millis left = request.deadline - now;
    return request.deadline - std::min(usual, left * 0.5);
}

// Newest-first queues answer newcomers at once, so only queues served in order can foretell a wait.
bool Dispatcher::waitWouldPassDeadline(const CallRequest &request, Millis now) const
{
    const auto &queue = m_queues[indexOf(request.priority)];
    const double rate = m_drainPerMs[indexOf(request.priority)];
    const auto ahead = queue.size(request.flow);
    if (latestStart(request, now) <= now) {
        return true;
    }
    if (ahead == 0 || rate <= 0 || orderOf(request.priority, now) == Admission::ServeOrder::NewestFirst) {
        return false;
    }
    const Millis wait{static_cast<double>(ahead) / (rate * queue.shareOf(request.flow, request.weight))};
    return now + wait > latestStart(request, now);
}

Millis Dispatcher::expectedWait(Priority priority) const
{
    const double rate = m_drainPerMs[indexOf(priority)];
    const auto waitingCalls = static_cast<double>(m_queues[indexOf(priority)].size());
    const Millis wait{rate > 0 ? waitingCalls / rate : minRetryAfter.count};
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

Admission::ServeOrder Dispatcher::orderOf(Priority priority, Millis now) const
{
    if (priority == Priority::Deferrable) {
        return Admission::ServeOrder::OldestFirst;
    }
    const auto oldest = m_queues[indexOf(priority)].oldest();
    const bool stands = oldest && now - *oldest > m_options.targets[indexOf(priority)] * standingShare;
    return stands ? Admission::ServeOrder::NewestFirst : Admission::ServeOrder::OldestFirst;
}

std::array<bool, priorityCount> Dispatcher::waiting() const
{
    std::array<bool, priorityCount> result{};
    for (std::size_t i = 0; i < priorityCount; ++i) {
        result[i] = !m_queues[i].empty();
    }
    return result;
}

std::optional<InvariantError> Dispatcher::checkInvariants() const
{
    std::vector<int> inFlight(m_router.slots().size(), 0);
    std::size_t queued = 0;
    for (const auto &[id, call] : m_calls) {
        queued += call.queued ? 1 : 0;
        for (const auto &it : call.active) {
            ++inFlight[it.upstream];
        }
        if (!call.request.idempotent && call.active.size() > 1) {
            return InvariantError::NonIdempotentTwice;
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
        const auto &load = m_router.slots()[i].load;
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
