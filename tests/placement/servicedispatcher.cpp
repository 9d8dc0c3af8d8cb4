#include "placement/dispatcherfixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Placement;
using namespace Laburnummast::Tests;

TEST_CASE("A call probes two upstreams and is sent to the faster one")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    const auto probes = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    for (const auto &it : probes) {
        const bool fast = it.upstream == probes[1].upstream;
        fixture.dispatcher.probeEnded(it.upstream,
                                      {.answered = true, .load = LoadReport{.running = 1, .slots = 3, .slowness = fast ? 1.0 : 5.0}},
                                      fixture.now,
                                      fixture.actions);
    }
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].upstream == probes[1].upstream);
}

TEST_CASE("A call probes four upstreams once searches have found no suitable one")
{
    DispatcherFixture fixture(12);
    for (CallId id = 1; id <= 3; ++id) {
        fixture.submit(id, false);
        fixture.advanceTime(1_s, fullLoad);
    }
    CHECK(fixture.dispatcher.pressure() > 0.05);
    fixture.actions.clear();
    fixture.now += 10_s;
    fixture.submit(9, false);
    CHECK(fixture.take<Dispatch::ProbeUpstream>().size() == 4);
}

TEST_CASE("A call is refused and not sent when all upstreams are full, as these would reset the connection")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false);
    fixture.advanceTime(1_s, fullLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    const auto refused = fixture.take<Dispatch::RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].retryAfter > 0_ms);
    CHECK(fixture.dispatcher.openCalls() == 0);
}

// Guards against retries of a call whose credential may have been withdrawn since it was accepted.
TEST_CASE("A call whose attempt the driver withholds is refused as not run and not retried")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    fixture.advanceTime(100_ms, idleLoad);
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    REQUIRE_FALSE(sent.empty());
    for (const auto &it : sent) {
        CHECK(fixture.take<Dispatch::RefuseCall>().empty());
        fixture.dispatcher.attemptEnded(1, it.attempt, AttemptOutcome::Cancelled, std::nullopt, fixture.now, fixture.actions);
    }
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    CHECK(fixture.dispatcher.openCalls() == 0);
}

TEST_CASE("A call without any upstream is refused at once")
{
    DispatcherFixture fixture(0);
    fixture.submit(1, false);
    CHECK(fixture.take<Dispatch::RefuseCall>().size() == 1);
}

TEST_CASE("A non-idempotent call is not sent again after its connection broke")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false);
    fixture.answerProbes(idleLoad);
    REQUIRE(fixture.take<Dispatch::SendAttempt>().size() == 1);
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Incomplete, std::nullopt, fixture.now, fixture.actions);
    fixture.advanceTime(1_s, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    const auto finished = fixture.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Unknown);
}

TEST_CASE("A call that an upstream did not run is sent to another one even if it is not idempotent")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false);
    fixture.answerProbes(idleLoad);
    const auto first = fixture.take<Dispatch::SendAttempt>();
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Shed, fullLoad, fixture.now, fixture.actions);
    fixture.advanceTime(50_ms, idleLoad);
    const auto second = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].upstream != first[0].upstream);
}

TEST_CASE("A call is never sent more often than its maximum number of attempts")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    std::size_t sent = 0;
    for (AttemptNumber i = 0; i < 5; ++i) {
        fixture.advanceTime(20_ms, idleLoad);
        sent += fixture.take<Dispatch::SendAttempt>().size();
        fixture.dispatcher.attemptEnded(1, i, AttemptOutcome::Incomplete, std::nullopt, fixture.now, fixture.actions);
    }
    CHECK(sent == 2);
}

TEST_CASE("An upstream's failure answer is relayed if no other attempt succeeded")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false);
    fixture.answerProbes(idleLoad);
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Failed, idleLoad, fixture.now, fixture.actions);
    const auto finished = fixture.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Done);
    CHECK(finished[0].attempt == 0);
}

TEST_CASE("An idempotent call whose answer is late is hedged, and the first answer cancels the other attempt")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    fixture.answerProbes(idleLoad);
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, idleLoad, fixture.now + 50_ms, fixture.actions);
    fixture.now += 100_ms;
    fixture.actions.clear();
    fixture.submit(2, true);
    fixture.answerProbes(idleLoad);
    fixture.actions.clear();
    fixture.advanceTime(200_ms, idleLoad);
    const auto hedge = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(hedge.size() == 1);
    CHECK(hedge[0].hedge);
    fixture.dispatcher.attemptEnded(2, hedge[0].attempt, AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
    CHECK(fixture.take<Dispatch::CancelAttempt>().size() == 1);
    CHECK(fixture.take<Dispatch::FinishCall>().size() == 1);
    CHECK(fixture.dispatcher.openCalls() == 0);
}

TEST_CASE("A non-idempotent call is never hedged")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    fixture.answerProbes(idleLoad);
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, idleLoad, fixture.now + 50_ms, fixture.actions);
    fixture.actions.clear();
    fixture.submit(2, false);
    fixture.answerProbes(idleLoad);
    fixture.actions.clear();
    fixture.advanceTime(700_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("Cancelling a call cancels its attempts")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, true);
    fixture.answerProbes(idleLoad);
    fixture.dispatcher.cancel(1, fixture.now, fixture.actions);
    CHECK(fixture.take<Dispatch::CancelAttempt>().size() == 1);
    CHECK(fixture.dispatcher.openCalls() == 0);
}

TEST_CASE("An attempt without an answer ends within 60 ms after the deadline and not before it")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false);
    fixture.answerProbes(idleLoad);
    fixture.advanceTime(800_ms, idleLoad);
    CHECK(fixture.take<Dispatch::FinishCall>().empty());
    fixture.advanceTime(60_ms, idleLoad);
    CHECK(fixture.take<Dispatch::FinishCall>().size() == 1);
}

TEST_CASE("A load report in an answer lets a waiting call take the freed slot at once")
{
    DispatcherFixture fixture(1);
    fixture.submit(1, true);
    fixture.answerProbes({.running = 1, .slots = 3});
    REQUIRE(fixture.take<Dispatch::SendAttempt>().size() == 1);
    fixture.now += 20_ms;
    fixture.submit(2, true);
    fixture.answerProbes({.running = 3, .slots = 3});
    fixture.advanceTime(15_ms, {.running = 3, .slots = 3});
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    fixture.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, LoadReport{.running = 1, .slots = 3}, fixture.now, fixture.actions);
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
}

TEST_CASE("An upstream that does not answer a probe is not probed again within the backoff")
{
    DispatcherFixture fixture(2);
    fixture.submit(1, true);
    const auto probes = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    fixture.dispatcher.probeEnded(probes[0].upstream, {}, fixture.now, fixture.actions);
    fixture.dispatcher.probeEnded(probes[1].upstream, {.answered = true, .load = idleLoad}, fixture.now, fixture.actions);
    fixture.actions.clear();
    fixture.now += 20_ms;
    fixture.submit(2, true);
    const auto again = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].upstream == probes[1].upstream);
}

TEST_CASE("Failures that other daemons observed keep calls away from an upstream")
{
    DispatcherFixture fixture(2);
    const OutcomeCount peerOutcomes{.upstream = "u0", .successes = 1, .failures = 8};
    fixture.dispatcher.recordPeerOutcomes({&peerOutcomes, 1}, fixture.now);
    for (CallId id = 1; id <= 10; ++id) {
        fixture.submit(id, true);
        fixture.answerProbes(idleLoad);
        const auto sent = fixture.take<Dispatch::SendAttempt>();
        REQUIRE(sent.size() == 1);
        CHECK(fixture.dispatcher.view(sent[0].upstream)->spec().id == "u1");
        fixture.now += 50_ms;
        fixture.dispatcher.attemptEnded(id, 0, AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
        fixture.actions.clear();
        fixture.now += 20_ms;
    }
}

TEST_CASE("An upstream that refuses calls although it reported a free slot counts as failing")
{
    DispatcherFixture fixture(4);
    for (CallId id = 1; id <= 8; ++id) {
        fixture.submit(id, false);
        fixture.answerProbes(idleLoad);
        const auto sent = fixture.take<Dispatch::SendAttempt>();
        REQUIRE(sent.size() == 1);
        const bool refuses = fixture.dispatcher.view(sent[0].upstream)->spec().id == "u0";
        fixture.now += 50_ms;
        fixture.dispatcher.attemptEnded(
            id, 0, refuses ? AttemptOutcome::Shed : AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
        fixture.advanceTime(20_ms, idleLoad);
        fixture.dispatcher.cancel(id, fixture.now, fixture.actions);
        fixture.actions.clear();
    }
    CHECK(fixture.dispatcher.view(*fixture.dispatcher.idOf("u0"))->failureRate(fixture.now) > 0);
}

namespace
{

constexpr ProbeResult servedProbeWithoutLoad{.answered = true};

// Makes the dispatcher learn that its upstreams do not report load, and learn the probe times of idle upstreams.
void learnUpstreamsReportNoLoad(DispatcherFixture &fixture)
{
    for (CallId id = 101; id <= 120; ++id) {
        fixture.submit(id, true);
        fixture.now += 1_ms;
        for (int i = 0; i < 4; ++i) {
            for (const auto &it : fixture.take<Dispatch::ProbeUpstream>()) {
                fixture.dispatcher.probeEnded(it.upstream, servedProbeWithoutLoad, fixture.now, fixture.actions);
            }
        }
        fixture.dispatcher.cancel(id, fixture.now, fixture.actions);
        fixture.actions.clear();
        fixture.now += 100_ms;
    }
}

}

TEST_CASE("Without load reports the first preferred upstream that answers its probe gets the call")
{
    DispatcherFixture fixture(8, {.domain = "a", .daemonDomains = {"a"}});
    learnUpstreamsReportNoLoad(fixture);
    fixture.submit(1, false);
    const auto probes = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
    fixture.now += 1_ms;
    fixture.dispatcher.probeEnded(probes[1].upstream, servedProbeWithoutLoad, fixture.now, fixture.actions);
    const auto sent = fixture.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].upstream == probes[1].upstream);
}

TEST_CASE("Without load reports an upstream whose probe takes several times longer than usual gets no call at once")
{
    DispatcherFixture fixture(8);
    learnUpstreamsReportNoLoad(fixture);
    fixture.submit(1, false);
    const auto probes = fixture.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    fixture.now += 5_ms;
    fixture.dispatcher.probeEnded(probes[0].upstream, servedProbeWithoutLoad, fixture.now, fixture.actions);
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("Without load reports a call is not sent to upstreams that have not answered their probes")
{
    DispatcherFixture fixture(8);
    learnUpstreamsReportNoLoad(fixture);
    fixture.submit(1, false);
    for (int i = 0; i < 100; ++i) {
        fixture.now += 1_ms;
        fixture.dispatcher.tick(fixture.now, fixture.actions);
    }
    CHECK(fixture.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("Without probe tokens a call is sent to an upstream with few own calls instead of being refused")
{
    DispatcherFixture fixture(8);
    fixture.tokens.setRate(0, 0);
    fixture.submit(1, false);
    for (int i = 0; i < 300; ++i) {
        fixture.now += 1_ms;
        fixture.dispatcher.tick(fixture.now, fixture.actions);
    }
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
    CHECK(fixture.take<Dispatch::RefuseCall>().empty());
}

TEST_CASE("Without load reports each daemon probes its preferred upstreams first")
{
    std::set<UpstreamId> preferred;
    for (std::size_t daemonIndex = 0; daemonIndex < 4; ++daemonIndex) {
        DispatcherFixture fixture(8, {.domain = "a", .daemonDomains = {"a", "a", "a", "a"}, .daemonIndex = daemonIndex});
        learnUpstreamsReportNoLoad(fixture);
        fixture.submit(1, false);
        const auto probes = fixture.take<Dispatch::ProbeUpstream>();
        REQUIRE(probes.size() == 2);
        // Each daemon probes its two preferred upstreams first, and no two daemons prefer the same one.
        CHECK(preferred.insert(probes[0].upstream).second);
        CHECK(preferred.insert(probes[1].upstream).second);
    }
    CHECK(preferred.size() == 8);
}

// A default latency above the objective would get every call refused, so that none could correct it.
TEST_CASE("A call with a short objective is sent before any latency was measured")
{
    DispatcherFixture fixture(8);
    fixture.submit(1, false, 24_ms, 60_ms);
    fixture.answerProbes(idleLoad);
    fixture.advanceTime(20_ms, idleLoad);
    CHECK(fixture.take<Dispatch::SendAttempt>().size() == 1);
    CHECK(fixture.take<Dispatch::RefuseCall>().empty());
}

TEST_CASE("Some calls that would wait are sent to a free slot of an upstream that is rejected for its contention")
{
    const LoadReport contendedLoad{.running = 2, .slots = 3};
    int tried = 0;
    for (CallId id = 1; id <= 200; ++id) {
        DispatcherFixture fixture(8);
        // Enough answers for the typical latency to be known.
        for (CallId early = 1001; early <= 1010; ++early) {
            fixture.submit(early, true);
            fixture.answerProbes(idleLoad);
            fixture.take<Dispatch::SendAttempt>();
            fixture.now += 100_ms;
            fixture.dispatcher.attemptEnded(early, 0, AttemptOutcome::Answered, idleLoad, fixture.now, fixture.actions);
        }
        fixture.actions.clear();
        // Every fixture uses the same random seed; a varying number of earlier calls changes the number that is drawn.
        for (CallId other = 0; other < id % 20; ++other) {
            fixture.submit(2000 + other, true);
            fixture.answerProbes(idleLoad);
            fixture.dispatcher.cancel(2000 + other, fixture.now, fixture.actions);
            fixture.now += 10_ms;
        }
        fixture.actions.clear();
        fixture.submit(id, true);
        fixture.answerProbes(contendedLoad);
        fixture.advanceTime(12_ms, contendedLoad);
        tried += fixture.take<Dispatch::SendAttempt>().empty() ? 0 : 1;
    }
    CHECK(tried > 0);
    CHECK(tried < 120);
}

TEST_CASE("Ids of replaced upstreams are reused")
{
    DispatcherFixture fixture(4);
    for (int round = 0; round < 1000; ++round) {
        std::vector<UpstreamSpec> specs;
        specs.reserve(4);
        for (int i = 0; i < 4; ++i) {
            specs.push_back({.id = std::to_string(round) + "-" + std::to_string(i), .domain = "a", .slots = 3});
        }
        fixture.dispatcher.setUpstreams(specs);
    }
    const auto id = fixture.dispatcher.idOf("999-3");
    REQUIRE(id.has_value());
    CHECK(*id < 16);
}

TEST_CASE("A daemon with few calls probes few of many upstreams, so that it can reuse connections, and one with many calls probes all")
{
    const auto probedUpstreams = [](std::size_t upstreams, double callsPerSecond, const std::string &host) {
        DispatcherFixture fixture(upstreams, {.host = host, .domain = "a"});
        std::set<std::string> probed;
        const auto learningEnd = fixture.now + 10_s;
        const auto calls = static_cast<CallId>(30 * callsPerSecond);
        for (CallId call = 1; call <= calls; ++call) {
            fixture.submit(call, true);
            for (const auto &it : fixture.actions) {
                if (const auto *probe = std::get_if<Dispatch::ProbeUpstream>(&it); probe && fixture.now > learningEnd) {
                    probed.insert(fixture.dispatcher.view(probe->upstream)->spec().id);
                }
            }
            fixture.answerProbes(idleLoad);
            fixture.answerAttempts(idleLoad);
            fixture.actions.clear();
            fixture.now += 1_s * (1 / callsPerSecond);
        }
        return probed;
    };
    const auto few = probedUpstreams(650, 3, "host-1");
    CHECK(few.size() <= 32);
    CHECK(few.size() >= 16);
    // Daemons probe different ones.
    const auto others = probedUpstreams(650, 3, "host-2");
    CHECK(std::count_if(few.begin(), few.end(), [&](const std::string &it) { return others.contains(it); }) <= 10);
    CHECK(probedUpstreams(33, 20, "host-1").size() == 33);
}
