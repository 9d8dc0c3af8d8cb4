#include "core/placement/servicedispatcher.h"

#include <doctest/doctest.h>
#include <set>

using namespace Laburnummast;
using namespace Laburnummast::Placement;

namespace
{

// One dispatcher with its actions, fed by hand.
struct Bench
{
    explicit Bench(std::size_t upstreams, const PlacementOptions &options = {.domain = "a"})
        : dispatcher(options, tokens, 1)
    {
        for (std::size_t i = 0; i < upstreams; ++i) {
            specs.push_back({.id = "u" + std::to_string(i), .domain = "a", .slots = 3});
        }
        dispatcher.setUpstreams(specs);
    }

    void submit(CallId id, bool idempotent, Millis objective = 250_ms, Millis deadline = 800_ms)
    {
        dispatcher.submit(
            {.id = id, .idempotent = idempotent, .maxAttempts = 2, .objective = now + objective, .deadline = now + deadline}, now, actions);
    }

    // Answers every probe that is on its way with the same load.
    void answerProbes(const LoadReport &load)
    {
        const auto pending = take<Dispatch::ProbeUpstream>();
        for (const auto &it : pending) {
            dispatcher.probeEnded(it.upstream, {.answered = true, .load = load}, now, actions);
        }
    }

    template <class T>
    std::vector<T> take()
    {
        std::vector<T> taken;
        std::erase_if(actions, [&](const Dispatch::Action &it) {
            if (const auto *wanted = std::get_if<T>(&it)) {
                taken.push_back(*wanted);
                return true;
            }
            return false;
        });
        return taken;
    }

    // Lets time pass and answers whatever is asked meanwhile.
    void pass(Millis span, const LoadReport &load)
    {
        for (const auto end = now + span; now < end; now += 1_ms) {
            dispatcher.tick(now, actions);
            answerProbes(load);
        }
    }

    Retry::TokenBucket tokens{1000, 1000};
    std::vector<UpstreamSpec> specs;
    ServiceDispatcher dispatcher;
    Dispatch::Actions actions;
    Millis now{1000};
};

constexpr LoadReport idle{.running = 0, .waiting = 0, .slots = 3, .slowness = 1};
constexpr LoadReport full{.running = 3, .waiting = 6, .slots = 3, .slowness = 1};

}

TEST_CASE("A call asks a few upstreams and goes to the fastest of them")
{
    Bench bench(8);
    bench.submit(1, true);
    const auto probes = bench.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    for (const auto &it : probes) {
        const bool fast = it.upstream == probes[1].upstream;
        bench.dispatcher.probeEnded(it.upstream,
                                    {.answered = true, .load = LoadReport{.running = 1, .slots = 3, .slowness = fast ? 1.0 : 5.0}},
                                    bench.now,
                                    bench.actions);
    }
    const auto sent = bench.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].upstream == probes[1].upstream);
}

TEST_CASE("A call asks more upstreams once searches find no room")
{
    Bench bench(12);
    for (CallId id = 1; id <= 3; ++id) {
        bench.submit(id, false);
        bench.pass(1_s, full);
    }
    CHECK(bench.dispatcher.pressure() > 0.05);
    bench.actions.clear();
    bench.now += 10_s;
    bench.submit(9, false);
    CHECK(bench.take<Dispatch::ProbeUpstream>().size() == 4);
}

TEST_CASE("Nothing is sent to a full upstream: it would reset the connection")
{
    Bench bench(8);
    bench.submit(1, false);
    bench.pass(1_s, full);
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
    const auto refused = bench.take<Dispatch::RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].retryAfter > 0_ms);
    CHECK(bench.dispatcher.open() == 0);
}

TEST_CASE("A call without any upstream is refused at once")
{
    Bench bench(0);
    bench.submit(1, false);
    CHECK(bench.take<Dispatch::RefuseCall>().size() == 1);
}

TEST_CASE("What may run once is not sent again after its connection broke")
{
    Bench bench(8);
    bench.submit(1, false);
    bench.answerProbes(idle);
    REQUIRE(bench.take<Dispatch::SendAttempt>().size() == 1);
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Incomplete, std::nullopt, bench.now, bench.actions);
    bench.pass(1_s, idle);
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
    const auto finished = bench.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Unknown);
}

TEST_CASE("What an upstream says it did not run goes to another one, also when it may run once")
{
    Bench bench(8);
    bench.submit(1, false);
    bench.answerProbes(idle);
    const auto first = bench.take<Dispatch::SendAttempt>();
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Shed, full, bench.now, bench.actions);
    bench.pass(50_ms, idle);
    const auto second = bench.take<Dispatch::SendAttempt>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].upstream != first[0].upstream);
}

TEST_CASE("A call is never sent to more upstreams than its attempts")
{
    Bench bench(8);
    bench.submit(1, true);
    std::size_t sent = 0;
    for (AttemptNumber i = 0; i < 5; ++i) {
        bench.pass(20_ms, idle);
        sent += bench.take<Dispatch::SendAttempt>().size();
        bench.dispatcher.attemptEnded(1, i, AttemptOutcome::Incomplete, std::nullopt, bench.now, bench.actions);
    }
    CHECK(sent == 2);
}

TEST_CASE("A failure that the upstream answered is passed on where no other attempt did better")
{
    Bench bench(8);
    bench.submit(1, false);
    bench.answerProbes(idle);
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Failed, idle, bench.now, bench.actions);
    const auto finished = bench.take<Dispatch::FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Dispatch::Disposition::Done);
    CHECK(finished[0].attempt == 0);
}

TEST_CASE("A late answer to a repeatable call is hedged, and the first answer cancels the other")
{
    Bench bench(8);
    bench.submit(1, true);
    bench.answerProbes(idle);
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, idle, bench.now + 50_ms, bench.actions);
    bench.now += 100_ms;
    bench.actions.clear();
    bench.submit(2, true);
    bench.answerProbes(idle);
    bench.actions.clear();
    bench.pass(200_ms, idle);
    const auto hedge = bench.take<Dispatch::SendAttempt>();
    REQUIRE(hedge.size() == 1);
    CHECK(hedge[0].hedge);
    bench.dispatcher.attemptEnded(2, hedge[0].attempt, AttemptOutcome::Answered, idle, bench.now, bench.actions);
    CHECK(bench.take<Dispatch::CancelAttempt>().size() == 1);
    CHECK(bench.take<Dispatch::FinishCall>().size() == 1);
    CHECK(bench.dispatcher.open() == 0);
}

TEST_CASE("What may run once is never hedged")
{
    Bench bench(8);
    bench.submit(1, true);
    bench.answerProbes(idle);
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, idle, bench.now + 50_ms, bench.actions);
    bench.actions.clear();
    bench.submit(2, false);
    bench.answerProbes(idle);
    bench.actions.clear();
    bench.pass(700_ms, idle);
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("A caller that left has its attempts cancelled")
{
    Bench bench(8);
    bench.submit(1, true);
    bench.answerProbes(idle);
    bench.dispatcher.cancel(1, bench.now, bench.actions);
    CHECK(bench.take<Dispatch::CancelAttempt>().size() == 1);
    CHECK(bench.dispatcher.open() == 0);
}

TEST_CASE("An attempt without an answer ends shortly after the deadline, not later")
{
    Bench bench(8);
    bench.submit(1, false);
    bench.answerProbes(idle);
    bench.pass(800_ms, idle);
    CHECK(bench.take<Dispatch::FinishCall>().empty());
    bench.pass(60_ms, idle);
    CHECK(bench.take<Dispatch::FinishCall>().size() == 1);
}

TEST_CASE("An answer tells of its upstream's load, and a call that waits takes the slot that it freed")
{
    Bench bench(1);
    bench.submit(1, true);
    bench.answerProbes({.running = 1, .slots = 3});
    REQUIRE(bench.take<Dispatch::SendAttempt>().size() == 1);
    bench.now += 20_ms;
    bench.submit(2, true);
    bench.answerProbes({.running = 3, .slots = 3});
    bench.pass(15_ms, {.running = 3, .slots = 3});
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
    bench.dispatcher.attemptEnded(1, 0, AttemptOutcome::Answered, LoadReport{.running = 1, .slots = 3}, bench.now, bench.actions);
    CHECK(bench.take<Dispatch::SendAttempt>().size() == 1);
}

TEST_CASE("An upstream that answers no probe is left alone for a while")
{
    Bench bench(2);
    bench.submit(1, true);
    const auto probes = bench.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    bench.dispatcher.probeEnded(probes[0].upstream, {}, bench.now, bench.actions);
    bench.dispatcher.probeEnded(probes[1].upstream, {.answered = true, .load = idle}, bench.now, bench.actions);
    bench.actions.clear();
    bench.now += 20_ms;
    bench.submit(2, true);
    const auto again = bench.take<Dispatch::ProbeUpstream>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].upstream == probes[1].upstream);
}

TEST_CASE("Failures that other daemons saw keep calls away from an upstream")
{
    Bench bench(2);
    const OutcomeCount bad{.upstream = "u0", .good = 1, .bad = 8};
    bench.dispatcher.noteOthers({&bad, 1}, bench.now);
    for (CallId id = 1; id <= 10; ++id) {
        bench.submit(id, true);
        bench.answerProbes(idle);
        const auto sent = bench.take<Dispatch::SendAttempt>();
        REQUIRE(sent.size() == 1);
        CHECK(bench.dispatcher.view(sent[0].upstream)->spec().id == "u1");
        bench.now += 50_ms;
        bench.dispatcher.attemptEnded(id, 0, AttemptOutcome::Answered, idle, bench.now, bench.actions);
        bench.actions.clear();
        bench.now += 20_ms;
    }
}

TEST_CASE("An upstream that refuses calls though it told a free slot counts as failing")
{
    Bench bench(4);
    for (CallId id = 1; id <= 8; ++id) {
        bench.submit(id, false);
        bench.answerProbes(idle);
        const auto sent = bench.take<Dispatch::SendAttempt>();
        REQUIRE(sent.size() == 1);
        const bool refuses = bench.dispatcher.view(sent[0].upstream)->spec().id == "u0";
        bench.now += 50_ms;
        bench.dispatcher.attemptEnded(id, 0, refuses ? AttemptOutcome::Shed : AttemptOutcome::Answered, idle, bench.now, bench.actions);
        bench.pass(20_ms, idle);
        bench.dispatcher.cancel(id, bench.now, bench.actions);
        bench.actions.clear();
    }
    CHECK(bench.dispatcher.view(*bench.dispatcher.idOf("u0"))->failureRate(bench.now) > 0);
}

namespace
{

constexpr ProbeResult servedProbe{.answered = true};

// Brings a dispatcher to know that its upstreams tell no load, at rest and with known times of probes.
void learnSilence(Bench &bench)
{
    for (CallId id = 101; id <= 120; ++id) {
        bench.submit(id, true);
        bench.now += 1_ms;
        for (int i = 0; i < 4; ++i) {
            for (const auto &it : bench.take<Dispatch::ProbeUpstream>()) {
                bench.dispatcher.probeEnded(it.upstream, servedProbe, bench.now, bench.actions);
            }
        }
        bench.dispatcher.cancel(id, bench.now, bench.actions);
        bench.actions.clear();
        bench.now += 100_ms;
    }
}

}

TEST_CASE("Of upstreams that tell no load the first of the daemon's own that serves its probe gets the call")
{
    Bench bench(8, {.domain = "a", .daemons = {"a"}});
    learnSilence(bench);
    bench.submit(1, false);
    const auto probes = bench.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
    bench.now += 1_ms;
    bench.dispatcher.probeEnded(probes[1].upstream, servedProbe, bench.now, bench.actions);
    const auto sent = bench.take<Dispatch::SendAttempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].upstream == probes[1].upstream);
}

TEST_CASE("Without load told a probe served several times slower than usual speaks against its upstream")
{
    Bench bench(8);
    learnSilence(bench);
    bench.submit(1, false);
    const auto probes = bench.take<Dispatch::ProbeUpstream>();
    REQUIRE(probes.size() == 2);
    bench.now += 5_ms;
    bench.dispatcher.probeEnded(probes[0].upstream, servedProbe, bench.now, bench.actions);
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("A call whose probes wait at upstreams that tell no load is not sent behind them")
{
    Bench bench(8);
    learnSilence(bench);
    bench.submit(1, false);
    for (int i = 0; i < 100; ++i) {
        bench.now += 1_ms;
        bench.dispatcher.tick(bench.now, bench.actions);
    }
    CHECK(bench.take<Dispatch::SendAttempt>().empty());
}

TEST_CASE("Without a probe left to spend a call goes to an upstream with few own calls before it is refused")
{
    Bench bench(8);
    bench.tokens.setRate(0, 0);
    bench.submit(1, false);
    for (int i = 0; i < 300; ++i) {
        bench.now += 1_ms;
        bench.dispatcher.tick(bench.now, bench.actions);
    }
    CHECK(bench.take<Dispatch::SendAttempt>().size() == 1);
    CHECK(bench.take<Dispatch::RefuseCall>().empty());
}

TEST_CASE("Upstreams that tell no load are shared out: each daemon asks its own ones first")
{
    std::set<UpstreamId> preferred;
    for (std::size_t place = 0; place < 4; ++place) {
        Bench bench(8, {.domain = "a", .daemons = {"a", "a", "a", "a"}, .place = place});
        learnSilence(bench);
        bench.submit(1, false);
        const auto probes = bench.take<Dispatch::ProbeUpstream>();
        REQUIRE(probes.size() == 2);
        // Both of its own are among the first it asks, and nobody else's first two.
        CHECK(preferred.insert(probes[0].upstream).second);
        CHECK(preferred.insert(probes[1].upstream).second);
    }
    CHECK(preferred.size() == 8);
}

TEST_CASE("Calls whose objective is shorter than the time first assumed for calls are served all the same")
{
    Bench bench(8);
    bench.submit(1, false, 24_ms, 60_ms);
    bench.answerProbes(idle);
    bench.pass(20_ms, idle);
    CHECK(bench.take<Dispatch::SendAttempt>().size() == 1);
    CHECK(bench.take<Dispatch::RefuseCall>().empty());
}

TEST_CASE("A few of the calls that would wait try a free slot of an upstream taken to be too crowded")
{
    const LoadReport crowded{.running = 2, .slots = 3};
    int tried = 0;
    for (CallId id = 1; id <= 200; ++id) {
        Bench bench(8);
        // As many answers as make the usual time known.
        for (CallId early = 1001; early <= 1010; ++early) {
            bench.submit(early, true);
            bench.answerProbes(idle);
            bench.take<Dispatch::SendAttempt>();
            bench.now += 100_ms;
            bench.dispatcher.attemptEnded(early, 0, AttemptOutcome::Answered, idle, bench.now, bench.actions);
        }
        bench.actions.clear();
        // Each bench draws the same numbers: another count of calls before moves the draw.
        for (CallId other = 0; other < id % 20; ++other) {
            bench.submit(2000 + other, true);
            bench.answerProbes(idle);
            bench.dispatcher.cancel(2000 + other, bench.now, bench.actions);
            bench.now += 10_ms;
        }
        bench.actions.clear();
        bench.submit(id, true);
        bench.answerProbes(crowded);
        bench.pass(12_ms, crowded);
        tried += bench.take<Dispatch::SendAttempt>().empty() ? 0 : 1;
    }
    CHECK(tried > 0);
    CHECK(tried < 120);
}

TEST_CASE("Upstreams that are replaced leave no trace behind")
{
    Bench bench(4);
    for (int round = 0; round < 1000; ++round) {
        std::vector<UpstreamSpec> specs;
        specs.reserve(4);
        for (int i = 0; i < 4; ++i) {
            specs.push_back({.id = std::to_string(round) + "-" + std::to_string(i), .domain = "a", .slots = 3});
        }
        bench.dispatcher.setUpstreams(specs);
    }
    const auto id = bench.dispatcher.idOf("999-3");
    REQUIRE(id.has_value());
    CHECK(*id < 16);
}
