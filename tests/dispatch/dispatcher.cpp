#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace Laburnummast;
using namespace Laburnummast::Dispatch;

namespace
{

// Runs a dispatcher on simulated time and collects its actions.
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

    // Fills every slot with calls that do not end.
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

TEST_CASE("A non-idempotent call with an incomplete answer is never sent again")
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

TEST_CASE("A non-idempotent call that certainly did not run is retried on another upstream")
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

TEST_CASE("An idempotent call is retried after incomplete answers, up to the maximum of attempts")
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

TEST_CASE("A shed call is not retried when the upstream forbids retries")
{
    DispatcherFixture fixture;
    fixture.submit(Priority::Normal, true);
    fixture.end(fixture.takeSingleAttempt(), {.outcome = AttemptOutcome::Shed, .doNotRetry = true});
    CHECK(fixture.take<SendAttempt>().empty());
    CHECK(fixture.take<FinishCall>().at(0).disposition == Disposition::NotRun);
}

TEST_CASE("Retries stay within the retry budget when every upstream sheds load")
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

TEST_CASE("A call whose body was not buffered is not retried after it was sent")
{
    DispatcherFixture fixture;
    fixture.dispatcher.submit(
        {.id = 77, .priority = Priority::Deferrable, .idempotent = true, .resendable = false, .deadline = fixture.now + 1_s},
        fixture.now,
        fixture.actions);
    fixture.end(fixture.takeSingleAttempt(), {.outcome = AttemptOutcome::Incomplete});
    CHECK(fixture.take<SendAttempt>().empty());
}

TEST_CASE("An upstream that reports draining receives no new calls")
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

TEST_CASE("A removed upstream receives no new calls and its calls in flight complete")
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

TEST_CASE("A call is refused at once when there is no upstream")
{
    DispatcherFixture fixture(0);
    fixture.submit(Priority::Urgent, false);
    const auto refused = fixture.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == RefusalReason::NoUpstream);
    CHECK(refused[0].retryAfter >= 1_s);
}

TEST_CASE("An urgent call is sent before deferrable calls that waited longer")
{
    DispatcherFixture fixture(1);
    for (int i = 0; i < 6; ++i) {
        fixture.submit(Priority::Deferrable, false, 30_s);
    }
    const auto running = fixture.take<SendAttempt>();
    const auto urgent = fixture.submit(Priority::Urgent, false);
    // The urgent call is not bound to the assigned upstreams and gets any remaining slot first.
    auto sent = fixture.take<SendAttempt>();
    if (sent.empty()) {
        fixture.end(running.front(), {.outcome = AttemptOutcome::Answered});
        sent = fixture.take<SendAttempt>();
    }
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front().call == urgent);
}

TEST_CASE("A queued call is refused as expired when too little time is left to run it")
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

TEST_CASE("A full queue refuses a call of the longest flow, not the new call of another flow")
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

TEST_CASE("Cancelling a queued call reports that it was never sent")
{
    DispatcherFixture fixture(1);
    fixture.saturate(10);
    const auto waiting = fixture.submit(Priority::Normal, true, 10_s);
    CHECK(fixture.dispatcher.cancel(waiting, fixture.actions));
    CHECK_FALSE(fixture.dispatcher.cancel(waiting, fixture.actions));
    CHECK_FALSE(fixture.dispatcher.checkInvariants());
}

TEST_CASE("Cancelling a call in flight cancels its attempt and finishes the call as unknown")
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

TEST_CASE("A late idempotent call is hedged once and the slower attempt is cancelled")
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

TEST_CASE("A non-idempotent call is never hedged")
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

TEST_CASE("Most upstreams stay usable even when all of them fail")
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

TEST_CASE("Upstreams that all become slow together still receive calls")
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

TEST_CASE("Latency differences below the scheduler noise do not make an upstream slow")
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

TEST_CASE("Deferrable calls fill the assigned upstreams and use only idle slots of others")
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

TEST_CASE("Only silent upstreams are probed, within the probe rate")
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
