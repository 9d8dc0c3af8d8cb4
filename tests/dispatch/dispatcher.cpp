#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace Laburnummast;
using namespace Laburnummast::Dispatch;

namespace
{

// A dispatcher with its actions and a clock of its own.
class Bed
{
public:
    explicit Bed(int upstreams = 3, const DispatcherOptions &options = {})
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

    CallId submit(Priority priority, bool idempotent, Millis budget = 500_ms, FlowId flow = 0)
    {
        const auto id = m_nextId++;
        dispatcher.submit({.id = id, .flow = flow, .priority = priority, .idempotent = idempotent, .deadline = now + budget}, now, actions);
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

    SendAttempt takeSent()
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
    Bed bed;
    bed.submit(Priority::Urgent, false);
    const auto sent = bed.takeSent();
    bed.end(sent, {.outcome = AttemptOutcome::Broken});
    CHECK(bed.take<SendAttempt>().empty());
    const auto finished = bed.take<FinishCall>();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == Disposition::Unknown);
    CHECK(bed.dispatcher.pending() == 0);
}

TEST_CASE("A non-idempotent call that provably did not run goes to another upstream")
{
    for (const auto outcome : {AttemptOutcome::Shed, AttemptOutcome::NotSent}) {
        Bed bed;
        bed.submit(Priority::Urgent, false);
        const auto first = bed.takeSent();
        bed.end(first, {.outcome = outcome});
        const auto second = bed.takeSent();
        CHECK(second.upstream != first.upstream);
        bed.end(second, {.outcome = AttemptOutcome::Answered});
        CHECK(bed.take<FinishCall>().at(0).disposition == Disposition::Done);
    }
}

TEST_CASE("An idempotent call is sent again after a broken answer, a few times at most")
{
    Bed bed;
    bed.submit(Priority::Normal, true);
    int attempts = 0;
    for (auto sent = bed.take<SendAttempt>(); !sent.empty(); sent = bed.take<SendAttempt>()) {
        ++attempts;
        bed.end(sent.front(), {.outcome = AttemptOutcome::Broken});
    }
    CHECK(attempts == 4);
    CHECK(bed.take<FinishCall>().at(0).disposition == Disposition::Unknown);
}

TEST_CASE("Overload further down is not answered with a retry")
{
    Bed bed;
    bed.submit(Priority::Normal, true);
    bed.end(bed.takeSent(), {.outcome = AttemptOutcome::Shed, .doNotRetry = true});
    CHECK(bed.take<SendAttempt>().empty());
    CHECK(bed.take<FinishCall>().at(0).disposition == Disposition::NotRun);
}

TEST_CASE("Retries stay within their share when every upstream sheds")
{
    Bed bed(10);
    std::uint64_t attempts = 0;
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i) {
        bed.now += 1_ms;
        bed.submit(Priority::Normal, true);
        for (auto sent = bed.take<SendAttempt>(); !sent.empty(); sent = bed.take<SendAttempt>()) {
            ++attempts;
            bed.end(sent.front(), {.outcome = AttemptOutcome::Shed});
        }
    }
    CHECK(attempts <= calls * 1.1 + 5);
}

TEST_CASE("A call whose body was not kept is not sent again once it left")
{
    Bed bed;
    bed.dispatcher.submit({.id = 77, .priority = Priority::Deferrable, .idempotent = true, .resendable = false, .deadline = bed.now + 1_s},
                          bed.now,
                          bed.actions);
    bed.end(bed.takeSent(), {.outcome = AttemptOutcome::Broken});
    CHECK(bed.take<SendAttempt>().empty());
}

TEST_CASE("A leaving upstream gets nothing new from the moment it says so")
{
    Bed bed(2);
    bed.submit(Priority::Urgent, false);
    const auto first = bed.takeSent();
    bed.end(first, {.outcome = AttemptOutcome::Answered, .report = LoadReport{.inFlight = 0, .draining = true}});
    for (int i = 0; i < 4; ++i) {
        bed.submit(Priority::Urgent, false);
    }
    for (const auto &it : bed.take<SendAttempt>()) {
        CHECK(it.upstream != first.upstream);
    }
}

TEST_CASE("A withdrawn upstream gets nothing new and its calls in flight still end well")
{
    Bed bed(2);
    bed.submit(Priority::Urgent, false);
    bed.submit(Priority::Urgent, false);
    const auto sent = bed.take<SendAttempt>();
    bed.setUpstreams(1);
    for (int i = 0; i < 3; ++i) {
        bed.submit(Priority::Urgent, false);
    }
    for (const auto &it : bed.take<SendAttempt>()) {
        CHECK(it.upstream == 0);
    }
    for (const auto &it : sent) {
        bed.end(it, {.outcome = AttemptOutcome::Answered});
    }
    CHECK(bed.take<FinishCall>().size() == 2);
    CHECK_FALSE(bed.dispatcher.checkInvariants());
}

TEST_CASE("Without any upstream a call is refused at once as not run")
{
    Bed bed(0);
    bed.submit(Priority::Urgent, false);
    const auto refused = bed.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == RefusalReason::NoUpstream);
    CHECK(refused[0].retryAfter >= 1_s);
}

TEST_CASE("Urgent work is sent before what waited longer")
{
    Bed bed(1);
    for (int i = 0; i < 6; ++i) {
        bed.submit(Priority::Deferrable, false, 30_s);
    }
    const auto running = bed.take<SendAttempt>();
    const auto urgent = bed.submit(Priority::Urgent, false);
    // The urgent call may pass the own-part rule; what is left of the slots goes to it first.
    auto sent = bed.take<SendAttempt>();
    if (sent.empty()) {
        bed.end(running.front(), {.outcome = AttemptOutcome::Answered});
        sent = bed.take<SendAttempt>();
    }
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front().call == urgent);
}

TEST_CASE("A call that waited past its last useful start is refused as not run")
{
    Bed bed(1);
    bed.saturate(20);
    bed.take<RefuseCall>();
    const auto late = bed.submit(Priority::Normal, true, 50_ms);
    bed.now += 60_ms;
    bed.dispatcher.tick(bed.now, bed.actions);
    const auto refused = bed.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].call == late);
    CHECK(refused[0].reason == RefusalReason::Expired);
    CHECK(bed.dispatcher.queued(Priority::Normal) == 0);
}

TEST_CASE("A full queue refuses the longest flow's oldest call, not the newcomer of a quiet one")
{
    Bed bed(1, {.queueLimit = 5});
    bed.saturate(4);
    for (int i = 0; i < 5; ++i) {
        bed.submit(Priority::Normal, true, 10_s, 1);
    }
    CHECK(bed.take<RefuseCall>().empty());
    const auto quiet = bed.submit(Priority::Normal, true, 10_s, 2);
    const auto refused = bed.take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].call != quiet);
    CHECK(refused[0].reason == RefusalReason::QueueFull);
}

TEST_CASE("A cancelled call that still waits is known not to have run")
{
    Bed bed(1);
    bed.saturate(10);
    const auto waiting = bed.submit(Priority::Normal, true, 10_s);
    CHECK(bed.dispatcher.cancel(waiting, bed.actions));
    CHECK_FALSE(bed.dispatcher.cancel(waiting, bed.actions));
    CHECK_FALSE(bed.dispatcher.checkInvariants());
}

TEST_CASE("A cancelled call in flight is told to its upstream and ends as unknown")
{
    Bed bed;
    const auto call = bed.submit(Priority::Urgent, false);
    const auto sent = bed.takeSent();
    CHECK_FALSE(bed.dispatcher.cancel(call, bed.actions));
    CHECK(bed.take<CancelAttempt>().at(0).upstream == sent.upstream);
    CHECK(bed.take<FinishCall>().at(0).disposition == Disposition::Unknown);
    bed.end(sent, {.outcome = AttemptOutcome::Answered});
    CHECK(bed.take<FinishCall>().empty());
    CHECK(bed.dispatcher.pending() == 0);
}

TEST_CASE("A late read is hedged once, and the loser is cancelled")
{
    Bed bed(4, {.hedgeShare = 0.5});
    for (int i = 0; i < 40; ++i) {
        bed.submit(Priority::Normal, true);
        const auto sent = bed.takeSent();
        bed.now += 10_ms;
        bed.end(sent, {.outcome = AttemptOutcome::Answered});
        bed.take<FinishCall>();
    }
    bed.submit(Priority::Normal, true);
    const auto first = bed.takeSent();
    bed.now += 60_ms;
    bed.dispatcher.tick(bed.now, bed.actions);
    const auto hedge = bed.takeSent();
    CHECK(hedge.hedge);
    CHECK(hedge.upstream != first.upstream);
    bed.dispatcher.tick(bed.now + 60_ms, bed.actions);
    CHECK(bed.take<SendAttempt>().empty());
    bed.end(hedge, {.outcome = AttemptOutcome::Answered});
    CHECK(bed.take<FinishCall>().at(0).attempt == hedge.attempt);
    CHECK(bed.take<CancelAttempt>().at(0).attempt == first.attempt);
}

TEST_CASE("What is not idempotent is never hedged")
{
    Bed bed(4, {.hedgeShare = 0.5});
    for (int i = 0; i < 40; ++i) {
        bed.submit(Priority::Urgent, false);
        const auto sent = bed.takeSent();
        bed.now += 10_ms;
        bed.end(sent, {.outcome = AttemptOutcome::Answered});
    }
    bed.submit(Priority::Urgent, false, 5_s);
    bed.takeSent();
    bed.dispatcher.tick(bed.now + 1_s, bed.actions);
    CHECK(bed.take<SendAttempt>().empty());
}

TEST_CASE("Ejections leave most upstreams in place even when all of them fail")
{
    Bed bed(9);
    for (int i = 0; i < 200; ++i) {
        bed.now += 1_ms;
        bed.submit(Priority::Urgent, false);
        for (const auto &it : bed.take<SendAttempt>()) {
            bed.end(it, {.outcome = AttemptOutcome::Failed});
        }
    }
    CHECK(bed.dispatcher.router().usable(bed.now) >= 6);
}

TEST_CASE("Upstreams that all turn slow together still take calls")
{
    Bed bed(3);
    const auto callOnce = [&](Millis latency) {
        bed.submit(Priority::Urgent, false, 10_s);
        const auto sent = bed.take<SendAttempt>();
        bed.now += latency;
        for (const auto &it : sent) {
            bed.end(it, {.outcome = AttemptOutcome::Answered});
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
    Bed bed(3);
    for (int i = 0; i < 300; ++i) {
        bed.submit(Priority::Urgent, false);
        const auto sent = bed.takeSent();
        bed.now += Millis{sent.upstream == 0 ? 0.6 : 0.1};
        bed.end(sent, {.outcome = AttemptOutcome::Answered});
    }
    const auto &slots = bed.dispatcher.router().slots();
    CHECK(slots[0].load.slowness(bed.now, bed.dispatcher.router().typicalLatency()) == doctest::Approx(1));
}

TEST_CASE("Deferrable work fills this dispatcher's own part only, unless another part is known to be idle")
{
    Bed bed(8);
    const std::vector<std::string> names{"a", "b", "c", "d"};
    bed.dispatcher.setDispatchers(names, "a");
    for (int i = 0; i < 100; ++i) {
        bed.submit(Priority::Deferrable, false, 30_s);
    }
    std::map<UpstreamId, int> perUpstream;
    for (const auto &it : bed.take<SendAttempt>()) {
        ++perUpstream[it.upstream];
    }
    int own = 0;
    for (const auto &[upstream, n] : perUpstream) {
        const auto &slot = bed.dispatcher.router().slots()[upstream];
        own += slot.own ? 1 : 0;
        CHECK(n <= (slot.own ? 3 : 1));
    }
    CHECK(own == 2);
    CHECK_FALSE(bed.dispatcher.checkInvariants());
}

TEST_CASE("Probes ask only after upstreams that fell silent, within their rate")
{
    Bed bed(50, {.probesPerSecond = 2, .probeAfter = 5_s});
    bed.dispatcher.tick(bed.now + 1_s, bed.actions);
    CHECK(bed.take<ProbeUpstream>().empty());
    std::size_t probes = 0;
    for (int i = 0; i < 1000; ++i) {
        bed.now += 10_ms;
        bed.dispatcher.tick(bed.now, bed.actions);
        probes += bed.take<ProbeUpstream>().size();
    }
    CHECK(probes >= 1);
    CHECK(probes <= 2 * 10 + 2);
}
