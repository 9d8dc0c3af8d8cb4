#include "core/placement/callorder.h"
#include "core/placement/servicedispatcher.h"
#include "placement/dispatcherfixture.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Placement;
using namespace Laburnummast::Tests;

namespace
{

struct Sender
{
    WorkspaceId workspace = noWorkspace;
    int rank = 0;
    double callsPerSecond = 0;
};

struct Counts
{
    int calls = 0;
    int inTime = 0;
    double share() const
    {
        return calls > 0 ? static_cast<double>(inTime) / calls : 1;
    }
};

// One daemon and eight upstreams that together serve 400 calls a second; steps of one millisecond, probes answered at once.
class WorkspacePlay
{
public:
    explicit WorkspacePlay(std::uint64_t seed)
        : m_fixture(8)
        , m_random(seed)
    {
        m_fixture.dispatcher.configure({.domain = "a", .maxReportAge = 2_ms}, m_fixture.now);
    }

    std::map<WorkspaceId, Counts> run(const std::vector<Sender> &senders, Millis duration)
    {
        m_counts.clear();
        for (const auto end = m_fixture.now + duration; m_fixture.now < end; m_fixture.now += 1_ms) {
            for (const auto &it : senders) {
                std::poisson_distribution<int> newCalls(it.callsPerSecond / 1000);
                for (int n = newCalls(m_random); n > 0; --n) {
                    submit(it);
                }
            }
            endAttempts();
            m_fixture.dispatcher.tick(m_fixture.now, m_fixture.actions);
            execute();
        }
        return m_counts;
    }

private:
    struct Running
    {
        Dispatch::SendAttempt attempt;
        Millis endsAt;
    };

    void submit(const Sender &sender)
    {
        const auto now = m_fixture.now;
        ++m_counts[sender.workspace].calls;
        m_calls[++m_lastCall] = {.objective = now + 250_ms, .workspace = sender.workspace};
        m_fixture.dispatcher.submit({.id = m_lastCall,
                                     .idempotent = false,
                                     .maxAttempts = 1,
                                     .objective = now + 250_ms,
                                     .deadline = now + 800_ms,
                                     .workspace = sender.workspace,
                                     .workspaceRank = sender.rank},
                                    now,
                                    m_fixture.actions);
        execute();
    }

    void execute()
    {
        while (!m_fixture.actions.empty()) {
            const auto probes = m_fixture.take<Dispatch::ProbeUpstream>();
            for (const auto &it : m_fixture.take<Dispatch::SendAttempt>()) {
                m_running.push_back({.attempt = it, .endsAt = m_fixture.now + 60_ms});
                ++m_load[it.upstream];
            }
            m_fixture.actions.clear();
            for (const auto &it : probes) {
                m_fixture.dispatcher.probeEnded(
                    it.upstream, {.answered = true, .load = loadOf(it.upstream)}, m_fixture.now, m_fixture.actions);
            }
        }
    }

    void endAttempts()
    {
        while (!m_running.empty() && m_running.front().endsAt <= m_fixture.now) {
            const auto attempt = m_running.front().attempt;
            m_running.pop_front();
            --m_load[attempt.upstream];
            const auto &call = m_calls[attempt.call];
            m_counts[call.workspace].inTime += m_fixture.now <= call.objective ? 1 : 0;
            m_fixture.dispatcher.attemptEnded(
                attempt.call, attempt.attempt, AttemptOutcome::Answered, loadOf(attempt.upstream), m_fixture.now, m_fixture.actions);
            execute();
        }
    }

    LoadReport loadOf(UpstreamId upstream)
    {
        return {.running = m_load[upstream], .waiting = 0, .slots = 3, .slowness = 1};
    }

    DispatcherFixture m_fixture;
    std::mt19937_64 m_random;
    std::deque<Running> m_running;
    std::map<UpstreamId, double> m_load;
    std::map<CallId, CallSpec> m_calls;
    std::map<WorkspaceId, Counts> m_counts;
    CallId m_lastCall = 0;
};

OpenCall callOf(WorkspaceId workspace, int workspaceRank, int rank, Millis objective)
{
    OpenCall call;
    call.spec = {.rank = rank, .objective = objective, .workspace = workspace, .workspaceRank = workspaceRank};
    return call;
}

}

TEST_CASE("A workspace that sends several times its usual rate waits for its own excess and takes nothing from the others")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        WorkspacePlay play(seed);
        std::vector<Sender> senders{{1, 0, 60}, {2, 0, 60}, {3, 0, 40}, {4, 0, 40}, {5, 0, 5}};
        play.run(senders, 2_s);
        const auto calm = play.run(senders, 6500_ms);
        senders.front().callsPerSecond *= 7.5;
        const auto burst = play.run(senders, 6500_ms);
        for (WorkspaceId id = 2; id <= 5; ++id) {
            CAPTURE(id);
            CHECK(burst.at(id).share() >= 0.95 * calm.at(id).share());
        }
        // It gets what the others leave, which is more than its usual rate.
        CHECK(burst.at(1).inTime >= 0.8 * 6.5 * (400 - 145));
    }
}

TEST_CASE("Calls of a workspace with priority go first, but no workspace is served less than a quarter as often as all")
{
    WorkspacePlay play(1);
    const std::vector<Sender> senders{{1, 0, 300}, {2, 1, 200}, {3, 2, 200}};
    play.run(senders, 2_s);
    const auto counts = play.run(senders, 10_s);
    Counts all;
    for (const auto &[id, it] : counts) {
        all.calls += it.calls;
        all.inTime += it.inTime;
    }
    CHECK(counts.at(1).share() >= 0.7);
    CHECK(counts.at(1).share() > 1.5 * counts.at(2).share());
    for (const auto &entry : counts) {
        const auto id = entry.first;
        CAPTURE(id);
        CHECK(entry.second.share() >= 0.25 * all.share());
    }
}

TEST_CASE("Waiting calls are ordered by the rank of the workspace, of the route, the service received lately and the objective")
{
    RecentService service;
    const Millis now{1000};
    for (int i = 0; i < 5; ++i) {
        service.recordCall(1, now);
        service.recordAttempt(1, true, now);
    }
    service.recordCall(2, now);
    const CallOrder order(service);
    auto urgentWorkspace = callOf(3, -1, 4, 900_ms);
    auto urgentRoute = callOf(1, 0, 0, 800_ms);
    auto served = callOf(1, 0, 1, 100_ms);
    auto lessServed = callOf(2, 0, 1, 700_ms);
    auto lessServedLater = callOf(2, 0, 1, 750_ms);
    std::vector<OpenCall *> calls{&served, &lessServedLater, &lessServed, &urgentRoute, &urgentWorkspace};
    order.sort(calls, now);
    CHECK(calls == std::vector<OpenCall *>{&urgentWorkspace, &urgentRoute, &lessServed, &lessServedLater, &served});
    CHECK(order.goesBefore(lessServed.spec, served.spec, now));
}

TEST_CASE("Workspaces with equal service take turns, so that many calls of one do not all go before those of another")
{
    RecentService service;
    service.recordCall(1, 0_ms);
    service.recordCall(2, 0_ms);
    const CallOrder order(service);
    auto a = callOf(1, 0, 0, 100_ms);
    auto b = callOf(1, 0, 0, 200_ms);
    auto c = callOf(2, 0, 0, 300_ms);
    std::vector<OpenCall *> calls{&a, &b, &c};
    order.sort(calls, 0_ms);
    CHECK(calls == std::vector<OpenCall *>{&a, &c, &b});
}

TEST_CASE("Calls without a workspace are ordered by rank and objective as before")
{
    RecentService service;
    for (int i = 0; i < 5; ++i) {
        service.recordCall(noWorkspace, 0_ms);
        service.recordAttempt(noWorkspace, true, 0_ms);
    }
    const CallOrder order(service);
    auto a = callOf(noWorkspace, 0, 1, 100_ms);
    auto b = callOf(noWorkspace, 0, 0, 300_ms);
    auto c = callOf(noWorkspace, 0, 0, 200_ms);
    std::vector<OpenCall *> calls{&a, &b, &c};
    order.sort(calls, 0_ms);
    CHECK(calls == std::vector<OpenCall *>{&c, &b, &a});
}
