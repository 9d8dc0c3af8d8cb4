#include "core/placement/hedgepolicy.h"
#include "placement/dispatcherfixture.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Placement;
using namespace Laburnummast::Tests;

namespace
{

// Answers calls after 40 to 60 ms each, so that the dispatcher knows the spread of latencies.
void train(DispatcherFixture &fixture, int calls = 40)
{
    for (int i = 0; i < calls; ++i) {
        fixture.submit(1000 + static_cast<CallId>(i), true);
        fixture.answerProbes(idleLoad);
        fixture.now += Millis{40.0 + i % 20};
        fixture.answerAttempts(idleLoad);
        fixture.actions.clear();
    }
}

// Sends a call and leaves it unanswered.
void sendCall(DispatcherFixture &fixture, CallId id, Millis objective)
{
    fixture.submit(id, true, objective);
    fixture.answerProbes(idleLoad);
    REQUIRE(fixture.take<Dispatch::SendAttempt>().size() == 1);
}

OpenCall runningCall(Millis sentAt, Millis objective, Millis deadline)
{
    OpenCall call;
    call.spec = {.idempotent = true, .objective = objective, .deadline = deadline};
    call.arrived = sentAt;
    call.activeAttempts.push_back({.sentAt = sentAt});
    return call;
}

}

TEST_CASE("A call that was denied a hedge for lack of budget gets one when there is budget again")
{
    // The budget allows 0.85 x 0.6 x 0.05 hedges a call: one after 40 calls, and the next one after 39 more.
    DispatcherFixture fixture(8, {.domain = "a", .retries = {.ratio = 0.05, .slack = 0}});
    train(fixture);
    sendCall(fixture, 1, 300_ms);
    fixture.advanceTime(150_ms, idleLoad);
    REQUIRE(fixture.take<Dispatch::SendAttempt>().size() == 1);
    sendCall(fixture, 2, 300_ms);
    fixture.advanceTime(120_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.dispatcher.counters().hedgesDeniedByBudget == 1);
    for (CallId id = 100; id < 145; ++id) {
        sendCall(fixture, id, 300_ms);
        fixture.dispatcher.attemptEnded(id, 0, AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
    }
    fixture.actions.clear();
    fixture.advanceTime(30_ms, idleLoad);
    const auto hedges = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(hedges.size() == 1);
    CHECK(hedges[0].call == 2);
    CHECK(hedges[0].hedge);
}

TEST_CASE("A call whose hedge found no upstream gets one as soon as an upstream has room")
{
    DispatcherFixture fixture(8);
    train(fixture);
    sendCall(fixture, 1, 300_ms);
    fixture.advanceTime(100_ms, fullLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.dispatcher.counters().hedgesWithoutUpstream == 1);
    fixture.advanceTime(50_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
}

TEST_CASE("If the budget allows one hedge, the call that gains most gets it, not the one that came first")
{
    DispatcherFixture fixture(8, {.domain = "a", .retries = {.ratio = 0.05, .slack = 0}});
    train(fixture);
    // The objective of the first call cannot be met any more when a hedge is considered, that of the second can.
    sendCall(fixture, 1, 90_ms);
    sendCall(fixture, 2, 200_ms);
    fixture.advanceTime(95_ms, idleLoad);
    const auto hedges = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(hedges.size() == 1);
    CHECK(hedges[0].call == 2);
}

TEST_CASE("A hedge gains more for an attempt that runs long, and little if no time is left for another one")
{
    LatencyModel model;
    HedgePolicy policy(model);
    for (int i = 0; i < 200; ++i) {
        policy.learn(Millis{40.0 + i % 20});
    }
    const auto call = runningCall(0_ms, 300_ms, 800_ms);
    CHECK(policy.gain(call, 20_ms) < 0.1);
    CHECK(policy.gain(call, 100_ms) > 0.9);
    CHECK(policy.gain(call, 270_ms) < 0.4);
    CHECK(policy.gain(call, 790_ms) < 0.05);
    // Nothing is spent on it while the budget is short.
    CHECK(policy.isWorthwhile(call, 0.9, 100_ms));
    CHECK_FALSE(policy.isWorthwhile(call, 0.9, 20_ms));
    CHECK_FALSE(policy.isWorthwhile(call, 0.9, 790_ms));
}

TEST_CASE("Hedges never exceed their part of the budget, also if many calls become late at once")
{
    DispatcherFixture fixture(40, {.domain = "a", .retries = {.ratio = 0.2, .slack = 0}});
    train(fixture);
    for (CallId id = 1; id <= 60; ++id) {
        fixture.submit(id, true, 300_ms);
        fixture.answerProbes(idleLoad);
    }
    fixture.actions.clear();
    const auto before = fixture.dispatcher.counters().hedges;
    fixture.advanceTime(300_ms, idleLoad);
    const auto hedges = fixture.dispatcher.counters().hedges - before;
    CHECK(hedges >= 5);
    CHECK(static_cast<double>(hedges) <= 0.85 * 0.6 * 0.2 * 100);
}

TEST_CASE("A call of a returning caller that cannot be over in the time left is refused at once and not sent")
{
    DispatcherFixture fixture(8);
    train(fixture);
    fixture.dispatcher.submit({.id = 1,
                               .idempotent = true,
                               .maxAttempts = 2,
                               .objective = fixture.now + 10_ms,
                               .deadline = fixture.now + 20_ms,
                               .returning = true},
                              fixture.now,
                              fixture.actions);
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
    CHECK(fixture.take<Dispatch::ProbeUpstream>().empty());
    CHECK(fixture.dispatcher.counters().refusedTooLate == 1);
}

TEST_CASE("A call that comes with its whole time is not hopeless, however short that is: the latencies may be those of other routes")
{
    LatencyModel model;
    HedgePolicy policy(model);
    for (int i = 0; i < 200; ++i) {
        policy.learn(Millis{40.0 + i % 20});
    }
    auto call = runningCall(0_ms, 10_ms, 20_ms);
    CHECK_FALSE(policy.isHopeless(call, 5_ms));
    CHECK(policy.isHopeless(call, 15_ms));
    call.spec.deadline = 200_ms;
    CHECK_FALSE(policy.isHopeless(call, 140_ms));
    CHECK(policy.isHopeless(call, 170_ms));
    call.spec.returning = true;
    call.spec.deadline = 20_ms;
    CHECK(policy.isHopeless(call, 0_ms));
}
