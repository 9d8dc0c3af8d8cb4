#include "core/placement/drainwindow.h"
#include "dispatcherfixture.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

constexpr DrainWindow window{.lateFrom = 3000_ms, .end = 5000_ms};

// A dispatcher that has learned that its upstreams usually answer after 100 ms, and that is being stopped from 1200 ms on.
struct DrainingDispatcher : DispatcherFixture
{
    DrainingDispatcher()
        : DispatcherFixture(3)
    {
        for (CallId id = 1000; now < 200_ms + Millis{1000}; ++id) {
            submit(id, false);
            answerProbes(idleLoad);
            now += 100_ms;
            answerAttempts(idleLoad);
        }
        actions.clear();
    }

    void startDrain(const DrainWindow &drainWindow)
    {
        dispatcher.drain(drainWindow, now, actions);
    }
};

}

TEST_CASE("While a daemon is being stopped, a call may be sent if its deadline lies before the end")
{
    CHECK(window.allows(0_ms, 800_ms, 100_ms));
    CHECK(window.allows(4199_ms, 4999_ms, 4000_ms));
    CHECK(window.allows(4200_ms, 5000_ms, 100_ms));
    CHECK_FALSE(window.allows(4201_ms, 5001_ms, 1_ms));
    CHECK_FALSE(window.allows(5000_ms, 5000_ms, 1_ms));
    CHECK_FALSE(window.allows(6000_ms, 4900_ms, 1_ms));
}

TEST_CASE("Early in a stop, a call with a later deadline may be sent if there is twice the time that calls usually take")
{
    CHECK(window.allows(2999_ms, 9000_ms, 1000_ms));
    CHECK_FALSE(window.allows(3000_ms, 9000_ms, 1_ms));
    CHECK(window.allows(1000_ms, 9000_ms, 2000_ms));
    CHECK_FALSE(window.allows(1001_ms, 9000_ms, 2000_ms));
}

// Guards against calls that are sent late in the grace period and cut off at its end.
TEST_CASE("A call that may not be over before the end of a stop is refused at once as not run, without a probe")
{
    DrainingDispatcher fixture;
    fixture.startDrain({.lateFrom = fixture.now, .end = fixture.now + 2000_ms});
    fixture.submit(1, false, 250_ms, 2001_ms);
    CHECK(fixture.take<Dispatch::ProbeUpstream>().empty());
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    const auto refused = fixture.take<Dispatch::RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == Dispatch::RefusalReason::Draining);
    CHECK(refused[0].retryAfter == 0_ms);
    fixture.submit(2, false, 250_ms, 2000_ms);
    fixture.answerProbes(idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
}

TEST_CASE("A call that waits for an upstream is refused once the time left in a stop does not suffice, and is not sent")
{
    DrainingDispatcher fixture;
    fixture.startDrain({.lateFrom = fixture.now + 100_ms, .end = fixture.now + 1000_ms});
    fixture.submit(1, false, 2000_ms, 3000_ms);
    fixture.answerProbes(fullLoad);
    fixture.advanceTime(80_ms, fullLoad);
    CHECK(fixture.take<Dispatch::RefuseCall>().empty());
    fixture.advanceTime(40_ms, idleLoad);
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    const auto refused = fixture.take<Dispatch::RefuseCall>();
    CHECK(sent.size() + refused.size() == 1);
    fixture.submit(2, false, 2000_ms, 3000_ms);
    fixture.advanceTime(40_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
}

TEST_CASE("Late in a stop, a refused attempt is not repeated and the call is refused as not run")
{
    DrainingDispatcher fixture;
    fixture.submit(1, false, 250_ms, 3000_ms);
    fixture.answerProbes(idleLoad);
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    fixture.startDrain({.lateFrom = fixture.now, .end = fixture.now + 1000_ms});
    fixture.dispatcher.attemptEnded(1, sent[0].attempt, Dispatch::AttemptOutcome::Shed, fullLoad, fixture.now, fixture.actions);
    fixture.answerProbes(idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
}

TEST_CASE("Late in a stop, a call in flight gets no hedge and its answer is still passed on")
{
    DrainingDispatcher fixture;
    fixture.submit(1, true, 250_ms, 3000_ms);
    fixture.answerProbes(idleLoad);
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    fixture.startDrain({.lateFrom = fixture.now, .end = fixture.now + 1000_ms});
    fixture.advanceTime(900_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    fixture.dispatcher.attemptEnded(1, sent[0].attempt, Dispatch::AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
    const auto finished = fixture.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Done);
}

TEST_CASE("At the end of a stop, a call that was sent is reported as possibly run and one that was not sent as not run")
{
    DrainingDispatcher fixture;
    fixture.submit(1, false, 250_ms, 3000_ms);
    fixture.answerProbes(idleLoad);
    REQUIRE(fixture.take<Dispatch::SendAttempt>().size() == 1);
    fixture.submit(2, false, 2000_ms, 3000_ms);
    fixture.dispatcher.endCalls(fixture.now, fixture.actions);
    CHECK(fixture.take<Dispatch::CancelAttempt>().size() == 1);
    const auto finished = fixture.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].call == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Unknown);
    const auto refused = fixture.take<Dispatch::RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].call == 2);
    CHECK(fixture.dispatcher.openCalls() == 0);
}
