#include "model/simulator.h"

#include "core/routing/rendezvous.h"
#include "core/text.h"
#include "model/measure.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Model
{
namespace
{

using Dispatch::Actions;
using Dispatch::AttemptOutcome;

constexpr Millis tickInterval = 5_ms;
// How long after the end of the arrivals the run waits for open calls.
constexpr Millis completionTimeout = 40_s;
// With more pending calls than this, checking the invariants after every event would take longer than the simulation itself;
// they are then checked only at every tick.
constexpr std::size_t maxPendingForImmediateCheck = 200;

}

Simulator::Simulator(const Scenario &scenario, Policy policy, std::uint64_t seed)
    : m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed)
    , m_arrivalRandom(seed + 1)
    , m_callers(static_cast<std::size_t>(scenario.callers))
{
    for (int i = 0; i < scenario.workers; ++i) {
        m_workers.push_back({.domain = i % scenario.domains, .slots = scenario.slots});
    }
    for (int i = 0; i < scenario.entries; ++i) {
        EntryHost entry;
        entry.domain = i % scenario.domains;
        entry.name = Text::concat("entry-", i);
        entry.inFlight.resize(m_workers.size());
        m_entries.push_back(std::move(entry));
    }
    m_listed.resize(m_entries.size(), true);
}

Measures Simulator::run()
{
    if (m_policy == Policy::Laburnummast) {
        buildDispatchers();
        tick();
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        startArrivals({.priority = static_cast<Priority>(i), .rate = m_scenario.load * m_scenario.capacity() * m_scenario.mix[i]});
    }
    for (const auto &it : m_scenario.faults) {
        scheduleAt(it.at, [this, &it] { applyFault(it); });
    }
    while (!m_events.empty() && m_now < m_scenario.duration + completionTimeout && (m_now < m_scenario.duration || m_openCalls > 0)) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.task();
    }
    auto measures = measureCalls(m_scenario, m_calls);
    measures["measuring"] = m_messages > 0 ? 100.0 * static_cast<double>(m_probes) / static_cast<double>(m_messages) : 0;
    measures["invariants_broken"] = m_invariantsBroken;
    return measures;
}

void Simulator::scheduleAt(Millis time, std::function<void()> task)
{
    m_events.push({.at = time, .sequence = m_sequence++, .task = std::move(task)});
}

void Simulator::scheduleAfter(Millis delay, std::function<void()> task)
{
    scheduleAt(m_now + delay, std::move(task));
}

void Simulator::buildDispatchers()
{
    std::vector<Dispatch::UpstreamSpec> specs;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        specs.push_back(
            {.name = Text::concat("worker-", i), .domain = Text::concat("domain-", m_workers[i].domain), .slots = m_workers[i].slots});
    }
    for (auto &it : m_entries) {
        it.dispatcher = std::make_unique<Dispatch::Dispatcher>(Dispatch::DispatcherOptions{
            .domain = Text::concat("domain-", it.domain), .seed = m_random(), .latencyTargets = m_scenario.deadlines});
        Actions actions;
        it.dispatcher->setUpstreams(specs, m_now, actions);
    }
    updateDispatchSets();
}

// A crashed entry host stays in the set until its failure is detected; then it leaves the set for everybody at once.
std::vector<int> Simulator::dispatchSet() const
{
    std::vector<Routing::Candidate> candidates;
    std::vector<int> ids;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_listed[i]) {
            candidates.push_back({.name = m_entries[i].name, .domain = Text::concat(m_entries[i].domain)});
            ids.push_back(static_cast<int>(i));
        }
    }
    std::vector<int> chosen;
    for (const auto it : Routing::rendezvousSet("service", candidates, static_cast<std::size_t>(m_scenario.dispatchers))) {
        chosen.push_back(ids[it]);
    }
    return chosen;
}

void Simulator::updateDispatchSets()
{
    std::vector<std::string> names;
    for (const auto it : dispatchSet()) {
        names.push_back(m_entries[static_cast<std::size_t>(it)].name);
    }
    for (auto &it : m_entries) {
        if (it.dispatcher) {
            it.dispatcher->setDispatchers(names, it.name);
        }
    }
}

void Simulator::startArrivals(const ArrivalStream &stream)
{
    if (stream.rate > 0) {
        scheduleNextArrival(stream);
    }
}

void Simulator::scheduleNextArrival(const ArrivalStream &stream)
{
    std::exponential_distribution<double> interval(stream.rate / 1000.0);
    const Millis time = m_now + Millis{interval(m_arrivalRandom)};
    if (time < m_scenario.duration) {
        scheduleAt(time, [this, stream] {
            handleArrival(stream);
            scheduleNextArrival(stream);
        });
    }
}

void Simulator::handleArrival(const ArrivalStream &stream)
{
    Call call{.priority = stream.priority, .created = m_now};
    call.partner = stream.partner.value_or(static_cast<int>(m_arrivalRandom() % static_cast<std::uint64_t>(m_scenario.partners)));
    call.idempotent = call.priority == Priority::Normal;
    call.deadline = m_now + m_scenario.clientDelay + m_scenario.deadlines[indexOf(call.priority)];
    call.caller = static_cast<int>(m_arrivalRandom() % m_callers.size());
    const auto id = m_calls.size();
    m_calls.push_back(call);
    ++m_openCalls;
    submit(id);
}

// The caller connects to the first entry host of its list that accepts the connection; each failed try costs a round trip.
void Simulator::submit(std::size_t id)
{
    if (m_policy == Policy::Central) {
        scheduleAfter(m_scenario.clientDelay, [this, id] { enqueueCentral(id); });
        return;
    }
    auto &caller = m_callers[static_cast<std::size_t>(m_calls[id].caller)];
    if (m_now >= caller.entriesExpiry) {
        caller.entriesExpiry = m_now + m_scenario.entryListLifetime;
        caller.entries = listEntries();
    }
    Millis delay = m_scenario.clientDelay;
    for (const auto it : caller.entries) {
        if (m_entries[static_cast<std::size_t>(it)].alive) {
            m_calls[id].entry = it;
            scheduleAfter(delay, [this, id, it] { receiveCall(id, it); });
            return;
        }
        delay += m_scenario.clientDelay * 2;
    }
    scheduleAfter(delay, [this, id] { finishCall(id, CallOutcome::NotRun); });
}

std::vector<int> Simulator::listEntries()
{
    std::vector<int> list;
    if (m_policy == Policy::Laburnummast) {
        list = dispatchSet();
        std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(m_random() % list.size()), list.end());
        return list;
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_listed[i]) {
            list.push_back(static_cast<int>(i));
        }
    }
    std::shuffle(list.begin(), list.end(), m_random);
    return list;
}

void Simulator::finishCall(std::size_t id, CallOutcome outcome)
{
    auto &call = m_calls[id];
    if (call.outcome == CallOutcome::Open) {
        call.outcome = outcome;
        call.ended = m_now;
        --m_openCalls;
    }
}

void Simulator::answerCaller(std::size_t id, CallOutcome outcome)
{
    scheduleAfter(m_scenario.clientDelay, [this, id, outcome] { finishCall(id, outcome); });
}

void Simulator::receiveCall(std::size_t id, int entry)
{
    auto &host = m_entries[static_cast<std::size_t>(entry)];
    if (!host.alive) {
        handleEntryLoss(id);
        return;
    }
    const auto &call = m_calls[id];
    if (!host.dispatcher) {
        startBaselineCall(id, entry);
        return;
    }
    Actions actions;
    host.dispatcher->submit({.id = id,
                             .flow = static_cast<Dispatch::FlowId>(call.partner),
                             .priority = call.priority,
                             .idempotent = call.idempotent,
                             .deadline = call.deadline},
                            m_now,
                            actions);
    applyActions(entry, actions);
}

// The connection of the caller broke: an idempotent call is sent again to another entry host, any other may have run.
void Simulator::handleEntryLoss(std::size_t id)
{
    if (m_calls[id].outcome != CallOutcome::Open) {
        return;
    }
    if (m_calls[id].idempotent) {
        submit(id);
    } else {
        finishCall(id, CallOutcome::Unknown);
    }
}

void Simulator::checkInvariants(const EntryHost &entry)
{
    m_invariantsBroken += entry.dispatcher->checkInvariants() ? 1 : 0;
}

void Simulator::applyActions(int entry, const Actions &actions)
{
    const auto &host = m_entries[static_cast<std::size_t>(entry)];
    if (host.dispatcher->pending() <= maxPendingForImmediateCheck) {
        checkInvariants(host);
    }
    for (const auto &action : actions) {
        std::visit(Overloaded{[&](const Dispatch::SendAttempt &it) {
                                  sendAttempt(entry, {it.call, it.attempt, entry}, static_cast<int>(it.upstream));
                              },
                              [&](const Dispatch::RefuseCall &it) { answerCaller(it.call, CallOutcome::NotRun); },
                              [&](const Dispatch::FinishCall &it) {
                                  const bool done = it.disposition == Dispatch::Disposition::Done;
                                  const bool notRun = it.disposition == Dispatch::Disposition::NotRun;
                                  answerCaller(it.call, done ? CallOutcome::Done : notRun ? CallOutcome::NotRun : CallOutcome::Unknown);
                              },
                              [&](const Dispatch::CancelAttempt &it) { cancelAttempt(entry, it); },
                              [&](const Dispatch::ProbeUpstream &it) { probeWorker(entry, static_cast<int>(it.upstream)); }},
                   action);
    }
}

Millis Simulator::networkDelay(int entry, int worker) const
{
    const bool same = m_entries[static_cast<std::size_t>(entry)].domain == m_workers[static_cast<std::size_t>(worker)].domain;
    return same ? m_scenario.sameDomainDelay : m_scenario.otherDomainDelay;
}

void Simulator::sendAttempt(int entry, const Job &job, int worker)
{
    ++m_messages;
    const bool connectionSilent = m_entries[static_cast<std::size_t>(entry)].silentWorkers.contains(worker);
    if (!connectionSilent) {
        scheduleAfter(networkDelay(entry, worker), [this, job, worker] { receiveAttempt(worker, job); });
    }
    scheduleAt(std::max(m_now, m_calls[job.call].deadline),
               [this, job, worker] { endAttempt(worker, job, {.outcome = AttemptOutcome::TimedOut}); });
}

void Simulator::cancelAttempt(int entry, const Dispatch::CancelAttempt &action)
{
    ++m_messages;
    const auto worker = static_cast<int>(action.upstream);
    const Job job{.call = action.call, .attempt = action.attempt, .entry = entry};
    scheduleAfter(networkDelay(entry, worker), [this, worker, job] {
        auto &queue = m_workers[static_cast<std::size_t>(worker)].queue;
        const auto same = [&](const Job &it) { return it.call == job.call && it.attempt == job.attempt; };
        const auto it = std::find_if(queue.begin(), queue.end(), same);
        if (it != queue.end()) {
            queue.erase(it);
            reply(worker, job, AttemptOutcome::Cancelled);
        }
    });
}

void Simulator::probeWorker(int entry, int worker)
{
    ++m_messages;
    ++m_probes;
    scheduleAfter(networkDelay(entry, worker) * 2, [this, entry, worker] {
        auto &host = m_entries[static_cast<std::size_t>(entry)];
        if (host.alive) {
            Actions actions;
            host.dispatcher->probeEnded(static_cast<Dispatch::UpstreamId>(worker), true, loadReport(worker), m_now, actions);
            applyActions(entry, actions);
        }
    });
}

void Simulator::endAttempt(int worker, const Job &job, const Dispatch::AttemptResult &result)
{
    auto &host = m_entries[static_cast<std::size_t>(job.entry)];
    if (!host.alive) {
        return;
    }
    if (result.outcome == AttemptOutcome::TimedOut && m_calls[job.call].outcome == CallOutcome::Open) {
        // The timeout closes the silent connections to this worker. Attempts sent on them before stay lost, later ones use new connections.
        host.silentWorkers.erase(worker);
    }
    if (!host.dispatcher) {
        endBaselineCall(worker, job, result);
        return;
    }
    Actions actions;
    host.dispatcher->attemptEnded(job.call, job.attempt, result, m_now, actions);
    applyActions(job.entry, actions);
}

void Simulator::tick()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        auto &it = m_entries[i];
        if (!it.alive) {
            continue;
        }
        Actions actions;
        it.dispatcher->tick(m_now, actions);
        applyActions(static_cast<int>(i), actions);
        checkInvariants(it);
    }
    scheduleAfter(tickInterval, [this] { tick(); });
}

Measures simulate(const Scenario &scenario, Policy policy, std::uint64_t seed)
{
    return Simulator(scenario, policy, seed).run();
}

}
