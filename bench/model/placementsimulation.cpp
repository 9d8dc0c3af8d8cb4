#include "model/placementsimulation.h"

#include "core/placement/servicedispatcher.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>

namespace Laburnummast::Model
{
namespace
{

using Dispatch::AttemptOutcome;

constexpr Millis timeStep = 1_ms;
// Sigma of the log-normal distribution of service times.
constexpr double serviceTimeSigma = 0.3;
// A probe of an upstream that does not report load waits for a free slot but needs no service time, so its latency does not show
// that the upstream is slow.
constexpr Millis probeServiceTime = 0_ms;

// A call, or its only resubmission, which has an id of its own.
struct SimulatedCall
{
    std::uint64_t id = 0;
    // Index into `PlacementSimulationOptions::kinds`.
    int kind = 0;
    int daemon = 0;
    Millis created;
    Millis deadline;
    // The caller sent the call again after a refusal.
    bool resubmitted = false;
    bool finished = false;
    // How often an upstream started to run it, including the runs before a resubmission.
    int executions = 0;
};

// An attempt or a probe at an upstream.
struct SimulatedJob
{
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    // Service time that is left at normal speed.
    Millis remainingServiceTime;
    // The upstream will break off its answer.
    bool answerIncomplete = false;
    // Set for a probe: the daemon that sent it. An upstream that does not report load serves probes in its slots like calls.
    std::optional<int> probingDaemon = std::nullopt;
};

struct SimulatedUpstream
{
    std::vector<SimulatedJob> running;
    std::deque<SimulatedJob> waiting;
    double slowness = 1;
    // Time at which the slowness is drawn anew.
    Millis speedEnd{};
    bool faulty = false;
};

// Simulation in fixed time steps; messages between daemons and upstreams are events.
class PlacementSimulation
{
public:
    explicit PlacementSimulation(const PlacementSimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_upstreams(static_cast<std::size_t>(options.upstreams))
        , m_probeTokens(static_cast<std::size_t>(options.daemons), {0, 0})
    {
        m_result.kinds.resize(options.kinds.size());
        m_result.inBurst.resize(options.kinds.size());
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            m_upstreams[i].faulty = static_cast<int>(i) < options.faultyUpstreams;
        }
        if (options.policy == PlacementPolicy::Probing) {
            startDispatchers();
        }
        m_inFlightByDaemon.resize(static_cast<std::size_t>(options.daemons), std::vector<int>(m_upstreams.size()));
    }

    PlacementSimulationResult run()
    {
        std::vector<Millis> nextArrivals(m_options.kinds.size());
        while (m_now < m_options.duration + 2_s) {
            m_now += timeStep;
            for (std::size_t i = 0; i < m_options.kinds.size() && m_now < m_options.duration; ++i) {
                while (nextArrivals[i] <= m_now) {
                    std::exponential_distribution<double> gap(m_options.kinds[i].callsPerSecond * burstFactor(static_cast<int>(i)) / 1000);
                    nextArrivals[i] += Millis{gap(m_random)};
                    handleArrival(static_cast<int>(i));
                }
            }
            runDueEvents();
            exchangeContentionSamples();
            advanceUpstreams();
            if (m_options.policy == PlacementPolicy::Central) {
                dispatchCentralQueue();
            }
        }
        for (const auto &it : m_dispatchers) {
            m_result.probes += it->counters().probes;
            m_result.extraAttempts += it->counters().retries + it->counters().hedges;
        }
        return m_result;
    }

private:
    void startDispatchers()
    {
        std::vector<Placement::UpstreamSpec> specs;
        specs.reserve(m_upstreams.size());
        for (int i = 0; i < m_options.upstreams; ++i) {
            specs.push_back({.id = std::to_string(i), .domain = "a", .slots = m_options.slots});
        }
        const auto daemons = static_cast<std::size_t>(m_options.daemons);
        Placement::PlacementOptions placement{
            .host = {}, .domain = "a", .retries = {.daemons = daemons}, .daemonDomains = std::vector<std::string>(daemons, "a")};
        const double rate = 0.9 * m_options.probesPerSecond * m_options.upstreams / m_options.daemons;
        for (int i = 0; i < m_options.daemons; ++i) {
            placement.host = std::to_string(i);
            placement.daemonIndex = static_cast<std::size_t>(i);
            auto &tokens = m_probeTokens[static_cast<std::size_t>(i)];
            tokens.setRate(rate, rate * 5);
            m_dispatchers.push_back(
                std::make_unique<Placement::ServiceDispatcher>(placement, tokens, m_options.seed * 1000 + static_cast<std::uint64_t>(i)));
            m_dispatchers.back()->setUpstreams(specs);
        }
    }

    // Each daemon reports the contention that it observed to all others.
    void exchangeContentionSamples()
    {
        if (m_now < m_nextContentionExchange) {
            return;
        }
        m_nextContentionExchange = m_now + m_options.reportInterval;
        for (const auto &from : m_dispatchers) {
            const auto sample = from->takeContentionSample();
            for (const auto &to : m_dispatchers) {
                if (to != from) {
                    to->learnPeerContention(sample);
                }
            }
        }
    }

    // Factor on the arrival rate of a kind at present.
    double burstFactor(int kind) const
    {
        double factor = 1;
        for (const auto &it : m_options.bursts) {
            if ((it.kind < 0 || it.kind == kind) && m_now >= it.from && m_now < it.to) {
                factor *= it.factor;
            }
        }
        return factor;
    }

    bool inBurst(Millis at) const
    {
        return std::any_of(
            m_options.bursts.begin(), m_options.bursts.end(), [&](const LoadBurst &it) { return at >= it.from && at < it.to; });
    }

    // Runs `task` after `delay`.
    void schedule(Millis delay, std::function<void()> task)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(task)});
    }

    void runDueEvents()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const auto task = m_events.top().task;
            m_events.pop();
            task();
        }
        for (std::size_t i = 0; i < m_dispatchers.size(); ++i) {
            const auto due = m_dispatchers[i]->nextDue();
            if (due && *due <= m_now) {
                Dispatch::Actions actions;
                m_dispatchers[i]->tick(m_now, actions);
                applyActions(static_cast<int>(i), actions);
            }
        }
    }

    void handleArrival(int kind)
    {
        std::uniform_int_distribution<int> daemon(0, m_options.daemons - 1);
        const auto id = m_nextId++;
        m_calls[id] = {.id = id,
                       .kind = kind,
                       .daemon = daemon(m_random),
                       .created = m_now,
                       .deadline = m_now + m_options.kinds[static_cast<std::size_t>(kind)].deadline};
        submit(m_calls[id]);
    }

    void submit(SimulatedCall &call)
    {
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        if (m_options.policy == PlacementPolicy::Central) {
            m_centralQueue.push_back(call.id);
            return;
        }
        if (m_options.policy != PlacementPolicy::Probing) {
            sendAttempt(call, 0, chooseBaselineUpstream(call.daemon));
            return;
        }
        Dispatch::Actions actions;
        m_dispatchers[static_cast<std::size_t>(call.daemon)]->submit({.id = call.id,
                                                                      .idempotent = kind.idempotent,
                                                                      .rank = kind.rank,
                                                                      .maxAttempts = 2,
                                                                      .objective = call.created + kind.objective,
                                                                      .deadline = call.deadline,
                                                                      .returning = call.resubmitted},
                                                                     m_now,
                                                                     actions);
        applyActions(call.daemon, actions);
    }

    // The search for the fewest calls starts at a random upstream, so that ties are broken at random.
    std::size_t chooseBaselineUpstream(int daemon)
    {
        std::uniform_int_distribution<std::size_t> any(0, m_upstreams.size() - 1);
        if (m_options.policy == PlacementPolicy::Random) {
            return any(m_random);
        }
        const auto &inFlight = m_inFlightByDaemon[static_cast<std::size_t>(daemon)];
        const auto start = any(m_random);
        std::size_t best = start;
        for (std::size_t i = 0; i < inFlight.size(); ++i) {
            const auto candidate = (start + i) % inFlight.size();
            best = inFlight[candidate] < inFlight[best] ? candidate : best;
        }
        return best;
    }

    void applyActions(int daemon, const Dispatch::Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Dispatch::SendAttempt>(&action)) {
                sendAttempt(m_calls[sent->call], sent->attempt, sent->upstream);
            } else if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&action)) {
                probeUpstream(daemon, probe->upstream);
            } else if (const auto *refusal = std::get_if<Dispatch::RefuseCall>(&action)) {
                handleRefusal(m_calls[refusal->call], refusal->retryAfter);
            } else if (const auto *end = std::get_if<Dispatch::FinishCall>(&action)) {
                finishCall(m_calls[end->call],
                           end->disposition == Dispatch::Disposition::Done && m_answered.contains({end->call, end->attempt}));
            } else if (const auto *cancelled = std::get_if<Dispatch::CancelAttempt>(&action)) {
                cancelAttempt(cancelled->upstream, cancelled->call, cancelled->attempt);
            }
        }
    }

    Placement::LoadReport loadReport(std::size_t upstream) const
    {
        const auto &it = m_upstreams[upstream];
        return {.running = static_cast<double>(it.running.size()),
                .waiting = static_cast<double>(it.waiting.size()),
                .slots = static_cast<double>(m_options.slots),
                .slowness = it.slowness};
    }

    // Without load reports the probe has to wait for a slot, and is refused if the queue is full.
    void probeUpstream(int daemon, Dispatch::UpstreamId upstream)
    {
        schedule(m_options.networkDelay, [this, daemon, upstream] {
            if (m_options.reportsLoad) {
                returnProbeResult(daemon, upstream, {.answered = true, .load = loadReport(upstream)});
            } else if (static_cast<int>(m_upstreams[upstream].waiting.size()) >= m_options.queueLimit) {
                returnProbeResult(daemon, upstream, {});
            } else {
                m_upstreams[upstream].waiting.push_back({.remainingServiceTime = probeServiceTime, .probingDaemon = daemon});
            }
        });
    }

    void returnProbeResult(int daemon, Dispatch::UpstreamId upstream, const Placement::ProbeResult &result)
    {
        schedule(m_options.networkDelay, [this, daemon, upstream, result] {
            Dispatch::Actions actions;
            m_dispatchers[static_cast<std::size_t>(daemon)]->probeEnded(upstream, result, m_now, actions);
            applyActions(daemon, actions);
        });
    }

    void sendAttempt(SimulatedCall &call, std::uint32_t attempt, std::size_t upstream)
    {
        ++m_inFlightByDaemon[static_cast<std::size_t>(call.daemon)][upstream];
        schedule(m_options.networkDelay, [this, id = call.id, attempt, upstream] { receiveAttempt(id, attempt, upstream); });
    }

    // Queues an attempt at an upstream.
    void receiveAttempt(std::uint64_t id, std::uint32_t attempt, std::size_t index)
    {
        auto &upstream = m_upstreams[index];
        auto &call = m_calls[id];
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        if (static_cast<int>(upstream.waiting.size()) >= m_options.queueLimit) {
            returnOutcome(id, attempt, index, AttemptOutcome::Incomplete);
            return;
        }
        std::lognormal_distribution<double> relativeServiceTime(-serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
        std::bernoulli_distribution incomplete(upstream.faulty ? m_options.incompleteAnswerShare : 0);
        upstream.waiting.push_back({.call = id,
                                    .attempt = attempt,
                                    .remainingServiceTime = kind.meanServiceTime * relativeServiceTime(m_random),
                                    .answerIncomplete = incomplete(m_random)});
    }

    void cancelAttempt(std::size_t index, std::uint64_t call, std::uint32_t attempt)
    {
        auto &upstream = m_upstreams[index];
        const auto same = [&](const SimulatedJob &it) { return it.call == call && it.attempt == attempt; };
        std::erase_if(upstream.running, same);
        std::erase_if(upstream.waiting, same);
    }

    // Lets every upstream work for one time step.
    void advanceUpstreams()
    {
        std::bernoulli_distribution slow(m_options.slowShare);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            auto &it = m_upstreams[i];
            if (m_now >= it.speedEnd) {
                it.slowness = slow(m_random) ? m_options.slowFactor : 1;
                it.speedEnd = m_now + m_options.speedPeriod;
            }
            while (!it.waiting.empty() && static_cast<int>(it.running.size()) < m_options.slots) {
                startJob(it);
            }
            const double utilization = static_cast<double>(it.running.size()) / m_options.slots;
            const double contentionFactor = utilization > m_options.knee
                ? 1 + m_options.contentionSlowdown * (utilization - m_options.knee) / (1 - m_options.knee)
                : 1;
            for (auto &job : it.running) {
                job.remainingServiceTime -= timeStep * (1 / (it.slowness * contentionFactor));
            }
            std::vector<SimulatedJob> done;
            std::copy_if(it.running.begin(), it.running.end(), std::back_inserter(done), [](const SimulatedJob &job) {
                return job.remainingServiceTime <= 0_ms;
            });
            std::erase_if(it.running, [](const SimulatedJob &job) { return job.remainingServiceTime <= 0_ms; });
            for (const auto &job : done) {
                if (job.probingDaemon) {
                    returnProbeResult(*job.probingDaemon, static_cast<Dispatch::UpstreamId>(i), {.answered = true});
                    continue;
                }
                returnOutcome(job.call, job.attempt, i, job.answerIncomplete ? AttemptOutcome::Incomplete : AttemptOutcome::Answered);
            }
        }
    }

    // Moves the first waiting job into a slot.
    void startJob(SimulatedUpstream &upstream)
    {
        const auto job = upstream.waiting.front();
        upstream.waiting.pop_front();
        if (job.probingDaemon) {
            upstream.running.push_back(job);
            return;
        }
        auto &call = m_calls[job.call];
        // An upstream drops a call whose caller no longer waits.
        if (m_now >= call.deadline) {
            return;
        }
        ++call.executions;
        const bool executeOnce = !m_options.kinds[static_cast<std::size_t>(call.kind)].idempotent;
        m_result.ranTwice += executeOnce && call.executions > 1 ? 1 : 0;
        upstream.running.push_back(job);
    }

    // Passes the outcome of an attempt to its daemon.
    void returnOutcome(std::uint64_t id, std::uint32_t attempt, std::size_t index, AttemptOutcome outcome)
    {
        schedule(m_options.networkDelay, [this, id, attempt, index, outcome] {
            auto &call = m_calls[id];
            --m_inFlightByDaemon[static_cast<std::size_t>(call.daemon)][index];
            if (outcome == AttemptOutcome::Answered) {
                m_answered.insert({{id, attempt}, true});
            }
            if (m_options.policy != PlacementPolicy::Probing) {
                finishCall(call, outcome == AttemptOutcome::Answered);
                return;
            }
            Dispatch::Actions actions;
            const auto load = m_options.reportsLoad ? std::optional(loadReport(index)) : std::nullopt;
            m_dispatchers[static_cast<std::size_t>(call.daemon)]->attemptEnded(id, attempt, outcome, load, m_now, actions);
            applyActions(call.daemon, actions);
        });
    }

    void dispatchCentralQueue()
    {
        // Most urgent first. A call that cannot be answered in time any more, as its objective is less than 1.25 mean service times
        // away, is refused.
        std::stable_sort(
            m_centralQueue.begin(), m_centralQueue.end(), [&](std::uint64_t a, std::uint64_t b) { return rankOf(a) < rankOf(b); });
        std::erase_if(m_centralQueue, [&](std::uint64_t id) {
            auto &call = m_calls[id];
            const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
            if (m_now + kind.meanServiceTime * 1.25 > call.created + kind.objective) {
                ++countCall(call, &CallKindResult::refused);
                call.finished = true;
                return true;
            }
            const auto best = std::min_element(m_upstreams.begin(), m_upstreams.end(), [&](const auto &a, const auto &b) {
                return centralPlacementCost(a) < centralPlacementCost(b);
            });
            if (centralPlacementCost(*best) >= unavailableCost) {
                return false;
            }
            receiveAttempt(id, 0, static_cast<std::size_t>(best - m_upstreams.begin()));
            ++m_inFlightByDaemon[static_cast<std::size_t>(call.daemon)][static_cast<std::size_t>(best - m_upstreams.begin())];
            return true;
        });
    }

    int rankOf(std::uint64_t id)
    {
        return m_options.kinds[static_cast<std::size_t>(m_calls[id].kind)].rank;
    }

    // Upstreams that are slow, or that one more call would push above the knee, are not used.
    double centralPlacementCost(const SimulatedUpstream &upstream) const
    {
        const auto calls = static_cast<double>(upstream.running.size() + upstream.waiting.size()) + 1;
        return calls / m_options.slots > m_options.knee || upstream.slowness > 1 ? unavailableCost : calls;
    }

    // Counts an ended call and returns the counter of its outcome, which the caller increments.
    int &countCall(const SimulatedCall &call, int CallKindResult::*counter)
    {
        if (inBurst(call.created)) {
            ++(m_result.inBurst[static_cast<std::size_t>(call.kind)].*counter);
            ++m_result.inBurst[static_cast<std::size_t>(call.kind)].calls;
        }
        auto &result = call.created >= m_options.warmUp ? m_result.kinds[static_cast<std::size_t>(call.kind)] : m_warmUpResult;
        ++result.calls;
        return result.*counter;
    }

    // Records the outcome of a call unless it has one already.
    void finishCall(SimulatedCall &call, bool answered)
    {
        if (call.finished) {
            return;
        }
        call.finished = true;
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        const bool inTime = m_now <= call.created + kind.objective;
        ++countCall(call, !answered ? &CallKindResult::failed : inTime ? &CallKindResult::inTime : &CallKindResult::late);
    }

    void handleRefusal(SimulatedCall &call, Millis retryAfter)
    {
        m_result.refusedButRan += call.executions > 0 ? 1 : 0;
        if (call.resubmitted || m_now + retryAfter >= call.deadline) {
            call.finished = true;
            ++countCall(call, &CallKindResult::refused);
            return;
        }
        // A caller submits a refused call once more, to a random daemon and under a new id: after the time that the refusal names, but no
        // later than after a third of the time left until the deadline.
        call.finished = true;
        auto resubmission = call;
        resubmission.id = m_nextId++;
        resubmission.resubmitted = true;
        resubmission.finished = false;
        std::uniform_int_distribution<int> daemon(0, m_options.daemons - 1);
        resubmission.daemon = daemon(m_random);
        m_calls[resubmission.id] = resubmission;
        schedule(std::min(retryAfter, (call.deadline - m_now) * (1.0 / 3)), [this, id = resubmission.id] { submit(m_calls[id]); });
    }

    struct Event
    {
        Millis at;
        std::uint64_t sequence = 0;
        std::function<void()> task;

        // Reversed, because a priority queue returns its greatest element first.
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    static constexpr double unavailableCost = 1e9;

    PlacementSimulationOptions m_options;
    std::mt19937_64 m_random;
    Millis m_now{};
    Millis m_nextContentionExchange{};
    std::vector<SimulatedUpstream> m_upstreams;
    std::vector<Retry::TokenBucket> m_probeTokens;
    std::vector<std::unique_ptr<Placement::ServiceDispatcher>> m_dispatchers;
    // Attempts in flight, by daemon and upstream.
    std::vector<std::vector<int>> m_inFlightByDaemon;
    std::map<std::uint64_t, SimulatedCall> m_calls;
    // Attempts with a complete answer, by call and attempt number.
    std::map<std::pair<std::uint64_t, std::uint32_t>, bool> m_answered;
    std::vector<std::uint64_t> m_centralQueue;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextId = 1;
    // Calls created during the warm-up, which are not reported.
    CallKindResult m_warmUpResult;
    PlacementSimulationResult m_result;
};

}

double PlacementSimulationResult::inTimeShare(bool burstsOnly) const
{
    int calls = 0;
    int inTime = 0;
    for (const auto &it : burstsOnly ? inBurst : kinds) {
        calls += it.calls;
        inTime += it.inTime;
    }
    return calls == 0 ? 0 : static_cast<double>(inTime) / calls;
}

PlacementSimulationResult simulatePlacement(const PlacementSimulationOptions &options)
{
    return PlacementSimulation(options).run();
}

PlacementSimulationOptions siciliaBurst()
{
    PlacementSimulationOptions options;
    options.kinds = {{.name = "read",
                      .callsPerSecond = 214,
                      .meanServiceTime = 90_ms,
                      .objective = 250_ms,
                      .deadline = 800_ms,
                      .idempotent = true,
                      .rank = 0},
                     {.name = "tap",
                      .callsPerSecond = 89,
                      .meanServiceTime = 120_ms,
                      .objective = 300_ms,
                      .deadline = 1000_ms,
                      .idempotent = false,
                      .rank = 1}};
    options.bursts = {{.from = 12_s, .to = 15800_ms, .factor = 1.8, .kind = 0}};
    return options;
}

PlacementSimulationOptions papelBurst()
{
    PlacementSimulationOptions options;
    options.daemons = 13;
    options.upstreams = 22;
    options.networkDelay = 0.9_ms;
    options.slowShare = 0.35;
    options.contentionSlowdown = 0;
    options.kinds = {{.name = "lookup",
                      .callsPerSecond = 220,
                      .meanServiceTime = 60_ms,
                      .objective = 200_ms,
                      .deadline = 500_ms,
                      .idempotent = true,
                      .rank = 0},
                     {.name = "booking",
                      .callsPerSecond = 71,
                      .meanServiceTime = 78_ms,
                      .objective = 250_ms,
                      .deadline = 600_ms,
                      .idempotent = false,
                      .rank = 1}};
    options.bursts = {{.from = 12_s, .to = 15600_ms, .factor = 1.8, .kind = 0}};
    return options;
}

}
