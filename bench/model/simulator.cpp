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

constexpr Millis tickEvery = 5_ms;
constexpr Millis afterEnd = 40_s;
// Beyond this many pending calls the check of every event would outweigh the run; it is made at every tick then.
constexpr std::size_t checkedAtOnce = 200;

}

Simulator::Simulator(const Scenario &scenario, Policy policy, std::uint64_t seed)
    : m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed)
    , m_arrivals(seed + 1)
    , m_callers(static_cast<std::size_t>(scenario.callers))
{
    for (int i = 0; i < scenario.workers; ++i) {
        m_workers.push_back({.domain = i % scenario.domains, .slots = scenario.slots});
    }
    for (int i = 0; i < scenario.entries; ++i) {
        Entry entry;
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
        startStream({.priority = static_cast<Priority>(i), .rate = m_scenario.load * m_scenario.capacity() * m_scenario.mix[i]});
    }
    for (const auto &it : m_scenario.faults) {
        at(it.at, [this, &it] { strike(it); });
    }
    while (!m_events.empty() && m_now < m_scenario.length + afterEnd && (m_now < m_scenario.length || m_open > 0)) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    auto measures = measureCalls(m_scenario, m_calls);
    measures["measuring"] = m_messages > 0 ? 100.0 * static_cast<double>(m_probes) / static_cast<double>(m_messages) : 0;
    measures["invariants_broken"] = m_invariantsBroken;
    return measures;
}

void Simulator::at(Millis time, std::function<void()> run)
{
    m_events.push({.at = time, .order = m_order++, .run = std::move(run)});
}

void Simulator::after(Millis span, std::function<void()> run)
{
    at(m_now + span, std::move(run));
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
    tellDispatchers();
}

// The members of the service's dispatch set, as everybody knows them once a death was detected.
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

void Simulator::tellDispatchers()
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

void Simulator::startStream(const Stream &stream)
{
    if (stream.rate > 0) {
        nextArrival(stream);
    }
}

void Simulator::nextArrival(const Stream &stream)
{
    std::exponential_distribution<double> gap(stream.rate / 1000.0);
    const Millis time = m_now + Millis{gap(m_arrivals)};
    if (time < m_scenario.length) {
        at(time, [this, stream] {
            arrive(stream);
            nextArrival(stream);
        });
    }
}

void Simulator::arrive(const Stream &stream)
{
    Call call{.priority = stream.priority, .created = m_now};
    call.partner = stream.partner.value_or(static_cast<int>(m_arrivals() % static_cast<std::uint64_t>(m_scenario.partners)));
    call.idempotent = call.priority == Priority::Normal;
    call.deadline = m_now + m_scenario.client + m_scenario.deadlines[indexOf(call.priority)];
    call.caller = static_cast<int>(m_arrivals() % m_callers.size());
    const auto id = m_calls.size();
    m_calls.push_back(call);
    ++m_open;
    submit(id);
}

// The caller connects to the first entry of its list that takes its connection.
void Simulator::submit(std::size_t id)
{
    if (m_policy == Policy::Central) {
        after(m_scenario.client, [this, id] { centralArrive(id); });
        return;
    }
    auto &caller = m_callers[static_cast<std::size_t>(m_calls[id].caller)];
    if (m_now >= caller.until) {
        caller.until = m_now + m_scenario.keepEntries;
        caller.entries = listEntries();
    }
    Millis delay = m_scenario.client;
    for (const auto it : caller.entries) {
        if (m_entries[static_cast<std::size_t>(it)].alive) {
            m_calls[id].entry = it;
            after(delay, [this, id, it] { enter(id, it); });
            return;
        }
        delay += m_scenario.client * 2;
    }
    after(delay, [this, id] { finish(id, Ending::NotRun); });
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

void Simulator::finish(std::size_t id, Ending ending)
{
    auto &call = m_calls[id];
    if (call.ending == Ending::Open) {
        call.ending = ending;
        call.ended = m_now;
        --m_open;
    }
}

void Simulator::answerCaller(std::size_t id, Ending ending)
{
    after(m_scenario.client, [this, id, ending] { finish(id, ending); });
}

void Simulator::enter(std::size_t id, int entry)
{
    auto &host = m_entries[static_cast<std::size_t>(entry)];
    if (!host.alive) {
        lostEntry(id);
        return;
    }
    const auto &call = m_calls[id];
    if (!host.dispatcher) {
        enterBaseline(id, entry);
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
    carryOut(entry, actions);
}

// The caller's connection broke with its entry: a read is asked again elsewhere, the rest may have run.
void Simulator::lostEntry(std::size_t id)
{
    if (m_calls[id].ending != Ending::Open) {
        return;
    }
    if (m_calls[id].idempotent) {
        submit(id);
    } else {
        finish(id, Ending::Unknown);
    }
}

void Simulator::checkInvariants(const Entry &entry)
{
    m_invariantsBroken += entry.dispatcher->checkInvariants() ? 1 : 0;
}

void Simulator::carryOut(int entry, const Actions &actions)
{
    const auto &host = m_entries[static_cast<std::size_t>(entry)];
    if (host.dispatcher->pending() <= checkedAtOnce) {
        checkInvariants(host);
    }
    for (const auto &action : actions) {
        std::visit(Overloaded{[&](const Dispatch::SendAttempt &it) {
                                  sendAttempt(entry, {it.call, it.attempt, entry}, static_cast<int>(it.upstream));
                              },
                              [&](const Dispatch::RefuseCall &it) { answerCaller(it.call, Ending::NotRun); },
                              [&](const Dispatch::FinishCall &it) {
                                  const bool done = it.disposition == Dispatch::Disposition::Done;
                                  const bool notRun = it.disposition == Dispatch::Disposition::NotRun;
                                  answerCaller(it.call, done ? Ending::Done : notRun ? Ending::NotRun : Ending::Unknown);
                              },
                              [&](const Dispatch::CancelAttempt &it) { cancelAttempt(entry, it); },
                              [&](const Dispatch::ProbeUpstream &it) { probe(entry, static_cast<int>(it.upstream)); }},
                   action);
    }
}

Millis Simulator::travel(int entry, int worker) const
{
    const bool same = m_entries[static_cast<std::size_t>(entry)].domain == m_workers[static_cast<std::size_t>(worker)].domain;
    return same ? m_scenario.sameDomain : m_scenario.otherDomain;
}

void Simulator::sendAttempt(int entry, const Job &job, int worker)
{
    ++m_messages;
    const bool swallowed = m_entries[static_cast<std::size_t>(entry)].silent.contains(worker);
    if (!swallowed) {
        after(travel(entry, worker), [this, job, worker] { workerArrive(worker, job); });
    }
    at(std::max(m_now, m_calls[job.call].deadline),
       [this, job, worker] { attemptEnded(worker, job, {.outcome = AttemptOutcome::TimedOut}); });
}

void Simulator::cancelAttempt(int entry, const Dispatch::CancelAttempt &action)
{
    ++m_messages;
    const auto worker = static_cast<int>(action.upstream);
    const Job job{.call = action.call, .attempt = action.attempt, .entry = entry};
    after(travel(entry, worker), [this, worker, job] {
        auto &queue = m_workers[static_cast<std::size_t>(worker)].queue;
        const auto same = [&](const Job &it) { return it.call == job.call && it.attempt == job.attempt; };
        const auto it = std::find_if(queue.begin(), queue.end(), same);
        if (it != queue.end()) {
            queue.erase(it);
            reply(worker, job, AttemptOutcome::Cancelled);
        }
    });
}

void Simulator::probe(int entry, int worker)
{
    ++m_messages;
    ++m_probes;
    after(travel(entry, worker) * 2, [this, entry, worker] {
        auto &host = m_entries[static_cast<std::size_t>(entry)];
        if (host.alive) {
            Actions actions;
            host.dispatcher->probeEnded(static_cast<Dispatch::UpstreamId>(worker), true, reportOf(worker), m_now, actions);
            carryOut(entry, actions);
        }
    });
}

void Simulator::attemptEnded(int worker, const Job &job, const Dispatch::AttemptResult &result)
{
    auto &host = m_entries[static_cast<std::size_t>(job.entry)];
    if (!host.alive) {
        return;
    }
    if (result.outcome == AttemptOutcome::TimedOut && m_calls[job.call].ending == Ending::Open) {
        // A connection that swallowed a call takes all that are no younger with it.
        host.silent.erase(worker);
    }
    if (!host.dispatcher) {
        baselineEnded(worker, job, result);
        return;
    }
    Actions actions;
    host.dispatcher->attemptEnded(job.call, job.attempt, result, m_now, actions);
    carryOut(job.entry, actions);
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
        carryOut(static_cast<int>(i), actions);
        checkInvariants(it);
    }
    after(tickEvery, [this] { tick(); });
}

Measures simulate(const Scenario &scenario, Policy policy, std::uint64_t seed)
{
    return Simulator(scenario, policy, seed).run();
}

}
