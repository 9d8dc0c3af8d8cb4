#include "core/idempotency/keytable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Idempotency;

namespace
{

template <class T>
bool is(const KeyVerdict &verdict)
{
    return std::holds_alternative<T>(verdict);
}

KeyTable table(const std::string &self = "a", const KeyTableOptions &options = {})
{
    return {options, self, 0_ms};
}

}

TEST_CASE("A first attempt runs and a copy of it waits for its answer")
{
    auto keys = table();
    CHECK(is<Execute>(keys.begin("k", 1_s)));
    CHECK(is<InFlight>(keys.begin("k", 2_s)));
    keys.finishAnswered("k", {.status = 201, .contentType = "text/plain", .body = "seat 4"}, 3_s);
    const auto verdict = keys.begin("k", 4_s);
    REQUIRE(is<Answered>(verdict));
    CHECK(std::get<Answered>(verdict).answer->body == "seat 4");
}

TEST_CASE("A key whose call did not run may be used again")
{
    auto keys = table();
    keys.begin("k", 1_s);
    keys.finishNotRun("k");
    CHECK(is<Execute>(keys.begin("k", 2_s)));
}

TEST_CASE("A key whose call may have run stays unknown")
{
    auto keys = table();
    keys.begin("k", 1_s);
    keys.finishUnknown("k", 2_s);
    CHECK(is<OutcomeUnknown>(keys.begin("k", 3_s)));
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 2_s, 3_s)));
}

TEST_CASE("A first attempt that comes after its repeat is refused")
{
    auto keys = table();
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 5_s)));
    const auto verdict = keys.begin("k", 6_s);
    REQUIRE(is<ClaimedBy>(verdict));
    CHECK(std::get<ClaimedBy>(verdict).member == "b");
}

TEST_CASE("Of two members that claim a key one only gets it")
{
    auto keys = table();
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 5_s)));
    CHECK(is<ClaimedBy>(keys.claim("k", "c", 1_s, 5_s)));
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 6_s)));
}

TEST_CASE("A member that started after the first attempt cannot say")
{
    KeyTable keys({}, "a", 100_s);
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 2_s, 101_s)));
    CHECK(is<Execute>(keys.claim("k", "b", 2_s, 103_s)));
}

TEST_CASE("A repeat that comes after the window cannot be judged")
{
    auto keys = table("a", {.repeatWindow = 60_s});
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 61_s, 1000_s)));
}

TEST_CASE("A key that was dropped for lack of room is never taken for unseen")
{
    auto keys = table("a", {.maxKeys = 10});
    for (int i = 0; i < 50; ++i) {
        const auto key = "k" + std::to_string(i);
        const Millis now{1000.0 + i};
        keys.begin(key, now);
        keys.finishAnswered(key, {.status = 200}, now);
    }
    CHECK(keys.size() <= 10);
    CHECK(is<OutcomeUnknown>(keys.claim("k0", "b", 100_ms, Millis{1100})));
    CHECK(is<Execute>(keys.claim("fresh", "b", 1_ms, Millis{1100})));
}

TEST_CASE("A large answer is remembered as given without its body")
{
    auto keys = table("a", {.maxAnswerBytes = 4});
    keys.begin("k", 1_s);
    keys.finishAnswered("k", {.status = 200, .body = "too long"}, 2_s);
    const auto verdict = keys.begin("k", 3_s);
    CHECK(std::get<Answered>(verdict).answer->bodyDropped);
}

TEST_CASE("A leaving member's keys are known to its heir, and only to its heir")
{
    auto leaving = table("a");
    auto successor = table("b");
    auto other = table("c");
    leaving.begin("done", 1_s);
    leaving.finishAnswered("done", {.status = 200, .body = "x"}, 2_s);
    leaving.begin("open", 2_s);
    leaving.claim("claimed", "c", 1_s, 3_s);
    successor.importKeys("a", leaving.exportKeys(4_s), 4_s);

    CHECK(is<Answered>(successor.claimTransferred("done", "a", "d", 5_s)));
    CHECK(is<OutcomeUnknown>(successor.claimTransferred("open", "a", "d", 5_s)));
    CHECK(is<ClaimedBy>(successor.claimTransferred("claimed", "a", "d", 5_s)));
    CHECK(is<Execute>(successor.claimTransferred("unseen", "a", "d", 5_s)));
    CHECK(is<OutcomeUnknown>(other.claimTransferred("done", "a", "d", 5_s)));
}

TEST_CASE("Keys leave the table when their window is over")
{
    auto keys = table("a", {.repeatWindow = 10_s});
    keys.begin("k", 1_s);
    keys.finishAnswered("k", {.status = 200, .body = "x"}, 2_s);
    keys.expire(20_s);
    CHECK(keys.size() == 0);
    CHECK(keys.bytes() == 0);
}

TEST_CASE("However attempts and repeats interleave over two members, a key runs once")
{
    rc::check([](const std::vector<std::uint8_t> &steps) {
        auto a = table("a");
        auto b = table("b");
        int runs = 0;
        Millis now = 10_s;
        for (const auto step : steps) {
            now += 10_ms;
            auto &local = step % 2 == 0 ? a : b;
            auto &remote = step % 2 == 0 ? b : a;
            const auto *self = step % 2 == 0 ? "a" : "b";
            switch (step / 2 % 4) {
            case 0:
                // Only a's caller makes the first attempt.
                runs += is<Execute>(a.begin("k", now)) ? 1 : 0;
                break;
            case 1:
                if (is<Execute>(local.claim("k", self, 5_s, now)) && is<Execute>(remote.claim("k", self, 5_s, now))) {
                    runs += is<Execute>(local.begin("k", now)) ? 1 : 0;
                }
                break;
            case 2:
                local.expire(now);
                break;
            default:
                if (is<InFlight>(local.peek("k"))) {
                    local.finishAnswered("k", {.status = 200}, now);
                }
            }
        }
        RC_ASSERT(runs <= 1);
    });
}
