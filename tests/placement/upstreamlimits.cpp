#include "core/placement/servicedispatcher.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Placement;

namespace
{

struct PlayOptions
{
    std::size_t daemons = 19;
    int upstreams = 30;
    /// The first ones name the limit.
    int limitedUpstreams = 20;
    double limitPerSecond = 4;
    double callsPerSecond = 200;
    std::uint64_t seed = 1;
};

// Daemons that send calls of a service to the same upstreams, some of which name a limit in their answers from `limitStart` to
// `limitEnd`. Steps of one millisecond; observations reach the other daemons after `reportDelay`.
class LimitPlay
{
public:
    static constexpr Millis limitStart{2000};
    static constexpr Millis limitEnd{14000};

    explicit LimitPlay(const PlayOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (int i = 0; i < options.upstreams; ++i) {
            m_specs.push_back({.id = "u" + std::to_string(i), .domain = domainOf(static_cast<std::size_t>(i)), .slots = 3});
            m_arrivals[m_specs.back().id];
        }
        for (std::size_t i = 0; i < options.daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>());
            start(i);
        }
    }

    // Stops a daemon; the others learn of it after `noticedAfter`.
    void stop(std::size_t i, Millis noticedAfter)
    {
        m_daemons[i]->running = false;
        m_daemons[i]->leavesPoolsAt = m_now + noticedAfter;
    }

    void start(std::size_t i)
    {
        auto &daemon = *m_daemons[i];
        daemon.running = true;
        daemon.leavesPoolsAt.reset();
        daemon.dispatcher = std::make_unique<ServiceDispatcher>(optionsOf(i), daemon.tokens, m_options.seed * 1000 + i);
        daemon.dispatcher->setUpstreams(m_specs);
        daemon.attempts.clear();
        m_poolsOutdated = true;
    }

    void runUntil(Millis end)
    {
        for (; m_now < end; m_now += 1_ms) {
            step();
        }
    }

    // Most calls that a limited upstream got in `window`, from `from` to `to`.
    int busiestWindow(Millis window, Millis from, Millis to) const
    {
        int most = 0;
        for (int i = 0; i < m_options.limitedUpstreams; ++i) {
            const auto &times = m_arrivals.at(m_specs[static_cast<std::size_t>(i)].id);
            for (const auto first : times) {
                if (first >= from && first + window <= to) {
                    most = std::max(most, static_cast<int>(std::count_if(times.begin(), times.end(), [&](Millis it) {
                                        return it >= first && it < first + window;
                                    })));
                }
            }
        }
        return most;
    }

    // Mean rate of calls at the limited upstreams, each second and upstream.
    double meanRate(Millis from, Millis to) const
    {
        double n = 0;
        for (int i = 0; i < m_options.limitedUpstreams; ++i) {
            const auto &times = m_arrivals.at(m_specs[static_cast<std::size_t>(i)].id);
            n += static_cast<double>(std::count_if(times.begin(), times.end(), [&](Millis it) { return it >= from && it < to; }));
        }
        return n / m_options.limitedUpstreams / ((to - from) / 1_s);
    }

    int served = 0;
    int refused = 0;
    /// Refused calls that had waited for more than a few probe rounds.
    int refusedLate = 0;

private:
    static constexpr Millis reportDelay{300};
    static constexpr Millis serviceTime{100};

    struct RunningAttempt
    {
        CallId call = 0;
        AttemptNumber number = 0;
        UpstreamId upstream = 0;
        Millis sentAt;
    };

    struct Daemon
    {
        Retry::TokenBucket tokens{1000, 1000};
        std::unique_ptr<ServiceDispatcher> dispatcher;
        std::deque<RunningAttempt> attempts;
        std::map<CallId, Millis> arrivals;
        bool running = true;
        std::optional<Millis> leavesPoolsAt;
    };

    struct Report
    {
        Millis at;
        std::size_t from = 0;
        NamedLimit limit;
    };

    static std::string domainOf(std::size_t i)
    {
        constexpr std::string_view domains = "abc";
        return std::string(1, domains[i % domains.size()]);
    }

    PlacementOptions optionsOf(std::size_t self) const
    {
        auto pool = std::make_shared<Limits::LimitPool>();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
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
        return {.host = "host-" + std::to_string(self), .domain = domainOf(self), .limitPool = std::move(pool)};
    }

    void step()
    {
        for (const auto &it : m_daemons) {
            m_poolsOutdated = m_poolsOutdated || it->leavesPoolsAt == m_now;
        }
        if (m_poolsOutdated) {
            m_poolsOutdated = false;
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                m_daemons[i]->dispatcher->configure(optionsOf(i), m_now);
            }
        }
        std::poisson_distribution<int> newCalls(m_options.callsPerSecond / 1000);
        for (int n = newCalls(m_random); n > 0; --n) {
            submitCall();
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->running) {
                stepDaemon(i);
            }
        }
        deliverReports();
    }

    void submitCall()
    {
        auto i = m_random() % m_daemons.size();
        while (!m_daemons[i]->running) {
            i = m_random() % m_daemons.size();
        }
        auto &daemon = *m_daemons[i];
        Dispatch::Actions actions;
        daemon.arrivals[++m_lastCall] = m_now;
        daemon.dispatcher->submit(
            {.id = m_lastCall, .idempotent = true, .maxAttempts = 2, .objective = m_now + 250_ms, .deadline = m_now + 800_ms},
            m_now,
            actions);
        execute(daemon, std::move(actions));
    }

    void stepDaemon(std::size_t i)
    {
        auto &daemon = *m_daemons[i];
        Dispatch::Actions actions;
        while (!daemon.attempts.empty() && daemon.attempts.front().sentAt + serviceTime <= m_now) {
            const auto attempt = daemon.attempts.front();
            daemon.attempts.pop_front();
            const auto id = daemon.dispatcher->view(attempt.upstream)->spec().id;
            --m_running[id];
            const bool named = m_now >= limitStart && m_now < limitEnd && std::stoi(id.substr(1)) < m_options.limitedUpstreams;
            const Limits::LimitObservation observation{.perSecond = named ? std::optional(m_options.limitPerSecond) : std::nullopt,
                                                       .at = named ? m_now : attempt.sentAt};
            daemon.dispatcher->observeLimit(id, observation, true, m_now);
            daemon.dispatcher->attemptEnded(attempt.call, attempt.number, AttemptOutcome::Answered, loadOf(id), m_now, actions);
        }
        daemon.dispatcher->tick(m_now, actions);
        execute(daemon, std::move(actions));
        if (static_cast<int>(m_now.count) % 250 == static_cast<int>(i)) {
            for (const auto &it : daemon.dispatcher->takeNamedLimits()) {
                m_reports.push_back({.at = m_now + reportDelay, .from = i, .limit = it});
            }
        }
    }

    void deliverReports()
    {
        while (!m_reports.empty() && m_reports.front().at <= m_now) {
            const auto report = m_reports.front();
            m_reports.pop_front();
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (i != report.from && m_daemons[i]->running) {
                    m_daemons[i]->dispatcher->observeLimit(report.limit.upstream, report.limit.observation, false, m_now);
                }
            }
        }
    }

    LoadReport loadOf(const std::string &id)
    {
        return {.running = static_cast<double>(m_running[id]), .waiting = 0, .slots = 3, .slowness = 1};
    }

    void execute(Daemon &daemon, Dispatch::Actions actions)
    {
        while (!actions.empty()) {
            Dispatch::Actions next;
            for (const auto &action : actions) {
                if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&action)) {
                    const auto id = daemon.dispatcher->view(probe->upstream)->spec().id;
                    daemon.dispatcher->probeEnded(probe->upstream, {.answered = true, .load = loadOf(id)}, m_now, next);
                } else if (const auto *attempt = std::get_if<Dispatch::SendAttempt>(&action)) {
                    const auto id = daemon.dispatcher->view(attempt->upstream)->spec().id;
                    ++m_running[id];
                    m_arrivals[id].push_back(m_now);
                    daemon.attempts.push_back(
                        {.call = attempt->call, .number = attempt->attempt, .upstream = attempt->upstream, .sentAt = m_now});
                } else if (const auto *refusal = std::get_if<Dispatch::RefuseCall>(&action)) {
                    ++refused;
                    refusedLate += m_now - daemon.arrivals[refusal->call] > 20_ms ? 1 : 0;
                } else if (std::holds_alternative<Dispatch::FinishCall>(action)) {
                    ++served;
                }
            }
            actions = std::move(next);
        }
    }

    PlayOptions m_options;
    std::mt19937_64 m_random;
    std::vector<UpstreamSpec> m_specs;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::string, std::vector<Millis>> m_arrivals;
    std::map<std::string, int> m_running;
    std::deque<Report> m_reports;
    CallId m_lastCall = 0;
    bool m_poolsOutdated = true;
    Millis m_now{0};
};

// Calls that an upstream may get in 4 s: one and a half times its limit, and 5.
int allowedIn4Seconds(double perSecond)
{
    return static_cast<int>(1.5 * 4 * perSecond + 5);
}

}

TEST_CASE("Daemons together send an upstream no more calls than the limit that it names")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const std::size_t daemons : {1, 19, 107}) {
            for (const double perSecond : {0.5, 2.0, 4.1, 12.0}) {
                CAPTURE(seed);
                CAPTURE(daemons);
                CAPTURE(perSecond);
                LimitPlay play({.daemons = daemons, .limitPerSecond = perSecond, .callsPerSecond = 300, .seed = seed});
                play.runUntil(LimitPlay::limitEnd);
                CHECK(play.busiestWindow(4_s, LimitPlay::limitStart + 500_ms, LimitPlay::limitEnd) <= allowedIn4Seconds(perSecond));
                // Each daemon with a share may have kept one call; it has a share of 2 a second or more, or it is the only one.
                const double keptCalls = std::max(1.0, perSecond / 2);
                CHECK(play.busiestWindow(10_s, LimitPlay::limitStart + 1_s, LimitPlay::limitEnd) <= 10 * perSecond + keptCalls + 1);
            }
        }
    }
}

TEST_CASE("Daemons use most of a limit while calls need it, and the whole upstream again once it names none")
{
    LimitPlay play({.limitedUpstreams = 30, .limitPerSecond = 4, .callsPerSecond = 300});
    play.runUntil(LimitPlay::limitEnd);
    CHECK(play.meanRate(LimitPlay::limitStart + 2_s, LimitPlay::limitEnd) >= 0.9 * 4);
    play.runUntil(LimitPlay::limitEnd + 6_s);
    CHECK(play.meanRate(LimitPlay::limitEnd + 2_s, LimitPlay::limitEnd + 6_s) >= 0.95 * 10);
}

TEST_CASE("A limit holds while daemons are killed, noticed late and started again")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        LimitPlay play({.limitPerSecond = 6, .seed = seed});
        for (int second = 4; second < 12; ++second) {
            play.runUntil(1_s * second);
            play.stop(static_cast<std::size_t>(second), 1500_ms);
            if (second >= 6) {
                play.start(static_cast<std::size_t>(second - 2));
            }
        }
        play.runUntil(LimitPlay::limitEnd);
        CHECK(play.busiestWindow(4_s, LimitPlay::limitStart + 500_ms, LimitPlay::limitEnd) <= allowedIn4Seconds(6));
    }
}

TEST_CASE("A call that the limits of all upstreams leave no room for is refused at once")
{
    LimitPlay play({.limitedUpstreams = 30, .limitPerSecond = 1, .callsPerSecond = 200});
    play.runUntil(LimitPlay::limitStart + 2_s);
    play.refusedLate = 0;
    play.refused = 0;
    play.runUntil(LimitPlay::limitEnd);
    CHECK(play.refused > 1000);
    CHECK(play.refusedLate <= play.refused / 100);
}

TEST_CASE("The end of a limit reaches a daemon that took the first report of it for an older one")
{
    Retry::TokenBucket tokens{1000, 1000};
    ServiceDispatcher caller({.domain = "a"}, tokens, 1);
    ServiceDispatcher other({.domain = "a"}, tokens, 2);
    const std::vector<UpstreamSpec> specs{{.id = "u0", .domain = "a", .slots = 3}};
    caller.setUpstreams(specs);
    other.setUpstreams(specs);
    caller.observeLimit("u0", {.perSecond = 4.0, .at = 1000_ms}, true, 1000_ms);
    // A slow link makes the limit seem later than it was named.
    other.observeLimit("u0", {.perSecond = 4.0, .at = 1300_ms}, false, 1300_ms);
    caller.takeNamedLimits();
    const auto report = [&](Millis now) {
        for (const auto &it : caller.takeNamedLimits()) {
            other.observeLimit(it.upstream, it.observation, false, now);
        }
    };
    caller.observeLimit("u0", {.perSecond = std::nullopt, .at = 1200_ms}, true, 1300_ms);
    report(1400_ms);
    report(1500_ms);
    CHECK(other.limitedUpstreams(1500_ms) == 1);
    caller.observeLimit("u0", {.perSecond = std::nullopt, .at = 1500_ms}, true, 1600_ms);
    report(1700_ms);
    CHECK(other.limitedUpstreams(1700_ms) == 0);
}
