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

TEST_CASE("A first attempt may run, and a duplicate gets InFlight and then the stored answer")
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

TEST_CASE("A key whose call may have run gets OutcomeUnknown")
{
    auto keys = table();
    keys.begin("k", 1_s);
    keys.finishUnknown("k", 2_s);
    CHECK(is<OutcomeUnknown>(keys.begin("k", 3_s)));
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 2_s, 3_s)));
}

TEST_CASE("A first attempt that arrives after its repeat was claimed is refused")
{
    auto keys = table();
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 5_s)));
    const auto verdict = keys.begin("k", 6_s);
    REQUIRE(is<ClaimedBy>(verdict));
    CHECK(std::get<ClaimedBy>(verdict).member == "b");
}

TEST_CASE("Only the first of two members that claim a key gets it")
{
    auto keys = table();
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 5_s)));
    CHECK(is<ClaimedBy>(keys.claim("k", "c", 1_s, 5_s)));
    CHECK(is<Execute>(keys.claim("k", "b", 1_s, 6_s)));
}

TEST_CASE("A claim of a key older than the process gets OutcomeUnknown")
{
    KeyTable keys({}, "a", 100_s);
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 2_s, 101_s)));
    CHECK(is<Execute>(keys.claim("k", "b", 2_s, 103_s)));
}

TEST_CASE("A claim after the repeat window gets OutcomeUnknown")
{
    auto keys = table("a", {.repeatWindow = 60_s});
    CHECK(is<OutcomeUnknown>(keys.claim("k", "b", 61_s, 1000_s)));
}

TEST_CASE("A claim of an evicted key gets OutcomeUnknown")
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

TEST_CASE("An answer that is too large is kept without its body")
{
    auto keys = table("a", {.maxAnswerBytes = 4});
    keys.begin("k", 1_s);
    keys.finishAnswered("k", {.status = 200, .body = "too long"}, 2_s);
    const auto verdict = keys.begin("k", 3_s);
    CHECK(std::get<Answered>(verdict).answer->bodyDropped);
}

TEST_CASE("Keys of a leaving member are known only to the member that imports them")
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

TEST_CASE("Keys expire when their repeat window ends")
{
    auto keys = table("a", {.repeatWindow = 10_s});
    keys.begin("k", 1_s);
    keys.finishAnswered("k", {.status = 200, .body = "x"}, 2_s);
    keys.expire(20_s);
    CHECK(keys.size() == 0);
    CHECK(keys.bytes() == 0);
}

TEST_CASE("A key runs at most once for any order of attempts and repeats on two members")
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
                // First attempts arrive only at member a.
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
