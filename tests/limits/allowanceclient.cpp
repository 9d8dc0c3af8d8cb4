#include "core/limits/allowanceclient.h"

#include <doctest/doctest.h>
#include <variant>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Limits;

namespace
{

// A client that knows 10 daemons, with one workspace.
struct ClientOfOne
{
    explicit ClientOfOne(const Allowance &allowance = {.workspace = "w", .perSecond = 20, .burst = 20})
    {
        client.setAllowances({&allowance, 1}, 0_ms, actions);
        client.setKnownDaemons(10);
    }

    AllowanceDecision decide(std::uint64_t call, Millis now)
    {
        actions.clear();
        const auto decision = client.decide("w", call, now, actions);
        noteRequest();
        return decision;
    }

    void answer(AllowanceVerdict verdict, std::uint32_t tokens, Millis now, Millis retryAfter = {})
    {
        actions.clear();
        client.receive(
            {.workspace = "w", .number = request.number, .verdict = verdict, .tokens = tokens, .retryAfter = retryAfter}, now, actions);
        noteRequest();
    }

    void tick(Millis now)
    {
        actions.clear();
        client.tick(now, actions);
        noteRequest();
    }

    void noteRequest()
    {
        for (const auto &it : actions) {
            if (const auto *send = std::get_if<SendAllowanceRequest>(&it)) {
                request = send->request;
            }
        }
    }

    template <class Decision>
    const Decision *decided(std::uint64_t call) const
    {
        for (const auto &it : actions) {
            if (const auto *held = std::get_if<DecideHeldCall>(&it); held && held->call == call) {
                return std::get_if<Decision>(&held->decision);
            }
        }
        return nullptr;
    }

    AllowanceClient client{1000};
    AllowanceActions actions;
    // The last one that was sent.
    AllowanceRequest request;
};

template <class Decision>
bool is(const AllowanceDecision &decision)
{
    return std::holds_alternative<Decision>(decision);
}

}

// Guards against calls without a limit that wait for a home.
TEST_CASE("Calls of a workspace without a limit are allowed at once")
{
    ClientOfOne one;
    CHECK(is<CallAllowed>(one.client.decide("other", 1, 0_ms, one.actions)));
    CHECK(one.actions.empty());
}

// Guards against a request per call while one is in flight, and against calls that stay undecided.
TEST_CASE("Calls are held during one request and decided by its answer")
{
    ClientOfOne one;
    CHECK(is<CallHeld>(one.decide(1, 0_ms)));
    CHECK(one.request.wanted == 1);
    CHECK(is<CallHeld>(one.decide(2, 1_ms)));
    CHECK(one.actions.empty());
    one.answer(AllowanceVerdict::Granted, 1, 2_ms);
    CHECK(one.decided<CallAllowed>(1));
    CHECK(one.request.wanted == 1);
    one.answer(AllowanceVerdict::Short, 0, 4_ms, 700_ms);
    REQUIRE(one.decided<CallDenied>(2));
    CHECK(one.decided<CallDenied>(2)->source == AllowanceSource::Home);
    CHECK(one.decided<CallDenied>(2)->retryAfter == 700_ms);
}

// Guards against a home that gets a request for every call of an overloaded workspace.
TEST_CASE("A denial is remembered until a token is due, and for 200 ms at least")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    one.answer(AllowanceVerdict::Short, 0, 1_ms, 3_ms);
    CHECK(is<CallDenied>(one.decide(2, 200_ms)));
    CHECK(one.actions.empty());
    CHECK(is<CallHeld>(one.decide(3, 202_ms)));
    one.answer(AllowanceVerdict::Short, 0, 203_ms, 500_ms);
    CHECK(is<CallDenied>(one.decide(4, 700_ms)));
    CHECK(is<CallHeld>(one.decide(5, 704_ms)));
}

// Guards against an answer that grants more than was asked for, and against one that is counted twice.
TEST_CASE("An answer counts once, up to the tokens wanted")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    one.answer(AllowanceVerdict::Granted, 50, 1_ms);
    CHECK(one.decided<CallAllowed>(1));
    one.answer(AllowanceVerdict::Granted, 1, 2_ms);
    CHECK(is<CallHeld>(one.decide(2, 3_ms)));
    one.client.receive(
        {.workspace = "w", .number = 1, .verdict = AllowanceVerdict::Granted, .tokens = 1, .retryAfter = {}}, 4_ms, one.actions);
    CHECK_FALSE(one.decided<CallAllowed>(2));
}

// Guards against leases that are used after the home counts them as expired.
TEST_CASE("Tokens expire, counted from when they were asked for")
{
    ClientOfOne one;
    for (std::uint64_t call = 1; call <= 20; ++call) {
        one.decide(call, 0_ms);
    }
    one.answer(AllowanceVerdict::Granted, 1, 1_ms);
    CHECK(one.request.wanted == 19 + 2);
    SUBCASE("in time")
    {
        one.answer(AllowanceVerdict::Granted, 21, 45_ms);
        CHECK(is<CallAllowed>(one.decide(21, 250_ms)));
        CHECK_FALSE(is<CallAllowed>(one.decide(22, 251_ms)));
    }
    SUBCASE("late")
    {
        one.tick(26_ms);
        one.tick(51_ms);
        one.answer(AllowanceVerdict::Granted, 21, 260_ms);
        CHECK_FALSE(is<CallAllowed>(one.decide(23, 261_ms)));
    }
}

// Guards against calls that wait longer than some tens of milliseconds, and against one lost datagram that costs a refusal.
TEST_CASE("A request is repeated once; without an answer the own share decides")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    const auto number = one.request.number;
    CHECK(one.client.nextDue() == 25_ms);
    one.tick(25_ms);
    CHECK(one.request.number == number);
    CHECK(one.client.nextDue() == 50_ms);
    one.tick(50_ms);
    REQUIRE(one.decided<CallDenied>(1));
    CHECK(one.decided<CallDenied>(1)->source == AllowanceSource::OwnShare);
    // A fifth of 20 / 10 a second for 1.2 s, then all of it.
    std::size_t allowed = 0;
    Millis firstAllowedAt{};
    for (Millis now = 60_ms; now < 11250_ms; now += 10_ms) {
        one.tick(now);
        const auto decision = one.decide(2, now);
        CHECK_FALSE(is<CallHeld>(decision));
        firstAllowedAt = is<CallAllowed>(decision) && allowed == 0 ? now : firstAllowedAt;
        allowed += is<CallAllowed>(decision) ? 1 : 0;
    }
    CHECK(firstAllowedAt > 1250_ms);
    CHECK(allowed == 20);
    CHECK(one.client.counters().allowedByOwnShare == allowed);
    // Once the home answers, it decides.
    one.tick(11260_ms);
    one.decide(3, 12_s);
    CHECK(one.request.usesOwnShare);
    one.answer(AllowanceVerdict::Granted, 0, 12001_ms);
    CHECK(is<CallHeld>(one.decide(4, 12002_ms)));
    CHECK_FALSE(one.request.usesOwnShare);
}

// Guards against a daemon that takes the whole rate for its share before it knows the others.
TEST_CASE("There is no own share while the daemons are not known")
{
    ClientOfOne one;
    one.client.setKnownDaemons(0);
    one.decide(1, 0_ms);
    one.answer(AllowanceVerdict::NotServing, 0, 1_ms);
    CHECK(one.decided<CallDenied>(1));
    for (Millis now = 10_ms; now < 5_s; now += 10_ms) {
        one.tick(now);
        CHECK_FALSE(is<CallAllowed>(one.decide(2, now)));
    }
}

// Guards against an unnoticed cut while there are few calls, and against requests for ever.
TEST_CASE("Keep-alive requests are sent while the workspace is used, then a last one")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    one.answer(AllowanceVerdict::Granted, 1, 1_ms);
    int keepAlives = 0;
    bool hasLast = false;
    while (one.client.nextDue()) {
        const auto now = *one.client.nextDue();
        REQUIRE(now < 10_s);
        one.tick(now);
        if (!one.actions.empty()) {
            CHECK(one.request.wanted == 0);
            hasLast = one.request.isLast;
            keepAlives += hasLast ? 0 : 1;
            one.answer(AllowanceVerdict::Granted, 0, now + 1_ms);
        }
    }
    CHECK(keepAlives == 12);
    CHECK(hasLast);
}

// Guards against actions for calls that no longer exist.
TEST_CASE("A held call whose caller left is not decided")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    one.decide(2, 0_ms);
    one.client.forget("w", 1);
    one.answer(AllowanceVerdict::Granted, 1, 1_ms);
    CHECK_FALSE(one.decided<CallAllowed>(1));
    CHECK(one.decided<CallAllowed>(2));
}

// Guards against calls that stay held for ever after a change of the configuration.
TEST_CASE("Held calls of a workspace that is removed are denied")
{
    ClientOfOne one;
    one.decide(1, 0_ms);
    one.actions.clear();
    one.client.setAllowances({}, 1_ms, one.actions);
    CHECK(one.decided<CallDenied>(1));
    CHECK(is<CallAllowed>(one.decide(2, 2_ms)));
}
