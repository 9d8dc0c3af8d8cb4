#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace Laburnummast;
using namespace Laburnummast::Dispatch;

namespace
{

// A dispatcher with its actions and a clock of its own.
class DispatcherFixture
{
public:
    explicit DispatcherFixture(int upstreams = 3, const DispatcherOptions &options = {})
        : dispatcher(options)
    {
        setUpstreams(upstreams);
    }

    void setUpstreams(int upstreams)
    {
        std::vector<UpstreamSpec> specs;
        specs.reserve(static_cast<std::size_t>(upstreams));
        for (int i = 0; i < upstreams; ++i) {
            specs.push_back({.name = "upstream-" + std::to_string(i), .domain = "d", .slots = 3});
        }
        dispatcher.setUpstreams(specs, now, actions);
    }

    CallId submit(Priority priority, bool idempotent, Millis timeout = 500_ms, FlowId flow = 0)
    {
        const auto id = m_nextId++;
        dispatcher.submit(
            {.id = id, .flow = flow, .priority = priority, .idempotent = idempotent, .deadline = now + timeout}, now, actions);
        return id;
    }

    void end(const SendAttempt &attempt, const AttemptResult &result)
    {
        dispatcher.attemptEnded(attempt.call, attempt.attempt, result, now, actions);
    }

    template <class T>
    std::vector<T> take()
    {
        std::vector<T> taken;
        for (const auto &it : actions) {
            if (const auto *action = std::get_if<T>(&it)) {
                taken.push_back(*action);
            }
        }
        std::erase_if(actions, [](const Action &it) { return std::holds_alternative<T>(it); });
        return taken;
    }

    SendAttempt takeSingleAttempt()
    {
        auto sent = take<SendAttempt>();
        REQUIRE(sent.size() == 1);
        return sent.front();
    }

    // Fills every slot with work that does not end.
    void saturate(int calls = 200)
    {
        for (int i = 0; i < calls; ++i) {
            submit(Priority::Urgent, false, 100_s);
        }
        take<SendAttempt>();
    }

    Dispatcher dispatcher;
    Actions actions;
    Millis now{1000};

private:
    CallId m_nextId = 1;
};

}

TEST_CASE("A non-idempotent call whose answer broke off is never sent again")
{
    DispatcherFixture fixture;
    fixture.submit(Priority::Urgent, false);
    const auto sent = fixture.takeSingleAttempt();
    fixture.end(sent, {.outcome = AttemptOutcome::Incomplete});
    CHECK(fixture.take<SendAttempt>().empty());
    const auto finished = fixture.take<FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Disposition::Unknown);
    CHECK(fixture.dispatcher.pending() == 0);
}

TEST_CASE("A non-idempotent call that provably did not run goes to another upstream")
{
    for (const auto outcome : {AttemptOutcome::Shed, AttemptOutcome::NotSent}) {
        DispatcherFixture fixture;
        fixture.submit(Priority::Urgent, false);
        const auto first = fixture.takeSingleAttempt();
        fixture.end(first, {.outcome = outcome});
        const auto second = fixture.takeSingleAttempt();
        CHECK(second.upstream != first.upstream);
        fixture.end(second, {.outcome = AttemptOutcome::Answered});
        CHECK(fixture.take<FinishCall>().at(0).disposition == Disposition::Done);
    }
}

TEST_CASE("An idempotent call is sent again after a broken answer, a few times at most")
{
    DispatcherFixture fixture;
    fixture.submit(Priority::Normal, true);
    int attempts = 0;
    for (auto sent = fixture.take<SendAttempt>(); !sent.empty(); sent = fixture.take<SendAttempt>()) {
        ++attempts;
        fixture.end(sent.front(), {.outcome = AttemptOutcome::Incomplete});
    }
    CHECK(attempts == 4);
    CHECK(fixture.take<FinishCall>().at(0).disposition == Disposition::Unknown);
}

TEST_CASE("Overload further down is not answered with a retry")
{
    DispatcherFixture fixture;
    fixture.submit(Priority::Normal, true);
    fixture.end(fixture.takeSingleAttempt(), {.outcome = AttemptOutcome::Shed, .doNotRetry = true});
    CHECK(fixture.take<SendAttempt>().empty());
    CHECK(fixture.take<FinishCall>().at(0).disposition == Disposition::NotRun);
}

TEST_CASE("Retries stay within their share when every upstream sheds")
{
    DispatcherFixture fixture(10);
    std::uint64_t attempts = 0;
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i) {
        fixture.now += 1_ms;
        fixture.submit(Priority::Normal, true);
        for (auto sent = fixture.take<SendAttempt>(); !sent.empty(); sent = fixture.take<SendAttempt>()) {
            ++attempts;
            fixture.end(sent.front(), {.outcome = AttemptOutcome::Shed});
        }
    }
    CHECK(attempts <= calls * 1.1 + 5);
}

TEST_CASE("A call whose body was not kept is not sent again once it left")
{
    DispatcherFixture fixture;
    fixture.dispatcher.submit(
        {.id = 77, .priority = Priority::Deferrable, .idempotent = true, .resendable = false, .deadline = fixture.now + 1_s},
        fixture.now,
        fixture.actions);
    fixture.end(fixture.takeSingleAttempt(), {.outcome = AttemptOutcome::Incomplete});
    CHECK(fixture.take<SendAttempt>().empty());
}

TEST_CASE("A leaving upstream gets nothing new from the moment it says so")
{
    DispatcherFixture fixture(2);
    fixture.submit(Priority::Urgent, false);
    const auto first = fixture.takeSingleAttempt();
    fixture.end(first, {.outcome = AttemptOutcome::Answered, .report = LoadReport{.inFlight = 0, .draining = true}});
    for (int i = 0; i < 4; ++i) {
        fixture.submit(Priority::Urgent, false);
    }
    for (const auto &it : fixture.take<SendAttempt>()) {
        CHECK(it.upstream != first.upstream);
    }
}

TEST_CASE("A withdrawn upstream gets nothing new and its calls in flight still end well")
{
    DispatcherFixture fixture(2);
    fixture.submit(Priority::Urgent, false);
    fixture.submit(Priority::Urgent, false);
    const auto sent = fixture.take<SendAttempt>();
    fixture.setUpstreams(1);
    for (int i = 0; i < 3; ++i) {
        fixture.submit(Priority::Urgent, false);
    }
    for (const auto &it : fixture.take<SendAttempt>()) {
        CHECK(it.upstream == 0);
    }
    for (const auto &it : sent) {
        fixture.end(it, {.outcome = AttemptOutcome::Answered});
    }
    CHECK(fixture.take<FinishCall>().size() == 2);
    CHECK_FALSE(fixture.dispatcher.checkInvariants());
}

TEST_CASE("Without any upstream a call is refused at once as not run")
{
    DispatcherFixture fixture(0);
    fixture.submit(Priority::Urgent, false);
    const auto refused = fixture.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == RefusalReason::NoUpstream);
    CHECK(refused[0].retryAfter >= 1_s);
}

TEST_CASE("Urgent work is sent before what waited longer")
{
    DispatcherFixture fixture(1);
    for (int i = 0; i < 6; ++i) {
        fixture.submit(Priority::Deferrable, false, 30_s);
    }
    const auto running = fixture.take<SendAttempt>();
    const auto urgent = fixture.submit(Priority::Urgent, false);
    // The urgent call may pass the own-part rule; what is left of the slots goes to it first.
    auto sent = fixture.take<SendAttempt>();
    if (sent.empty()) {
        fixture.end(running.front(), {.outcome = AttemptOutcome::Answered});
        sent = fixture.take<SendAttempt>();
    }
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front().call == urgent);
}

TEST_CASE("A call that waited past its last useful start is refused as not run")
{
    DispatcherFixture fixture(1);
    fixture.saturate(20);
    fixture.take<RefuseCall>();
    const auto expiring = fixture.submit(Priority::Normal, true, 50_ms);
    fixture.now += 60_ms;
    fixture.dispatcher.tick(fixture.now, fixture.actions);
    const auto refused = fixture.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].call == expiring);
    CHECK(refused[0].reason == RefusalReason::Expired);
    CHECK(fixture.dispatcher.queued(Priority::Normal) == 0);
}

TEST_CASE("A full queue refuses the longest flow's oldest call, not the newcomer of a quiet one")
{
    DispatcherFixture fixture(1, {.queueLimit = 5});
    fixture.saturate(4);
    for (int i = 0; i < 5; ++i) {
        fixture.submit(Priority::Normal, true, 10_s, 1);
    }
    CHECK(fixture.take<RefuseCall>().empty());
    const auto quietFlowCall = fixture.submit(Priority::Normal, true, 10_s, 2);
    const auto refused = fixture.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].call != quietFlowCall);
    CHECK(refused[0].reason == RefusalReason::QueueFull);
}

TEST_CASE("A cancelled call that still waits is known not to have run")
{
    DispatcherFixture fixture(1);
    fixture.saturate(10);
    const auto waiting = fixture.submit(Priority::Normal, true, 10_s);
    CHECK(fixture.dispatcher.cancel(waiting, fixture.actions));
    CHECK_FALSE(fixture.dispatcher.cancel(waiting, fixture.actions));
    CHECK_FALSE(fixture.dispatcher.checkInvariants());
}

TEST_CASE("A cancelled call in flight is told to its upstream and ends as unknown")
{
    DispatcherFixture fixture;
    const auto call = fixture.submit(Priority::Urgent, false);
    const auto sent = fixture.takeSingleAttempt();
    CHECK_FALSE(fixture.dispatcher.cancel(call, fixture.actions));
    CHECK(fixture.take<CancelAttempt>().at(0).upstream == sent.upstream);
    CHECK(fixture.take<FinishCall>().at(0).disposition == Disposition::Unknown);
    fixture.end(sent, {.outcome = AttemptOutcome::Answered});
    CHECK(fixture.take<FinishCall>().empty());
    CHECK(fixture.dispatcher.pending() == 0);
}

TEST_CASE("A late read is hedged once, and the loser is cancelled")
{
    DispatcherFixture fixture(4, {.hedgeShare = 0.5});
    for (int i = 0; i < 40; ++i) {
        fixture.submit(Priority::Normal, true);
        const auto sent = fixture.takeSingleAttempt();
        fixture.now += 10_ms;
        fixture.end(sent, {.outcome = AttemptOutcome::Answered});
        fixture.take<FinishCall>();
    }
    fixture.submit(Priority::Normal, true);
    const auto first = fixture.takeSingleAttempt();
    fixture.now += 60_ms;
    fixture.dispatcher.tick(fixture.now, fixture.actions);
    const auto hedge = fixture.takeSingleAttempt();
    CHECK(hedge.hedge);
    CHECK(hedge.upstream != first.upstream);
    fixture.dispatcher.tick(fixture.now + 60_ms, fixture.actions);
    CHECK(fixture.take<SendAttempt>().empty());
    fixture.end(hedge, {.outcome = AttemptOutcome::Answered});
    CHECK(fixture.take<FinishCall>().at(0).attempt == hedge.attempt);
    CHECK(fixture.take<CancelAttempt>().at(0).attempt == first.attempt);
}

TEST_CASE("What is not idempotent is never hedged")
{
    DispatcherFixture fixture(4, {.hedgeShare = 0.5});
    for (int i = 0; i < 40; ++i) {
        fixture.submit(Priority::Urgent, false);
        const auto sent = fixture.takeSingleAttempt();
        fixture.now += 10_ms;
        fixture.end(sent, {.outcome = AttemptOutcome::Answered});
    }
    fixture.submit(Priority::Urgent, false, 5_s);
    fixture.takeSingleAttempt();
    fixture.dispatcher.tick(fixture.now + 1_s, fixture.actions);
    CHECK(fixture.take<SendAttempt>().empty());
}

TEST_CASE("Ejections leave most upstreams in place even when all of them fail")
{
    DispatcherFixture fixture(9);
    for (int i = 0; i < 200; ++i) {
        fixture.now += 1_ms;
        fixture.submit(Priority::Urgent, false);
        for (const auto &it : fixture.take<SendAttempt>()) {
            fixture.end(it, {.outcome = AttemptOutcome::Failed});
        }
    }
    CHECK(fixture.dispatcher.router().usableCount(fixture.now) >= 6);
}

TEST_CASE("Upstreams that all turn slow together still take calls")
{
    DispatcherFixture fixture(3);
    const auto callOnce = [&](Millis latency) {
        fixture.submit(Priority::Urgent, false, 10_s);
        const auto sent = fixture.take<SendAttempt>();
        fixture.now += latency;
        for (const auto &it : sent) {
            fixture.end(it, {.outcome = AttemptOutcome::Answered});
        }
        return sent.size();
    };
    for (int i = 0; i < 300; ++i) {
        callOnce(5_ms);
    }
    for (int i = 0; i < 60; ++i) {
        CHECK(callOnce(100_ms) == 1);
    }
}

TEST_CASE("Jitter far below the scheduler's own does not make an upstream slow")
{
    DispatcherFixture fixture(3);
    for (int i = 0; i < 300; ++i) {
        fixture.submit(Priority::Urgent, false);
        const auto sent = fixture.takeSingleAttempt();
        fixture.now += Millis{sent.upstream == 0 ? 0.6 : 0.1};
        fixture.end(sent, {.outcome = AttemptOutcome::Answered});
    }
    const auto &upstreams = fixture.dispatcher.router().upstreams();
    CHECK(upstreams[0].load.slowness(fixture.now, fixture.dispatcher.router().typicalLatency()) == doctest::Approx(1));
}

TEST_CASE("Deferrable work fills this dispatcher's own part only, unless another part is known to be idle")
{
    DispatcherFixture fixture(8);
    const std::vector<std::string> names{"a", "b", "c", "d"};
    fixture.dispatcher.setDispatchers(names, "a");
    for (int i = 0; i < 100; ++i) {
        fixture.submit(Priority::Deferrable, false, 30_s);
    }
    std::map<UpstreamId, int> perUpstream;
    for (const auto &it : fixture.take<SendAttempt>()) {
        ++perUpstream[it.upstream];
    }
    int assigned = 0;
    for (const auto &[upstream, n] : perUpstream) {
        const auto &upstreamState = fixture.dispatcher.router().upstreams()[upstream];
        assigned += upstreamState.assigned ? 1 : 0;
        CHECK(n <= (upstreamState.assigned ? 3 : 1));
    }
    CHECK(assigned == 2);
    CHECK_FALSE(fixture.dispatcher.checkInvariants());
}

TEST_CASE("Probes ask only after upstreams that fell silent, within their rate")
{
    DispatcherFixture fixture(50, {.probesPerSecond = 2, .probeAfter = 5_s});
    fixture.dispatcher.tick(fixture.now + 1_s, fixture.actions);
    CHECK(fixture.take<ProbeUpstream>().empty());
    std::size_t probes = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.now += 10_ms;
        fixture.dispatcher.tick(fixture.now, fixture.actions);
        probes += fixture.take<ProbeUpstream>().size();
    }
    CHECK(probes >= 1);
    CHECK(probes <= 2 * 10 + 2);
}
