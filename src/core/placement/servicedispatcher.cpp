#include "core/placement/servicedispatcher.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

using Dispatch::Disposition;
using Dispatch::RefusalReason;

// An upstream up to this factor slower than usual suits at once.
constexpr double goodSlowness = 1.5;
// An upstream that fails more often than this is taken only where nothing else suits.
constexpr double goodFailureRate = 0.2;
// What one failure costs, in times of a call: it has to be made again.
constexpr double failureCost = 6;
// What each call that is already there costs: others may be on their way to the same upstream.
constexpr double companyCost = 0.05;
// What another failure domain costs in time, for plain and for bulk calls.
constexpr Millis remoteCost = 6_ms;
constexpr Millis remoteBulkCost = 40_ms;
// A hedge goes out once a call takes this factor on the usual time.
constexpr double hedgeFactor = 1.6;
constexpr int maxRounds = 2;
// Part of the calls that have to wait which go to a free slot of an upstream that is taken to be too crowded: a factor once learned
// would never be corrected if nothing were sent against it. The second one holds while too few answers have taught it.
constexpr double trialShare = 0.03;
constexpr double trialShareUnknown = 0.25;
// The calls of other daemons come unseen: an upstream that another daemon prefers counts as this much slower.
constexpr double foreignCost = 1.5;
// Times of calls spread around the usual one; most take less than this factor on it.
constexpr double spreadFactor = 1.25;
// Part of its time that a call which cannot be in time any more waits for a slot that nobody else wants.
constexpr double lateHoldShare = 0.25;
// Weight of one search in the share of searches that find no upstream with room, and the share that counts as pressure.
constexpr double pressureWeight = 0.1;
constexpr double highPressure = 0.3;
// Below this share there is room everywhere, and distance may count.
constexpr double lowPressure = 0.05;
// Below this share of the probes that may be saved up, fewer are asked at first.
constexpr double scarceProbes = 0.3;
// With no probe left to spend, what was heard within this time has to do.
constexpr Millis staleButUsable = 100_ms;
// Probes without a word on load after which a service counts as one that tells none.
constexpr int silentProbes = 6;
// After a deadline the upstream's own last word is still waited for this long.
constexpr Millis answerGrace = 40_ms;
// An upstream is not sent more than its slots and this many waiting calls: beyond its queue it resets connections.
constexpr double maxQueued = 2;

}

ServiceDispatcher::ServiceDispatcher(const PlacementOptions &options, Retry::TokenBucket &probeTokens, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_budget(options.retries)
    , m_probeTokens(probeTokens)
{
}

void ServiceDispatcher::configure(const PlacementOptions &options)
{
    m_options = options;
    m_budget.configure(options.retries);
    m_upstreams.shareOut(options.daemons, options.place);
}

void ServiceDispatcher::setUpstreams(std::span<const UpstreamSpec> specs)
{
    m_upstreams.update(specs);
    m_upstreams.shareOut(m_options.daemons, m_options.place);
}

const UpstreamView *ServiceDispatcher::view(UpstreamId upstream) const
{
    return upstream < m_upstreams.size() ? &m_upstreams[upstream].view : nullptr;
}

std::size_t ServiceDispatcher::waiting() const
{
    return static_cast<std::size_t>(std::count_if(
        m_calls.begin(), m_calls.end(), [](const auto &it) { return it.second.search == Search::First && it.second.rounds >= maxRounds; }));
}

void ServiceDispatcher::submit(const CallSpec &spec, Millis now, Actions &actions)
{
    ++m_counters.calls;
    m_budget.noteCall(now);
    auto &call = m_calls[spec.id];
    call.spec = spec;
    call.arrived = now;
    if (m_upstreams.present() == 0) {
        ++m_counters.refused;
        actions.emplace_back(
            Dispatch::RefuseCall{.call = spec.id, .reason = RefusalReason::NoUpstream, .retryAfter = retryAfter(call, now)});
        m_calls.erase(spec.id);
        return;
    }
    startSearch(call, Search::First, now, actions);
    if (advance(call, now, actions)) {
        m_calls.erase(spec.id);
    }
}

void ServiceDispatcher::startSearch(Open &call, Search search, Millis now, Actions &actions)
{
    call.search = search;
    call.rounds = 0;
    call.blind = false;
    call.asked.clear();
    // Where there is room everywhere two are enough, and where probes run low no more can be asked.
    const bool few = m_pressure <= lowPressure || m_probeTokens.share(now) <= scarceProbes;
    askSome(call, few ? m_options.askFew : m_options.askFirst, now, actions);
}

bool ServiceDispatcher::candidate(const KnownUpstream &known, Millis now) const
{
    return known.present && !known.view.leftAlone(now);
}

std::vector<UpstreamId> ServiceDispatcher::askingOrder(const Open &call, std::size_t count, Millis now)
{
    std::vector<UpstreamId> order;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const bool tried = std::find(call.tried.begin(), call.tried.end(), id) != call.tried.end();
        const bool asked = std::find(call.asked.begin(), call.asked.end(), id) != call.asked.end();
        if (candidate(m_upstreams[id], now) && !tried && !asked) {
            order.push_back(id);
        }
    }
    std::shuffle(order.begin(), order.end(), m_random);
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) { return m_upstreams[id].own; });
    // Bulk calls ask the own failure domain first, others ask it for half: a near upstream that suits is as good as a far one.
    // Where room is scarce all are asked alike, or the daemons of one domain would crowd its upstreams.
    const auto nearWanted = call.spec.bulk ? order.size() : m_pressure <= lowPressure ? count / 2 : 0;
    std::size_t nearFound = 0;
    std::stable_partition(order.begin(), order.end(), [&](UpstreamId id) {
        return m_upstreams[id].view.spec().domain == m_options.domain && nearFound++ < nearWanted;
    });
    order.resize(std::min(order.size(), count));
    return order;
}

void ServiceDispatcher::askSome(Open &call, std::size_t count, Millis now, Actions &actions)
{
    ++call.rounds;
    call.pressureNoted = false;
    call.roundEnds = now + m_options.roundTime;
    call.nextAt = call.roundEnds;
    for (const auto id : askingOrder(call, count, now)) {
        auto &known = m_upstreams[id];
        call.asked.push_back(id);
        if (known.probing || known.view.hasFresh(now, m_options.freshFor)) {
            continue;
        }
        if (!m_probeTokens.take(1, now)) {
            call.blind = true;
            continue;
        }
        known.probing = true;
        known.probedAt = now;
        ++m_counters.probes;
        actions.emplace_back(Dispatch::ProbeUpstream{.upstream = id});
    }
}

bool ServiceDispatcher::roundOver(const Open &call, Millis now) const
{
    return now >= call.roundEnds
        || std::none_of(call.asked.begin(), call.asked.end(), [&](UpstreamId id) { return m_upstreams[id].probing; });
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::best(const Open &call, Millis now) const
{
    std::optional<Choice> choice;
    double lowest = 0;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &known = m_upstreams[id];
        const auto &view = known.view;
        const auto freshFor = call.blind ? staleButUsable : m_options.freshFor;
        if (!candidate(known, now) || !view.hasFresh(now, freshFor)
            || std::find(call.tried.begin(), call.tried.end(), id) != call.tried.end()) {
            continue;
        }
        if (view.occupied() + 1 > view.slots() + maxQueued) {
            continue;
        }
        const auto expected = m_speeds.expected(view.placement(now));
        const bool remote = view.spec().domain != m_options.domain;
        const auto distance = !remote || m_pressure > lowPressure ? 0_ms : call.spec.bulk ? remoteBulkCost : remoteCost;
        const double failures = view.failureRate(now);
        const double foreign = known.own ? 1 : foreignCost;
        const double cost = foreign * expected.count * (1 + failureCost * failures + companyCost * view.occupied()) + distance.count;
        if (!choice || cost < lowest) {
            choice = Choice{.upstream = id, .expected = expected};
            lowest = cost;
        }
    }
    return choice;
}

bool ServiceDispatcher::isGood(const Open &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    return m_speeds.gains(view.occupied(), view.slots()) && view.slowness(now) <= goodSlowness && view.failureRate(now) <= goodFailureRate
        && now + choice.expected <= call.spec.deadline;
}

bool ServiceDispatcher::isAcceptable(const Open &call, const Choice &choice, Millis now) const
{
    const auto &view = m_upstreams[choice.upstream].view;
    if (call.search == Search::Hedge || !m_speeds.gains(view.occupied(), view.slots())) {
        return false;
    }
    const auto useful = now < call.spec.objective ? call.spec.objective : call.spec.deadline;
    return now + choice.expected <= useful;
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::crowdedTrial(Open &call, Millis now)
{
    if (call.trialDrawn || call.search != Search::First) {
        return std::nullopt;
    }
    std::optional<Choice> choice;
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        const auto &view = m_upstreams[id].view;
        if (candidate(m_upstreams[id], now) && view.hasFresh(now, m_options.freshFor) && view.hasSlot()
            && view.slowness(now) <= goodSlowness && view.failureRate(now) <= goodFailureRate) {
            choice = Choice{.upstream = id, .expected = m_speeds.expected(view.placement(now))};
            break;
        }
    }
    if (!choice) {
        return std::nullopt;
    }
    call.trialDrawn = true;
    std::bernoulli_distribution drawn(m_speeds.knowsFull() ? trialShare : trialShareUnknown);
    return drawn(m_random) ? choice : std::nullopt;
}

std::optional<ServiceDispatcher::Choice> ServiceDispatcher::guess(const Open &call, Millis now) const
{
    std::optional<Choice> choice;
    for (const auto id : call.asked) {
        const auto &view = m_upstreams[id].view;
        const bool room = view.inFlight() < view.slots();
        if (candidate(m_upstreams[id], now) && room && (!choice || view.inFlight() < m_upstreams[choice->upstream].view.inFlight())) {
            choice = Choice{.upstream = id, .expected = m_speeds.typical()};
        }
    }
    return choice;
}

bool ServiceDispatcher::wouldBeLate(const Open &call, Millis now) const
{
    return now + m_speeds.typical() * spreadFactor > call.spec.objective;
}

bool ServiceDispatcher::takesTurnOfOthers(const Open &call, Millis now) const
{
    return call.search == Search::First && m_pressure > highPressure && wouldBeLate(call, now);
}

void ServiceDispatcher::notePressure(Open &call, bool noRoom)
{
    if (!call.pressureNoted) {
        call.pressureNoted = true;
        m_pressure = m_pressure * (1 - pressureWeight) + (noRoom ? pressureWeight : 0);
    }
}

bool ServiceDispatcher::advance(Open &call, Millis now, Actions &actions)
{
    if (call.search == Search::None) {
        return false;
    }
    const auto choice = best(call, now);
    const bool good = choice && isGood(call, *choice, now);
    // Who tells no load shows a free slot by serving the probe at once: the first of the preferred ones is taken.
    const bool atOnce = good && !m_tellsLoad && m_upstreams[choice->upstream].own;
    if (!atOnce && !roundOver(call, now)) {
        return false;
    }
    if (good) {
        notePressure(call, false);
    } else if (call.rounds < maxRounds) {
        askSome(call, m_options.askMore, now, actions);
        return roundOver(call, now) && advance(call, now, actions);
    } else if (choice || !call.blind) {
        notePressure(call, true);
    }
    // Under pressure each slot goes to a call that can still be in time.
    if (takesTurnOfOthers(call, now)) {
        return giveUp(call, now, actions);
    }
    if (good || (choice && isAcceptable(call, *choice, now))) {
        send(call, *choice, now, actions);
        return false;
    }
    if (const auto trial = crowdedTrial(call, now)) {
        send(call, *trial, now, actions);
        return false;
    }
    if (call.search == Search::Hedge) {
        call.search = Search::None;
        call.hedgeAt = call.spec.deadline;
        return false;
    }
    if (now >= holdLimit(call)) {
        const auto guessed = call.blind && m_pressure <= highPressure ? guess(call, now) : std::nullopt;
        if (!guessed) {
            return giveUp(call, now, actions);
        }
        send(call, *guessed, now, actions);
        return false;
    }
    const auto askAt = call.roundEnds + m_options.askAgain;
    if (now >= askAt) {
        askForHeld(call, now, actions);
    } else {
        call.nextAt = std::min(askAt, holdLimit(call));
    }
    return false;
}

void ServiceDispatcher::askForHeld(Open &call, Millis now, Actions &actions)
{
    // What is heard for one call that waits serves all of them; answers to earlier calls bring news as well.
    ++m_counters.heldBack;
    call.asked.clear();
    const bool askedAlready = now < m_heldAskedAt + m_options.askAgain;
    if (!askedAlready) {
        m_heldAskedAt = now;
    }
    askSome(call, askedAlready ? 0 : m_options.askHeld, now, actions);
}

Millis ServiceDispatcher::holdLimit(const Open &call) const
{
    if (call.search == Search::Retry) {
        return call.spec.deadline - m_speeds.typical();
    }
    const auto inTime = call.spec.objective - m_speeds.typical() * spreadFactor;
    // Who does not come back once more may be late.
    return call.spec.returning ? std::max(inTime, call.arrived + (call.spec.deadline - call.arrived) * lateHoldShare) : inTime;
}

void ServiceDispatcher::send(Open &call, const Choice &choice, Millis now, Actions &actions)
{
    auto &view = m_upstreams[choice.upstream].view;
    const bool hedge = call.search == Search::Hedge;
    if (call.search != Search::First) {
        m_budget.noteExtra(now);
        ++(hedge ? m_counters.hedges : m_counters.retries);
    }
    ++m_counters.sent;
    const Attempt attempt{.number = call.nextAttempt++,
                          .upstream = choice.upstream,
                          .sentAt = now,
                          .placed = view.placement(now),
                          .toldFree = m_tellsLoad && view.report() && view.hasSlot()};
    view.noteSent();
    call.active.push_back(attempt);
    call.tried.push_back(choice.upstream);
    ++call.runs;
    call.search = Search::None;
    call.hedgeAt = hedge ? call.spec.deadline : hedgeTime(call, now);
    actions.emplace_back(
        Dispatch::SendAttempt{.call = call.spec.id, .attempt = attempt.number, .upstream = choice.upstream, .hedge = hedge});
}

Millis ServiceDispatcher::hedgeTime(const Open &call, Millis now) const
{
    if (!call.spec.idempotent || !m_speeds.measured()) {
        return call.spec.deadline;
    }
    return now + m_speeds.typical() * hedgeFactor;
}

bool ServiceDispatcher::giveUp(Open &call, Millis now, Actions &actions)
{
    if (call.failure) {
        finish(call, *call.failure, Disposition::Done, actions);
        return true;
    }
    if (call.mayHaveRun) {
        finish(call, 0, Disposition::Unknown, actions);
        return true;
    }
    ++m_counters.refused;
    actions.emplace_back(
        Dispatch::RefuseCall{.call = call.spec.id, .reason = RefusalReason::Overloaded, .retryAfter = retryAfter(call, now)});
    return true;
}

Millis ServiceDispatcher::retryAfter(const Open &call, Millis now)
{
    // Spread over the time that is left for an answer within the objective, or else over the time that is left at all.
    const auto useful = call.spec.objective - now - m_speeds.typical();
    const auto left = useful > 0_ms ? useful * 0.6 : (call.spec.deadline - now) * 0.33;
    std::uniform_real_distribution<double> spread(0.4, 1.0);
    return std::max(5_ms, left * spread(m_random));
}

void ServiceDispatcher::probeEnded(UpstreamId upstream, const ProbeResult &result, Millis now, Actions &actions)
{
    if (upstream >= m_upstreams.size()) {
        return;
    }
    auto &known = m_upstreams[upstream];
    known.probing = false;
    learnFromProbe(known, result, now);
    advanceWaiting(now, actions);
}

void ServiceDispatcher::learnFromProbe(KnownUpstream &known, const ProbeResult &result, Millis now)
{
    if (!result.answered || result.stranger) {
        known.view.noteSilent(now);
        return;
    }
    if (result.load) {
        known.view.noteReport(*result.load, now);
        m_silentOnLoad = 0;
        m_tellsLoad = true;
    } else {
        m_silentOnLoad = std::min(m_silentOnLoad + 1, silentProbes);
        m_tellsLoad = m_silentOnLoad < silentProbes;
        if (!result.refused) {
            known.view.noteProbeServed(now - known.probedAt, now);
        }
    }
    if (result.healthy) {
        known.view.noteHealthy();
    } else {
        known.view.noteUnhealthy(now);
    }
}

void ServiceDispatcher::advanceWaiting(Millis now, Actions &actions)
{
    std::vector<Open *> searching;
    for (auto &[id, it] : m_calls) {
        if (it.search != Search::None) {
            searching.push_back(&it);
        }
    }
    std::stable_sort(searching.begin(), searching.end(), [](const Open *a, const Open *b) {
        return a->spec.rank != b->spec.rank ? a->spec.rank < b->spec.rank : a->spec.objective < b->spec.objective;
    });
    for (auto *it : searching) {
        if (advance(*it, now, actions)) {
            m_calls.erase(it->spec.id);
        }
    }
}

void ServiceDispatcher::attemptEnded(
    CallId id, AttemptNumber number, AttemptOutcome outcome, const std::optional<LoadReport> &load, Millis now, Actions &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &call = found->second;
    const auto attempt = std::find_if(call.active.begin(), call.active.end(), [&](const Attempt &it) { return it.number == number; });
    if (attempt == call.active.end()) {
        return;
    }
    const auto evidence = evidenceOf(*attempt, outcome);
    const bool good = evidence == Evidence::Good;
    auto &known = m_upstreams[attempt->upstream];
    known.view.noteEnded(evidence, now);
    known.good += good ? 1 : 0;
    known.bad += evidence == Evidence::Bad ? 1 : 0;
    if (load) {
        known.view.noteReport(*load, now);
    }
    if (outcome == AttemptOutcome::NotSent) {
        known.view.noteSilent(now);
    }
    if (good && m_tellsLoad) {
        m_speeds.learn(attempt->placed, known.view.occupied() / known.view.slots(), now - attempt->sentAt);
    } else if (good) {
        m_speeds.learnUntold(now - attempt->sentAt);
    }
    call.active.erase(attempt);
    if (endAttempt(call, number, outcome, now, actions)) {
        m_calls.erase(id);
    }
    if (load) {
        advanceWaiting(now, actions);
    }
}

Evidence ServiceDispatcher::evidenceOf(const Attempt &attempt, AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return Evidence::Good;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Incomplete:
    case AttemptOutcome::TimedOut:
        return Evidence::Bad;
    case AttemptOutcome::Shed:
        // A full upstream may refuse; one that told a free slot and refuses is failing.
        return attempt.toldFree ? Evidence::Bad : Evidence::None;
    default:
        return Evidence::None;
    }
}

bool ServiceDispatcher::endAttempt(Open &call, AttemptNumber number, AttemptOutcome outcome, Millis now, Actions &actions)
{
    if (outcome == AttemptOutcome::Answered) {
        cancelOthers(call, number, now, actions);
        finish(call, number, Disposition::Done, actions);
        return true;
    }
    if (outcome == AttemptOutcome::NotSent) {
        --call.runs;
    }
    call.mayHaveRun = call.mayHaveRun || outcome == AttemptOutcome::Incomplete || outcome == AttemptOutcome::TimedOut
        || outcome == AttemptOutcome::Failed;
    if (outcome == AttemptOutcome::Failed) {
        call.failure = number;
    }
    if (!call.active.empty()) {
        return false;
    }
    if (mayTryAgain(call, outcome, now)) {
        startSearch(call, Search::Retry, now, actions);
        return advance(call, now, actions);
    }
    return giveUp(call, now, actions);
}

bool ServiceDispatcher::mayTryAgain(const Open &call, AttemptOutcome outcome, Millis now) const
{
    const bool mayRunAgain = call.spec.idempotent || !call.mayHaveRun;
    if (!mayRunAgain || call.runs >= call.spec.maxAttempts || now + m_speeds.typical() > call.spec.deadline) {
        return false;
    }
    return outcome == AttemptOutcome::NotSent || m_budget.allows(now);
}

void ServiceDispatcher::finish(Open &call, AttemptNumber attempt, Disposition disposition, Actions &actions)
{
    actions.emplace_back(Dispatch::FinishCall{.call = call.spec.id, .attempt = attempt, .disposition = disposition, .retryAfter = {}});
}

void ServiceDispatcher::cancelOthers(Open &call, std::optional<AttemptNumber> except, Millis now, Actions &actions)
{
    for (const auto &it : call.active) {
        if (it.number != except) {
            m_upstreams[it.upstream].view.noteEnded(Evidence::None, now);
            actions.emplace_back(Dispatch::CancelAttempt{.call = call.spec.id, .attempt = it.number, .upstream = it.upstream});
        }
    }
    call.active.clear();
}

void ServiceDispatcher::cancel(CallId id, Millis now, Actions &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    cancelOthers(found->second, std::nullopt, now, actions);
    m_calls.erase(found);
}

bool ServiceDispatcher::expire(Open &call, Millis now, Actions &actions)
{
    if (call.active.empty()) {
        return giveUp(call, now, actions);
    }
    // An upstream stops at the deadline by itself; its last word is waited for a little longer.
    if (now < call.spec.deadline + answerGrace) {
        return false;
    }
    for (const auto &it : call.active) {
        ++m_upstreams[it.upstream].bad;
        m_upstreams[it.upstream].view.noteOthers(0, 1, now);
    }
    call.mayHaveRun = true;
    cancelOthers(call, std::nullopt, now, actions);
    return giveUp(call, now, actions);
}

void ServiceDispatcher::tick(Millis now, Actions &actions)
{
    std::vector<CallId> over;
    for (auto &[id, it] : m_calls) {
        if (now >= it.spec.deadline) {
            if (expire(it, now, actions)) {
                over.push_back(id);
            }
        } else if (it.search == Search::None && now >= it.hedgeAt) {
            it.hedgeAt = it.spec.deadline;
            if (it.runs < it.spec.maxAttempts && m_pressure <= highPressure && m_budget.allows(now, m_options.hedgeReserve)) {
                startSearch(it, Search::Hedge, now, actions);
            }
        }
    }
    for (const auto it : over) {
        m_calls.erase(it);
    }
    advanceWaiting(now, actions);
}

Millis ServiceDispatcher::dueOf(const Open &call) const
{
    const auto last = call.active.empty() ? call.spec.deadline : call.spec.deadline + answerGrace;
    switch (call.search) {
    case Search::None:
        return call.hedgeAt < call.spec.deadline ? call.hedgeAt : last;
    case Search::First:
    case Search::Retry:
    case Search::Hedge:
        return std::min(last, call.nextAt);
    }
    return last;
}

std::optional<Millis> ServiceDispatcher::nextDue() const
{
    std::optional<Millis> due;
    for (const auto &[id, it] : m_calls) {
        const auto at = dueOf(it);
        due = due ? std::min(*due, at) : at;
    }
    return due;
}

}
