#include "model/placementplay.h"

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
constexpr double workSpread = 0.3;
// A status check costs an upstream nothing but the wait for a free slot: its time tells no slowness.
constexpr Millis probeWork = 0_ms;

struct PlayedCall
{
    std::uint64_t id = 0;
    int kind = 0;
    int daemon = 0;
    Millis asked;
    Millis deadline;
    bool returned = false;
    bool over = false;
    int runs = 0;
};

struct PlayedJob
{
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    Millis workLeft;
    bool broken = false;
    /// The daemon whose probe it is; an upstream that tells no load serves probes like calls.
    std::optional<int> probeOf = std::nullopt;
};

struct PlayedUpstream
{
    std::vector<PlayedJob> running;
    std::deque<PlayedJob> waiting;
    double slowness = 1;
    Millis speedUntil{};
    bool grey = false;
};

class Play
{
public:
    explicit Play(const PlayOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_upstreams(static_cast<std::size_t>(options.upstreams))
        , m_tokens(static_cast<std::size_t>(options.daemons), {0, 0})
    {
        m_result.kinds.resize(options.kinds.size());
        m_result.inBurst.resize(options.kinds.size());
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            m_upstreams[i].grey = static_cast<int>(i) < options.grey;
        }
        if (options.policy == PlacementPolicy::Asking) {
            startDispatchers();
        }
        m_ownInFlight.resize(static_cast<std::size_t>(options.daemons), std::vector<int>(m_upstreams.size()));
    }

    PlayResult run()
    {
        std::vector<Millis> nextArrival(m_options.kinds.size());
        while (m_now < m_options.length + 2_s) {
            m_now += timeStep;
            for (std::size_t i = 0; i < m_options.kinds.size() && m_now < m_options.length; ++i) {
                while (nextArrival[i] <= m_now) {
                    std::exponential_distribution<double> gap(m_options.kinds[i].perSecond * burstFactor(static_cast<int>(i)) / 1000);
                    nextArrival[i] += Millis{gap(m_random)};
                    arrive(static_cast<int>(i));
                }
            }
            runEvents();
            shareLessons();
            work();
            if (m_options.policy == PlacementPolicy::Central) {
                placeCentral();
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
            .domain = "a", .retries = {.daemons = daemons}, .daemonDomains = std::vector<std::string>(daemons, "a")};
        const double rate = 0.9 * m_options.probesPerSecond * m_options.upstreams / m_options.daemons;
        for (int i = 0; i < m_options.daemons; ++i) {
            placement.daemonIndex = static_cast<std::size_t>(i);
            auto &tokens = m_tokens[static_cast<std::size_t>(i)];
            tokens.setRate(rate, rate * 5);
            m_dispatchers.push_back(
                std::make_unique<Placement::ServiceDispatcher>(placement, tokens, m_options.seed * 1000 + static_cast<std::uint64_t>(i)));
            m_dispatchers.back()->setUpstreams(specs);
        }
    }

    // What answers taught one daemon reaches the others with its next report.
    void shareLessons()
    {
        if (m_now < m_lessonsAt) {
            return;
        }
        m_lessonsAt = m_now + m_options.reportEvery;
        for (const auto &from : m_dispatchers) {
            const auto sample = from->takeContentionSample();
            for (const auto &to : m_dispatchers) {
                if (to != from) {
                    to->learnPeerContention(sample);
                }
            }
        }
    }

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
            m_options.bursts.begin(), m_options.bursts.end(), [&](const PlayedBurst &it) { return at >= it.from && at < it.to; });
    }

    void later(Millis delay, std::function<void()> task)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(task)});
    }

    void runEvents()
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
                carryOut(static_cast<int>(i), actions);
            }
        }
    }

    void arrive(int kind)
    {
        std::uniform_int_distribution<int> daemon(0, m_options.daemons - 1);
        const auto id = m_nextId++;
        m_calls[id] = {.id = id,
                       .kind = kind,
                       .daemon = daemon(m_random),
                       .asked = m_now,
                       .deadline = m_now + m_options.kinds[static_cast<std::size_t>(kind)].deadline};
        submit(m_calls[id]);
    }

    void submit(PlayedCall &call)
    {
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        if (m_options.policy == PlacementPolicy::Central) {
            m_central.push_back(call.id);
            return;
        }
        if (m_options.policy != PlacementPolicy::Asking) {
            sendTo(call, 0, chooseBaseline(call.daemon));
            return;
        }
        Dispatch::Actions actions;
        m_dispatchers[static_cast<std::size_t>(call.daemon)]->submit({.id = call.id,
                                                                      .idempotent = kind.idempotent,
                                                                      .rank = kind.rank,
                                                                      .maxAttempts = 2,
                                                                      .objective = call.asked + kind.objective,
                                                                      .deadline = call.deadline,
                                                                      .returning = call.returned},
                                                                     m_now,
                                                                     actions);
        carryOut(call.daemon, actions);
    }

    std::size_t chooseBaseline(int daemon)
    {
        std::uniform_int_distribution<std::size_t> any(0, m_upstreams.size() - 1);
        if (m_options.policy == PlacementPolicy::Random) {
            return any(m_random);
        }
        const auto &own = m_ownInFlight[static_cast<std::size_t>(daemon)];
        const auto start = any(m_random);
        std::size_t best = start;
        for (std::size_t i = 0; i < own.size(); ++i) {
            const auto candidate = (start + i) % own.size();
            best = own[candidate] < own[best] ? candidate : best;
        }
        return best;
    }

    void carryOut(int daemon, const Dispatch::Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Dispatch::SendAttempt>(&action)) {
                sendTo(m_calls[sent->call], sent->attempt, sent->upstream);
            } else if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&action)) {
                askUpstream(daemon, probe->upstream);
            } else if (const auto *refusal = std::get_if<Dispatch::RefuseCall>(&action)) {
                refused(m_calls[refusal->call], refusal->retryAfter);
            } else if (const auto *end = std::get_if<Dispatch::FinishCall>(&action)) {
                ended(m_calls[end->call],
                      end->disposition == Dispatch::Disposition::Done && m_answered.contains({end->call, end->attempt}));
            } else if (const auto *cancelled = std::get_if<Dispatch::CancelAttempt>(&action)) {
                withdraw(cancelled->upstream, cancelled->call, cancelled->attempt);
            }
        }
    }

    Placement::LoadReport loadOf(std::size_t upstream) const
    {
        const auto &it = m_upstreams[upstream];
        return {.running = static_cast<double>(it.running.size()),
                .waiting = static_cast<double>(it.waiting.size()),
                .slots = static_cast<double>(m_options.slots),
                .slowness = it.slowness};
    }

    void askUpstream(int daemon, Dispatch::UpstreamId upstream)
    {
        later(m_options.network, [this, daemon, upstream] {
            if (m_options.tellsLoad) {
                answerProbe(daemon, upstream, {.answered = true, .load = loadOf(upstream)});
            } else if (static_cast<int>(m_upstreams[upstream].waiting.size()) >= m_options.queue) {
                answerProbe(daemon, upstream, {});
            } else {
                m_upstreams[upstream].waiting.push_back({.workLeft = probeWork, .probeOf = daemon});
            }
        });
    }

    void answerProbe(int daemon, Dispatch::UpstreamId upstream, const Placement::ProbeResult &result)
    {
        later(m_options.network, [this, daemon, upstream, result] {
            Dispatch::Actions actions;
            m_dispatchers[static_cast<std::size_t>(daemon)]->probeEnded(upstream, result, m_now, actions);
            carryOut(daemon, actions);
        });
    }

    void sendTo(PlayedCall &call, std::uint32_t attempt, std::size_t upstream)
    {
        ++m_ownInFlight[static_cast<std::size_t>(call.daemon)][upstream];
        later(m_options.network, [this, id = call.id, attempt, upstream] { reach(id, attempt, upstream); });
    }

    void reach(std::uint64_t id, std::uint32_t attempt, std::size_t index)
    {
        auto &upstream = m_upstreams[index];
        auto &call = m_calls[id];
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        if (static_cast<int>(upstream.waiting.size()) >= m_options.queue) {
            answer(id, attempt, index, AttemptOutcome::Incomplete);
            return;
        }
        std::lognormal_distribution<double> spread(-workSpread * workSpread / 2, workSpread);
        std::bernoulli_distribution breaks(upstream.grey ? m_options.greyShare : 0);
        upstream.waiting.push_back(
            {.call = id, .attempt = attempt, .workLeft = kind.meanWork * spread(m_random), .broken = breaks(m_random)});
    }

    void withdraw(std::size_t index, std::uint64_t call, std::uint32_t attempt)
    {
        auto &upstream = m_upstreams[index];
        const auto same = [&](const PlayedJob &it) { return it.call == call && it.attempt == attempt; };
        std::erase_if(upstream.running, same);
        std::erase_if(upstream.waiting, same);
    }

    void work()
    {
        std::bernoulli_distribution slow(m_options.slowShare);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            auto &it = m_upstreams[i];
            if (m_now >= it.speedUntil) {
                it.slowness = slow(m_random) ? m_options.slowFactor : 1;
                it.speedUntil = m_now + m_options.speedLasts;
            }
            while (!it.waiting.empty() && static_cast<int>(it.running.size()) < m_options.slots) {
                begin(it);
            }
            const double share = static_cast<double>(it.running.size()) / m_options.slots;
            const double crowd = share > m_options.knee ? 1 + m_options.kneeFactor * (share - m_options.knee) / (1 - m_options.knee) : 1;
            for (auto &job : it.running) {
                job.workLeft -= timeStep * (1 / (it.slowness * crowd));
            }
            std::vector<PlayedJob> done;
            std::copy_if(
                it.running.begin(), it.running.end(), std::back_inserter(done), [](const PlayedJob &job) { return job.workLeft <= 0_ms; });
            std::erase_if(it.running, [](const PlayedJob &job) { return job.workLeft <= 0_ms; });
            for (const auto &job : done) {
                if (job.probeOf) {
                    answerProbe(*job.probeOf, static_cast<Dispatch::UpstreamId>(i), {.answered = true});
                    continue;
                }
                answer(job.call, job.attempt, i, job.broken ? AttemptOutcome::Incomplete : AttemptOutcome::Answered);
            }
        }
    }

    void begin(PlayedUpstream &upstream)
    {
        const auto job = upstream.waiting.front();
        upstream.waiting.pop_front();
        if (job.probeOf) {
            upstream.running.push_back(job);
            return;
        }
        auto &call = m_calls[job.call];
        // An upstream drops what nobody waits for any more.
        if (m_now >= call.deadline) {
            return;
        }
        ++call.runs;
        const bool once = !m_options.kinds[static_cast<std::size_t>(call.kind)].idempotent;
        m_result.ranTwice += once && call.runs > 1 ? 1 : 0;
        upstream.running.push_back(job);
    }

    void answer(std::uint64_t id, std::uint32_t attempt, std::size_t index, AttemptOutcome outcome)
    {
        later(m_options.network, [this, id, attempt, index, outcome] {
            auto &call = m_calls[id];
            --m_ownInFlight[static_cast<std::size_t>(call.daemon)][index];
            if (outcome == AttemptOutcome::Answered) {
                m_answered.insert({{id, attempt}, true});
            }
            if (m_options.policy != PlacementPolicy::Asking) {
                ended(call, outcome == AttemptOutcome::Answered);
                return;
            }
            Dispatch::Actions actions;
            const auto load = m_options.tellsLoad ? std::optional(loadOf(index)) : std::nullopt;
            m_dispatchers[static_cast<std::size_t>(call.daemon)]->attemptEnded(id, attempt, outcome, load, m_now, actions);
            carryOut(call.daemon, actions);
        });
    }

    void placeCentral()
    {
        // Most urgent first, then who can still be in time; a call that cannot is left out.
        std::stable_sort(m_central.begin(), m_central.end(), [&](std::uint64_t a, std::uint64_t b) { return rankOf(a) < rankOf(b); });
        std::erase_if(m_central, [&](std::uint64_t id) {
            auto &call = m_calls[id];
            const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
            if (m_now + kind.meanWork * 1.25 > call.asked + kind.objective) {
                ++tally(call, &PlayedKindResult::refused);
                call.over = true;
                return true;
            }
            const auto best = std::min_element(
                m_upstreams.begin(), m_upstreams.end(), [&](const auto &a, const auto &b) { return centralCost(a) < centralCost(b); });
            if (centralCost(*best) >= fullCost) {
                return false;
            }
            reach(id, 0, static_cast<std::size_t>(best - m_upstreams.begin()));
            ++m_ownInFlight[static_cast<std::size_t>(call.daemon)][static_cast<std::size_t>(best - m_upstreams.begin())];
            return true;
        });
    }

    int rankOf(std::uint64_t id)
    {
        return m_options.kinds[static_cast<std::size_t>(m_calls[id].kind)].rank;
    }

    double centralCost(const PlayedUpstream &upstream) const
    {
        const auto calls = static_cast<double>(upstream.running.size() + upstream.waiting.size()) + 1;
        return calls / m_options.slots > m_options.knee || upstream.slowness > 1 ? fullCost : calls;
    }

    int &tally(const PlayedCall &call, int PlayedKindResult::*field)
    {
        if (inBurst(call.asked)) {
            ++(m_result.inBurst[static_cast<std::size_t>(call.kind)].*field);
            ++m_result.inBurst[static_cast<std::size_t>(call.kind)].asked;
        }
        auto &kind = call.asked >= m_options.warmUp ? m_result.kinds[static_cast<std::size_t>(call.kind)] : m_ignored;
        ++kind.asked;
        return kind.*field;
    }

    void ended(PlayedCall &call, bool answered)
    {
        if (call.over) {
            return;
        }
        call.over = true;
        const auto &kind = m_options.kinds[static_cast<std::size_t>(call.kind)];
        const bool inTime = m_now <= call.asked + kind.objective;
        ++tally(call, !answered ? &PlayedKindResult::failed : inTime ? &PlayedKindResult::inTime : &PlayedKindResult::late);
    }

    void refused(PlayedCall &call, Millis retryAfter)
    {
        m_result.refusedButRan += call.runs > 0 ? 1 : 0;
        if (call.returned || m_now + retryAfter >= call.deadline) {
            call.over = true;
            ++tally(call, &PlayedKindResult::refused);
            return;
        }
        // A caller comes back once, to any daemon, under a new id.
        call.over = true;
        auto again = call;
        again.id = m_nextId++;
        again.returned = true;
        again.over = false;
        std::uniform_int_distribution<int> daemon(0, m_options.daemons - 1);
        again.daemon = daemon(m_random);
        m_calls[again.id] = again;
        later(std::min(retryAfter, (call.deadline - m_now) * (1.0 / 3)), [this, id = again.id] { submit(m_calls[id]); });
    }

    struct Event
    {
        Millis at;
        std::uint64_t sequence = 0;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    static constexpr double fullCost = 1e9;

    PlayOptions m_options;
    std::mt19937_64 m_random;
    Millis m_now{};
    Millis m_lessonsAt{};
    std::vector<PlayedUpstream> m_upstreams;
    std::vector<Retry::TokenBucket> m_tokens;
    std::vector<std::unique_ptr<Placement::ServiceDispatcher>> m_dispatchers;
    std::vector<std::vector<int>> m_ownInFlight;
    std::map<std::uint64_t, PlayedCall> m_calls;
    std::map<std::pair<std::uint64_t, std::uint32_t>, bool> m_answered;
    std::vector<std::uint64_t> m_central;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextId = 1;
    PlayedKindResult m_ignored;
    PlayResult m_result;
};

}

double PlayResult::inTimeShare(bool burst) const
{
    int asked = 0;
    int inTime = 0;
    for (const auto &it : burst ? inBurst : kinds) {
        asked += it.asked;
        inTime += it.inTime;
    }
    return asked == 0 ? 0 : static_cast<double>(inTime) / asked;
}

PlayResult play(const PlayOptions &options)
{
    return Play(options).run();
}

PlayOptions siciliaBurst()
{
    PlayOptions options;
    options.kinds
        = {{.name = "read", .perSecond = 214, .meanWork = 90_ms, .objective = 250_ms, .deadline = 800_ms, .idempotent = true, .rank = 0},
           {.name = "tap", .perSecond = 89, .meanWork = 120_ms, .objective = 300_ms, .deadline = 1000_ms, .idempotent = false, .rank = 1}};
    options.bursts = {{.from = 12_s, .to = 15800_ms, .factor = 1.8, .kind = 0}};
    return options;
}

PlayOptions papelBurst()
{
    PlayOptions options;
    options.daemons = 13;
    options.upstreams = 22;
    options.network = 0.9_ms;
    options.slowShare = 0.35;
    options.kneeFactor = 0;
    options.kinds = {
        {.name = "lookup", .perSecond = 220, .meanWork = 60_ms, .objective = 200_ms, .deadline = 500_ms, .idempotent = true, .rank = 0},
        {.name = "booking", .perSecond = 71, .meanWork = 78_ms, .objective = 250_ms, .deadline = 600_ms, .idempotent = false, .rank = 1}};
    options.bursts = {{.from = 12_s, .to = 15600_ms, .factor = 1.8, .kind = 0}};
    return options;
}

}
