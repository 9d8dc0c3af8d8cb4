#include "core/placement/upstreamavailability.h"

#include "placement/dispatcherfixture.h"

#include <doctest/doctest.h>
#include <set>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

constexpr AvailabilityNotice leavingNotice{.leaving = true, .pause = {}};

AvailabilityNotice pauseOf(Millis pause)
{
    return {.leaving = false, .pause = pause};
}

// Upstreams that got an attempt or a probe of `calls` calls, with idle upstreams.
std::set<UpstreamId> contactedUpstreams(DispatcherFixture &fixture, CallId firstCall, int calls)
{
    std::set<UpstreamId> contacted;
    for (int i = 0; i < calls; ++i) {
        const auto call = firstCall + static_cast<CallId>(i);
        fixture.submit(call, true);
        for (const auto &it : fixture.actions) {
            if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&it)) {
                contacted.insert(probe->upstream);
            }
        }
        fixture.answerProbes(idleLoad);
        for (const auto it : fixture.answerAttempts(idleLoad)) {
            contacted.insert(it);
        }
        fixture.actions.clear();
        fixture.now += 20_ms;
    }
    return contacted;
}

}

TEST_CASE("A pause is never shortened, and a huge one ends after an hour")
{
    UpstreamAvailability availability;
    CHECK(availability.apply(pauseOf(1500.5_ms), 1000_ms) == AvailabilityChange::Paused);
    CHECK_FALSE(availability.accepts(2500_ms));
    CHECK(availability.accepts(2500.5_ms));
    CHECK(availability.apply(pauseOf(10_ms), 1100_ms) == AvailabilityChange::None);
    CHECK(availability.acceptsAt(1200_ms) == 2500.5_ms);
    CHECK(availability.apply(pauseOf({1e300}), 3000_ms) == AvailabilityChange::Paused);
    CHECK(availability.acceptsAt(3000_ms) == 3000_ms + 3600_s);
}

TEST_CASE("An upstream that is leaving accepts no more calls, whatever it says later")
{
    UpstreamAvailability availability;
    CHECK(availability.apply(leavingNotice, 1000_ms) == AvailabilityChange::Leaving);
    CHECK(availability.apply(leavingNotice, 1100_ms) == AvailabilityChange::None);
    CHECK(availability.apply(pauseOf(0_ms), 1200_ms) == AvailabilityChange::None);
    CHECK_FALSE(availability.acceptsAt(100000_ms));
}

TEST_CASE("A leaving upstream gets no calls and probes until it has started again, also if it is delisted and listed once more")
{
    DispatcherFixture fixture(3);
    const auto leaving = *fixture.dispatcher.idOf("u1");
    CHECK(fixture.dispatcher.observeAvailability("u1", 0, leavingNotice, fixture.now) == AvailabilityChange::Leaving);
    CHECK_FALSE(contactedUpstreams(fixture, 1, 50).contains(leaving));
    // Its record lapses and is written again by the same run of the upstream.
    auto withoutIt = fixture.specs;
    withoutIt.erase(withoutIt.begin() + 1);
    fixture.dispatcher.setUpstreams(withoutIt);
    fixture.dispatcher.setUpstreams(fixture.specs);
    CHECK_FALSE(contactedUpstreams(fixture, 100, 50).contains(*fixture.dispatcher.idOf("u1")));
    // A new start, of which an answer of the run before says nothing.
    fixture.specs[1].startedAt = 5;
    fixture.dispatcher.setUpstreams(fixture.specs);
    CHECK(fixture.dispatcher.observeAvailability("u1", 0, leavingNotice, fixture.now) == AvailabilityChange::None);
    CHECK(contactedUpstreams(fixture, 200, 50).contains(*fixture.dispatcher.idOf("u1")));
}

TEST_CASE("A paused upstream gets no calls and probes until the end of the pause, also if it is delisted and listed once more")
{
    DispatcherFixture fixture(3);
    fixture.dispatcher.observeAvailability("u1", 0, pauseOf(3_s), fixture.now);
    const auto pauseEnd = fixture.now + 3_s;
    CHECK_FALSE(contactedUpstreams(fixture, 1, 50).contains(*fixture.dispatcher.idOf("u1")));
    auto withoutIt = fixture.specs;
    withoutIt.erase(withoutIt.begin() + 1);
    fixture.dispatcher.setUpstreams(withoutIt);
    fixture.dispatcher.setUpstreams(fixture.specs);
    CHECK_FALSE(contactedUpstreams(fixture, 100, 50).contains(*fixture.dispatcher.idOf("u1")));
    fixture.now = pauseEnd;
    CHECK(contactedUpstreams(fixture, 200, 50).contains(*fixture.dispatcher.idOf("u1")));
}

TEST_CASE("If all upstreams are paused beyond the objective or leaving, a call is refused at once, to return when a pause ends")
{
    DispatcherFixture fixture(2);
    fixture.dispatcher.observeAvailability("u0", 0, pauseOf(600_ms), fixture.now);
    fixture.dispatcher.observeAvailability("u1", 0, leavingNotice, fixture.now);
    CHECK(fixture.dispatcher.unavailableUpstreams(fixture.now) == 2);
    fixture.submit(1, false);
    const auto refused = fixture.take<Dispatch::RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].retryAfter >= 600_ms);
    CHECK(fixture.take<Dispatch::ProbeUpstream>().empty());
}

TEST_CASE("A call waits for the end of a pause that leaves time for it")
{
    DispatcherFixture fixture(1);
    fixture.dispatcher.observeAvailability("u0", 0, pauseOf(40_ms), fixture.now);
    fixture.submit(1, false, 2000_ms, 3000_ms);
    CHECK(fixture.take<Dispatch::RefuseCall>().empty());
    fixture.advanceTime(30_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    fixture.advanceTime(30_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
}
