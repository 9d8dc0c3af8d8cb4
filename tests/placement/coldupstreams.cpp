#include "core/placement/servicedispatcher.h"
#include "placement/dispatcherfixture.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

using namespace Laburnummast;
using namespace Laburnummast::Placement;

namespace
{

constexpr double coldCallsPerSecond = 7.9;
// In any second: cold calls per second x 1.5 + 8.
constexpr int coldBound = 19;

struct PlayOptions
{
    std::size_t daemons = 104;
    int upstreams = 48;
    double callsPerSecond = 1500;
    /// Probes that a daemon may send per second; with few of them, calls are sent without a fresh report.
    double probesPerSecond = 1000;
    std::uint64_t seed = 1;
};

// Daemons that send calls of a service to the same upstreams. Steps of one millisecond, in which a probe takes one step each way.
class ColdPlay
{
public:
    explicit ColdPlay(const PlayOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (int i = 0; i < options.upstreams; ++i) {
            add();
        }
        for (std::size_t i = 0; i < options.daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>(options.probesPerSecond));
            auto &daemon = *m_daemons.back();
            daemon.dispatcher = std::make_unique<ServiceDispatcher>(optionsOf(i), daemon.tokens, options.seed * 1000 + i);
            daemon.dispatcher->setUpstreams(m_specs);
        }
    }

    // Adds an upstream that is cold according to its record; returns its index.
    std::size_t addCold(Millis duration)
    {
        const auto i = add();
        m_upstreams[i].coldFrom = m_now;
        m_upstreams[i].coldUntil = m_now + duration;
        m_specs[i].warmUpEnd = m_now + duration;
        for (const auto &it : m_daemons) {
            it->dispatcher->setUpstreams(m_specs);
        }
        return i;
    }

    // Turns an upstream cold, which only its probe answers state.
    void turnCold(std::size_t i, Millis duration)
    {
        m_upstreams[i].coldFrom = m_now;
        m_upstreams[i].coldUntil = m_now + duration;
        m_upstreams[i].arrivals.clear();
    }

    // Stops a daemon; the others learn of it after `noticedAfter`.
    void stop(std::size_t i, Millis noticedAfter)
    {
        m_daemons[i]->running = false;
        m_daemons[i]->leavesPoolsAt = m_now + noticedAfter;
    }

    void runUntil(Millis end)
    {
        for (; m_now < end; m_now += 1_ms) {
            step();
        }
    }

    // Most calls in any second at an upstream while it was cold.
    int busiestColdSecond() const
    {
        std::ptrdiff_t most = 0;
        for (const auto &it : m_upstreams) {
            for (auto first = it.arrivals.begin(); it.coldUntil > 0_ms && first != it.arrivals.end(); ++first) {
                const auto end = std::min(*first + 1_s, it.coldUntil);
                most = std::max(most, std::lower_bound(first, it.arrivals.end(), end) - first);
            }
        }
        return static_cast<int>(most);
    }

    int arrivalsAt(std::size_t i, Millis from, Millis to) const
    {
        return static_cast<int>(std::count_if(
            m_upstreams[i].arrivals.begin(), m_upstreams[i].arrivals.end(), [&](Millis it) { return it >= from && it < to; }));
    }

    // Indices of the daemons that have a share of the cold calls of an upstream.
    std::vector<std::size_t> shareHolders(std::size_t upstream) const
    {
        std::vector<std::size_t> holders;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto options = optionsOf(i);
            const auto share = Limits::limitShare(
                {.id = m_specs[upstream].id, .domain = m_specs[upstream].domain, .perSecond = coldCallsPerSecond}, *options.limitPool);
            if (m_daemons[i]->running && share > 0) {
                holders.push_back(i);
            }
        }
        return holders;
    }

    Millis now() const
    {
        return m_now;
    }

    int served = 0;
    int refused = 0;

private:
    static constexpr Millis serviceTime{60};
    static constexpr int slots = 3;

    struct RunningAttempt
    {
        CallId call = 0;
        AttemptNumber number = 0;
        std::size_t upstream = 0;
        Millis endsAt;
    };

    struct PendingProbe
    {
        UpstreamId upstream = 0;
        Millis sentAt;
        ProbeResult result;
        bool answered = false;
    };

    struct Daemon
    {
        explicit Daemon(double probesPerSecond)
            : tokens(probesPerSecond, probesPerSecond)
        {
        }

        Retry::TokenBucket tokens;
        std::unique_ptr<ServiceDispatcher> dispatcher;
        std::deque<RunningAttempt> attempts;
        std::deque<PendingProbe> probes;
        bool running = true;
        std::optional<Millis> leavesPoolsAt;
    };

    struct Upstream
    {
        Millis coldFrom{};
        Millis coldUntil{};
        int running = 0;
        // Since it turned cold.
        std::vector<Millis> arrivals;
    };

    static std::string domainOf(std::size_t i)
    {
        constexpr std::string_view domains = "abc";
        return std::string(1, domains[i % domains.size()]);
    }

    std::size_t add()
    {
        const auto i = m_specs.size();
        m_specs.push_back({.id = "u" + std::to_string(i), .domain = domainOf(i), .slots = slots, .coldCallsPerSecond = coldCallsPerSecond});
        m_indices[m_specs.back().id] = i;
        m_upstreams.emplace_back();
        return i;
    }

    PlacementOptions optionsOf(std::size_t self) const
    {
        auto pool = std::make_shared<Limits::LimitPool>();
        std::vector<std::string> domains;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            domains.push_back(domainOf(i));
            const auto &daemon = *m_daemons[i];
            if (daemon.leavesPoolsAt && *daemon.leavesPoolsAt <= m_now) {
                ++pool->unreachable;
                continue;
            }
            if (i == self) {
                pool->self = pool->daemons.size();
            }
            pool->daemons.push_back({.name = "host-" + std::to_string(i), .domain = domainOf(i)});
        }
        return {.host = "host-" + std::to_string(self),
                .domain = domainOf(self),
                .daemonDomains = domains,
                .daemonIndex = self,
                .limitPool = std::move(pool)};
    }

    void step()
    {
        for (const auto &it : m_daemons) {
            m_poolsOutdated = m_poolsOutdated || it->leavesPoolsAt == m_now;
        }
        if (std::exchange(m_poolsOutdated, false)) {
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                m_daemons[i]->dispatcher->configure(optionsOf(i), m_now);
            }
        }
        std::poisson_distribution<int> newCalls(m_options.callsPerSecond / 1000);
        for (int n = newCalls(m_random); n > 0; --n) {
            auto &daemon = *m_daemons[m_random() % m_daemons.size()];
            if (daemon.running) {
                Dispatch::Actions actions;
                daemon.dispatcher->submit(
                    {.id = ++m_lastCall, .idempotent = true, .maxAttempts = 2, .objective = m_now + 250_ms, .deadline = m_now + 800_ms},
                    m_now,
                    actions);
                execute(daemon, actions);
            }
        }
        for (const auto &it : m_daemons) {
            if (it->running) {
                stepDaemon(*it);
            }
        }
    }

    void stepDaemon(Daemon &daemon)
    {
        Dispatch::Actions actions;
        while (!daemon.attempts.empty() && daemon.attempts.front().endsAt <= m_now) {
            const auto attempt = daemon.attempts.front();
            daemon.attempts.pop_front();
            --m_upstreams[attempt.upstream].running;
            daemon.dispatcher->attemptEnded(
                attempt.call, attempt.number, AttemptOutcome::Answered, loadOf(attempt.upstream), m_now, actions);
        }
        for (auto &it : daemon.probes) {
            if (!it.answered && it.sentAt < m_now) {
                const auto index = indexOf(daemon, it.upstream);
                const auto remaining = std::max(0_ms, m_upstreams[index].coldUntil - m_now);
                it.answered = true;
                it.result = {.answered = true, .load = loadOf(index), .coldRemaining = remaining};
            }
        }
        while (!daemon.probes.empty() && daemon.probes.front().sentAt + 2_ms <= m_now) {
            const auto probe = daemon.probes.front();
            daemon.probes.pop_front();
            daemon.dispatcher->probeEnded(probe.upstream, probe.result, m_now, actions);
        }
        daemon.dispatcher->tick(m_now, actions);
        execute(daemon, actions);
    }

    std::size_t indexOf(const Daemon &daemon, UpstreamId upstream) const
    {
        return m_indices.at(daemon.dispatcher->view(upstream)->spec().id);
    }

    LoadReport loadOf(std::size_t i) const
    {
        const auto running = m_upstreams[i].running;
        return {.running = static_cast<double>(std::min(running, slots)),
                .waiting = static_cast<double>(std::max(0, running - slots)),
                .slots = slots,
                .slowness = 1};
    }

    void execute(Daemon &daemon, const Dispatch::Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&action)) {
                daemon.probes.push_back({.upstream = probe->upstream, .sentAt = m_now, .result = {}});
            } else if (const auto *attempt = std::get_if<Dispatch::SendAttempt>(&action)) {
                const auto index = indexOf(daemon, attempt->upstream);
                auto &upstream = m_upstreams[index];
                ++upstream.running;
                upstream.arrivals.push_back(m_now);
                // A full queue is simplified to a longer service time.
                const double rounds = std::max(1.0, static_cast<double>(upstream.running) / slots);
                daemon.attempts.push_back(
                    {.call = attempt->call, .number = attempt->attempt, .upstream = index, .endsAt = m_now + serviceTime * rounds});
                std::sort(daemon.attempts.begin(), daemon.attempts.end(), [](const auto &a, const auto &b) { return a.endsAt < b.endsAt; });
            } else if (std::holds_alternative<Dispatch::RefuseCall>(action)) {
                ++refused;
            } else if (std::holds_alternative<Dispatch::FinishCall>(action)) {
                ++served;
            }
        }
    }

    PlayOptions m_options;
    std::mt19937_64 m_random;
    std::vector<UpstreamSpec> m_specs;
    std::vector<Upstream> m_upstreams;
    std::map<std::string, std::size_t> m_indices;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    CallId m_lastCall = 0;
    bool m_poolsOutdated = true;
    Millis m_now{0};
};

}

TEST_CASE("A third of the upstreams that turn cold at once under full load never get more calls in a second than the bound")
{
    // 2,400 calls a second is what the upstreams serve while all are warm.
    for (const double callsPerSecond : {1500.0, 2400.0}) {
        CAPTURE(callsPerSecond);
        ColdPlay play({.callsPerSecond = callsPerSecond});
        play.runUntil(1_s);
        // Every third upstream: a whole failure domain.
        for (std::size_t i = 0; i < 48; i += 3) {
            play.turnCold(i, 3_s);
        }
        const int servedBefore = play.served;
        play.runUntil(2500_ms);
        CHECK(play.busiestColdSecond() <= coldBound);
        int coldCalls = 0;
        for (std::size_t i = 0; i < 48; i += 3) {
            coldCalls += play.arrivalsAt(i, 1500_ms, 2500_ms);
        }
        CHECK(coldCalls >= 0.6 * 16 * coldCallsPerSecond);
        // The others go on serving: what they and the cold ones may serve, at most the load.
        CHECK(play.served - servedBefore >= 0.8 * 1.5 * std::min(callsPerSecond, 32 * 50 + 16 * coldCallsPerSecond));
    }
}

TEST_CASE("The bound holds at upstreams that turn cold while probe tokens are short, as calls without a fresh report could exceed it")
{
    ColdPlay play({.probesPerSecond = 10});
    play.runUntil(1_s);
    for (std::size_t i = 0; i < 48; i += 3) {
        play.turnCold(i, 3_s);
    }
    play.runUntil(2500_ms);
    CHECK(play.busiestColdSecond() <= coldBound);
}

TEST_CASE("A new upstream that is cold gets calls within 4 s, also while the others have room")
{
    for (const double callsPerSecond : {500.0, 2400.0}) {
        CAPTURE(callsPerSecond);
        ColdPlay play({.callsPerSecond = callsPerSecond});
        play.runUntil(1_s);
        const auto added = play.addCold(8_s);
        play.runUntil(4_s);
        CHECK(play.arrivalsAt(added, 1_s, 4_s) >= 1);
        CHECK(play.busiestColdSecond() <= coldBound);
    }
}

TEST_CASE("The bound holds after a daemon with a share dies, and others use its share once it is declared dead")
{
    ColdPlay play({.callsPerSecond = 2000});
    play.runUntil(1_s);
    play.turnCold(0, 9_s);
    play.runUntil(1500_ms);
    const auto holders = play.shareHolders(0);
    REQUIRE(holders.size() == 3);
    play.stop(holders.front(), 1_s);
    play.runUntil(5_s);
    CHECK(play.busiestColdSecond() <= coldBound);
    CHECK(play.shareHolders(0).size() == 3);
    CHECK(play.arrivalsAt(0, 3_s, 5_s) >= 0.6 * 2 * coldCallsPerSecond);
}

TEST_CASE("A daemon without a share of the cold calls does not call a cold upstream")
{
    Tests::DispatcherFixture fixture(0);
    fixture.specs = {{.id = "u0", .domain = "a", .slots = 3, .coldCallsPerSecond = 7.9}};
    fixture.dispatcher.setUpstreams(fixture.specs);
    fixture.submit(1, false);
    const auto probes = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 1);
    fixture.dispatcher.probeEnded(
        probes[0].upstream, {.answered = true, .load = Tests::idleLoad, .coldRemaining = 500_ms}, fixture.now, fixture.actions);
    fixture.advanceTime(50_ms, Tests::idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
}

TEST_CASE("Without probe tokens a call is not sent to an upstream that may have turned cold unless this daemon has a share there")
{
    for (const bool limited : {false, true}) {
        CAPTURE(limited);
        Tests::DispatcherFixture fixture(0);
        fixture.specs = {{.id = "u0", .domain = "a", .slots = 3, .coldCallsPerSecond = limited ? 7.9 : 0}};
        fixture.dispatcher.setUpstreams(fixture.specs);
        // No probe can be sent, so the upstream is used without a fresh report if it has no limit.
        fixture.tokens.setRate(0, 0);
        fixture.submit(1, false);
        fixture.advanceTime(250_ms, Tests::idleLoad);
        CHECK(fixture.take<Dispatch::SendAttempt>().size() == (limited ? 0 : 1));
        CHECK(fixture.take<Dispatch::RefuseCall>().size() == (limited ? 1 : 0));
    }
}

TEST_CASE("Only a stated time ends the warm-up time of the record early; a probe without one does not")
{
    Limits::ColdLimit limit;
    limit.configure(7.9, 3000_ms);
    CHECK(limit.isCold(1000_ms));
    limit.observeProbe(std::nullopt, 1000_ms, 1001_ms);
    CHECK(limit.isCold(1002_ms));
    limit.observeProbe(0_ms, 1100_ms, 1101_ms);
    CHECK_FALSE(limit.isCold(1102_ms));
    // The same record again is no news, a changed one is.
    limit.configure(7.9, 3000_ms);
    CHECK_FALSE(limit.isCold(1102_ms));
    limit.observeProbe(2000_ms, 1200_ms, 1201_ms);
    CHECK(limit.isCold(3200_ms));
    CHECK_FALSE(limit.isCold(3202_ms));
    limit.configure(7.9, 5000_ms);
    CHECK(limit.isCold(4000_ms));
    limit.configure(0, 5000_ms);
    CHECK_FALSE(limit.isCold(4000_ms));
}

TEST_CASE("An upstream that no recent probe proved to be warm is called only within the share of a cold one")
{
    Limits::ColdLimit limit;
    limit.configure(7.9, 0_ms);
    CHECK_FALSE(limit.allowsSending(1000_ms));
    limit.observeProbe(0_ms, 1000_ms, 1001_ms);
    CHECK(limit.allowsSending(1010_ms));
    // The answer may have been delayed, so the time at which it was requested counts.
    CHECK_FALSE(limit.allowsSending(1041_ms));
    limit.assignShare(2, 2000_ms);
    CHECK_FALSE(limit.allowsSending(2400_ms));
    CHECK(limit.allowsSending(2500_ms));
    limit.recordCall(2500_ms);
    CHECK_FALSE(limit.allowsSending(2900_ms));
}

TEST_CASE("The divided rate keeps the bound of a cold upstream also if its slack is small")
{
    CHECK(Limits::dividedColdRate(7.9, {.overshoot = 1.5, .slack = 8}) == 7.9);
    CHECK(Limits::dividedColdRate(30, {.overshoot = 1, .slack = 0}) == 20);
    CHECK(Limits::dividedColdRate(0, {.overshoot = 1.5, .slack = 8}) == 0);
}
