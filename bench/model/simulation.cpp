#include "model/simulation.h"

#include "core/dispatch/dispatcher.h"
#include "core/routing/rendezvous.h"
#include "core/text.h"
#include "model/call.h"
#include "model/measure.h"
#include "model/worker.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <unordered_set>

namespace Laburnummast::Model
{
namespace
{

using Dispatch::Actions;
using Dispatch::AttemptOutcome;

constexpr Millis tickEvery = 5_ms;
constexpr Millis detection = 4_s;
constexpr Millis drainNotice = 3_s;
constexpr Millis afterEnd = 40_s;
constexpr Millis failingTime = 1_ms;
constexpr int workerQueueLimit = 60;
constexpr int invariantEvery = 20;

struct Event
{
    Millis at;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator<(const Event &a, const Event &b)
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

struct Entry
{
    bool alive = true;
    int domain = 0;
    std::string name;
    std::unique_ptr<Dispatch::Dispatcher> dispatcher;
    std::vector<int> inFlight;
    std::size_t turn = 0;
    /// Workers whose old connections from here are silent.
    std::set<int> silent;
};

struct Caller
{
    std::vector<int> entries;
    Millis until{-1};
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, Policy policy, std::uint64_t seed)
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

    Measures run()
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

private:
    struct Stream
    {
        Priority priority;
        double rate = 0;
        std::optional<int> partner = std::nullopt;
        bool flood = false;
    };

    void at(Millis time, std::function<void()> run)
    {
        m_events.push({.at = time, .order = m_order++, .run = std::move(run)});
    }
    void after(Millis span, std::function<void()> run)
    {
        at(m_now + span, std::move(run));
    }

    void buildDispatchers()
    {
        std::vector<Dispatch::UpstreamSpec> specs;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            specs.push_back(
                {.name = Text::concat("worker-", i), .domain = Text::concat("domain-", m_workers[i].domain), .slots = m_workers[i].slots});
        }
        for (auto &it : m_entries) {
            it.dispatcher = std::make_unique<Dispatch::Dispatcher>(Dispatch::DispatcherOptions{
                .domain = Text::concat("domain-", it.domain), .seed = m_random(), .targets = m_scenario.deadlines});
            Actions actions;
            it.dispatcher->setUpstreams(specs, m_now, actions);
        }
        tellDispatchers();
    }

    // The members of the service's dispatch set, as everybody knows them once a death was detected.
    std::vector<int> dispatchSet() const
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

    void tellDispatchers()
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

    // Load.

    void startStream(const Stream &stream)
    {
        if (stream.rate > 0) {
            nextArrival(stream);
        }
    }

    void nextArrival(const Stream &stream)
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

    void arrive(const Stream &stream)
    {
        Call call{.priority = stream.priority, .flood = stream.flood, .created = m_now};
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
    void submit(std::size_t id)
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

    std::vector<int> listEntries()
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

    void finish(std::size_t id, Ending ending)
    {
        auto &call = m_calls[id];
        if (call.ending == Ending::Open) {
            call.ending = ending;
            call.ended = m_now;
            --m_open;
        }
    }

    void answerCaller(std::size_t id, Ending ending)
    {
        after(m_scenario.client, [this, id, ending] { finish(id, ending); });
    }

    // Entries.

    void enter(std::size_t id, int entry)
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
    void lostEntry(std::size_t id)
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

    void carryOut(int entry, const Actions &actions)
    {
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

    Millis travel(int entry, int worker) const
    {
        const bool same = m_entries[static_cast<std::size_t>(entry)].domain == m_workers[static_cast<std::size_t>(worker)].domain;
        return same ? m_scenario.sameDomain : m_scenario.otherDomain;
    }

    void sendAttempt(int entry, const Job &job, int worker)
    {
        ++m_messages;
        const bool swallowed = m_entries[static_cast<std::size_t>(entry)].silent.contains(worker);
        if (!swallowed) {
            after(travel(entry, worker), [this, job, worker] { workerArrive(worker, job); });
        }
        at(std::max(m_now, m_calls[job.call].deadline),
           [this, job, worker] { attemptEnded(worker, job, {.outcome = AttemptOutcome::TimedOut}); });
    }

    void cancelAttempt(int entry, const Dispatch::CancelAttempt &action)
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

    void probe(int entry, int worker)
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

    void attemptEnded(int worker, const Job &job, const Dispatch::AttemptResult &result)
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

    void tick()
    {
        const bool check = ++m_ticks % invariantEvery == 0;
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            auto &it = m_entries[i];
            if (!it.alive) {
                continue;
            }
            Actions actions;
            it.dispatcher->tick(m_now, actions);
            carryOut(static_cast<int>(i), actions);
            if (check && it.dispatcher->checkInvariants()) {
                ++m_invariantsBroken;
            }
        }
        after(tickEvery, [this] { tick(); });
    }

    // Baselines: send at once, refuse nothing, know only what they have in flight themselves.

    bool knownGone(const Worker &worker) const
    {
        return worker.draining && m_now - worker.drainingSince >= drainNotice;
    }

    int chooseBaseline(Entry &host)
    {
        std::vector<int> usable;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            if (!knownGone(m_workers[i])) {
                usable.push_back(static_cast<int>(i));
            }
        }
        const auto some = [&] { return usable[m_random() % usable.size()]; };
        const auto load = [&](int it) { return host.inFlight[static_cast<std::size_t>(it)]; };
        switch (m_policy) {
        case Policy::RoundRobin:
            return usable[host.turn++ % usable.size()];
        case Policy::TwoChoices: {
            const int a = some();
            const int b = some();
            return load(a) <= load(b) ? a : b;
        }
        case Policy::LeastInFlight:
            std::shuffle(usable.begin(), usable.end(), m_random);
            return *std::min_element(usable.begin(), usable.end(), [&](int a, int b) { return load(a) < load(b); });
        default:
            return some();
        }
    }

    void enterBaseline(std::size_t id, int entry)
    {
        auto &host = m_entries[static_cast<std::size_t>(entry)];
        const int worker = chooseBaseline(host);
        ++host.inFlight[static_cast<std::size_t>(worker)];
        m_baselineOpen.insert(id);
        sendAttempt(entry, {.call = id, .attempt = 0, .entry = entry}, worker);
    }

    void baselineEnded(int worker, const Job &job, const Dispatch::AttemptResult &result)
    {
        if (m_baselineOpen.erase(job.call) == 0) {
            return;
        }
        --m_entries[static_cast<std::size_t>(job.entry)].inFlight[static_cast<std::size_t>(worker)];
        const bool done = result.outcome == AttemptOutcome::Answered;
        const bool notRun = result.outcome == AttemptOutcome::Shed;
        answerCaller(job.call, done ? Ending::Done : notRun ? Ending::NotRun : Ending::Unknown);
    }

    // Workers.

    Dispatch::LoadReport reportOf(int worker) const
    {
        const auto &it = m_workers[static_cast<std::size_t>(worker)];
        return {.inFlight = it.misleading ? 0.0 : it.inFlight(), .draining = it.draining};
    }

    void workerArrive(int worker, const Job &job)
    {
        auto &it = m_workers[static_cast<std::size_t>(worker)];
        if (it.failing) {
            after(failingTime, [this, worker, job] { reply(worker, job, AttemptOutcome::Failed); });
        } else if (it.draining || static_cast<int>(it.queue.size()) >= workerQueueLimit) {
            reply(worker, job, AttemptOutcome::Shed);
        } else {
            it.queue.push_back(job);
            startJobs(worker);
        }
    }

    Millis serviceTime(const Worker &worker)
    {
        // Log-normal with the scenario's mean.
        std::lognormal_distribution<double> time(std::log(m_scenario.meanService.count) - m_scenario.sigma * m_scenario.sigma / 2,
                                                 m_scenario.sigma);
        return Millis{time(m_random) * worker.timeFactor(m_now)};
    }

    void startJobs(int worker)
    {
        auto &it = m_workers[static_cast<std::size_t>(worker)];
        while (it.running < it.slots && !it.queue.empty()) {
            const auto job = it.queue.front();
            it.queue.pop_front();
            ++it.running;
            ++m_calls[job.call].runs;
            after(serviceTime(it), [this, worker, job] {
                --m_workers[static_cast<std::size_t>(worker)].running;
                startJobs(worker);
                reply(worker, job, AttemptOutcome::Answered);
            });
        }
    }

    void reply(int worker, const Job &job, AttemptOutcome outcome)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        if (m_loseShare > 0 && chance(m_random) < m_loseShare) {
            return;
        }
        const bool crossed = m_crossShare > 0 && chance(m_random) < m_crossShare;
        const Dispatch::AttemptResult result{.outcome = crossed ? AttemptOutcome::Broken : outcome,
                                             .report = crossed ? std::nullopt : std::optional(reportOf(worker))};
        after(travel(job.entry, worker), [this, worker, job, result] { attemptEnded(worker, job, result); });
    }

    // The all-knowing queue.

    void centralArrive(std::size_t id)
    {
        m_central[indexOf(m_calls[id].priority)].push_back(id);
        at(m_calls[id].deadline, [this, id] {
            auto &queue = m_central[indexOf(m_calls[id].priority)];
            const auto it = std::find(queue.begin(), queue.end(), id);
            if (it != queue.end()) {
                queue.erase(it);
                answerCaller(id, Ending::NotRun);
            }
        });
        centralPump();
    }

    void centralPump()
    {
        while (true) {
            const auto queue = std::find_if(m_central.begin(), m_central.end(), [](const auto &it) { return !it.empty(); });
            std::vector<int> idle;
            for (std::size_t i = 0; i < m_workers.size(); ++i) {
                const auto &it = m_workers[i];
                if (it.running < it.slots && !it.draining && !it.failing) {
                    idle.push_back(static_cast<int>(i));
                }
            }
            if (queue == m_central.end() || idle.empty()) {
                return;
            }
            const auto id = queue->front();
            queue->pop_front();
            auto &worker = m_workers[static_cast<std::size_t>(idle[m_random() % idle.size()])];
            ++worker.running;
            ++m_calls[id].runs;
            after(serviceTime(worker), [this, id, &worker] {
                --worker.running;
                after(m_scenario.otherDomain * 2, [this, id] { answerCaller(id, Ending::Done); });
                centralPump();
            });
        }
    }

    // Faults.

    void strike(const Fault &fault)
    {
        switch (fault.kind) {
        case FaultKind::Flood:
            startStream(
                {.priority = fault.priority, .rate = fault.amount * m_scenario.capacity(), .partner = fault.partner, .flood = true});
            return;
        case FaultKind::LoseAnswers:
            m_loseShare = fault.amount;
            return;
        case FaultKind::CrossAnswers:
            m_crossShare = fault.amount;
            return;
        case FaultKind::Kill:
            for (int i = 0; i < fault.count; ++i) {
                kill(fault.first + i);
            }
            return;
        default:
            for (int i = 0; i < fault.count; ++i) {
                strikeWorker(fault, (fault.first + i) % m_scenario.workers);
            }
        }
    }

    void strikeWorker(const Fault &fault, int worker)
    {
        auto &it = m_workers[static_cast<std::size_t>(worker)];
        switch (fault.kind) {
        case FaultKind::Slow:
            it.slowFactor = fault.amount;
            break;
        case FaultKind::Fail:
            it.failing = true;
            break;
        case FaultKind::Mislead:
            it.misleading = true;
            break;
        case FaultKind::Drain:
            it.draining = true;
            it.drainingSince = m_now;
            break;
        case FaultKind::Restart:
            it.coldSince = m_now;
            break;
        case FaultKind::Silence:
            for (auto &entry : m_entries) {
                entry.silent.insert(worker);
            }
            break;
        default:
            it.slowFactor = 1;
            it.failing = false;
            it.misleading = false;
            it.draining = false;
        }
        if (fault.kind == FaultKind::Heal && m_policy == Policy::Central) {
            centralPump();
        }
    }

    // Strikes the members of the dispatch set first: the others have no calls to lose.
    void kill(int nth)
    {
        const auto set = m_policy == Policy::Laburnummast ? dispatchSet() : std::vector<int>{};
        const int entry = set.empty() ? nth : set[static_cast<std::size_t>(nth) % set.size()];
        m_entries[static_cast<std::size_t>(entry)].alive = false;
        for (std::size_t id = 0; id < m_calls.size(); ++id) {
            if (m_calls[id].entry == entry && m_calls[id].ending == Ending::Open && m_policy != Policy::Central) {
                after(m_scenario.client, [this, id] { lostEntry(id); });
            }
        }
        after(detection, [this, entry] {
            m_listed[static_cast<std::size_t>(entry)] = false;
            tellDispatchers();
        });
    }

    const Scenario &m_scenario;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Millis m_now{};
    std::vector<Worker> m_workers;
    std::vector<Entry> m_entries;
    std::vector<bool> m_listed;
    std::vector<Caller> m_callers;
    std::vector<Call> m_calls;
    std::uint64_t m_open = 0;
    std::unordered_set<std::size_t> m_baselineOpen;
    std::array<std::deque<std::size_t>, priorityCount> m_central;
    double m_loseShare = 0;
    double m_crossShare = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_ticks = 0;
    double m_invariantsBroken = 0;
};

}

Measures simulate(const Scenario &scenario, Policy policy, std::uint64_t seed)
{
    return Simulation(scenario, policy, seed).run();
}

}
