#include "core/limits/allowancegrantor.h"

#include <doctest/doctest.h>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Limits;

namespace
{

constexpr Millis startedAt = 3_s;
// When a workspace that was given at 0 ms is granted.
constexpr Millis servedAt = startedAt;

AllowanceGrantor grantorOf(const Allowance &allowance, std::size_t known = 10)
{
    AllowanceGrantor grantor(startedAt);
    grantor.setFleet({.known = known, .dead = {}}, 0_ms);
    grantor.setAllowances({&allowance, 1}, 0_ms);
    return grantor;
}

AllowanceAnswer ask(AllowanceGrantor &grantor, std::uint32_t wanted, Millis now, const std::string &daemon = "host-1")
{
    return grantor.answer({.workspace = "w", .number = 1, .wanted = wanted}, daemon, now);
}

}

// Guards against grants beside those of a previous home.
TEST_CASE("A home waits before its first grants and starts with an empty bucket")
{
    auto grantor = grantorOf({.workspace = "w", .perSecond = 100, .burst = 100});
    CHECK(ask(grantor, 1, servedAt - 1_ms).verdict == AllowanceVerdict::NotServing);
    CHECK(ask(grantor, 1, servedAt).verdict == AllowanceVerdict::Short);
    CHECK(ask(grantor, 20, servedAt + 100_ms).tokens == 10);
    CHECK(ask(grantor, 500, servedAt + 20_s).tokens == 100);
    const Allowance other{.workspace = "w2", .perSecond = 100, .burst = 100};
    grantor.setAllowances({&other, 1}, 30_s);
    CHECK(ask(grantor, 1, 40_s).verdict == AllowanceVerdict::NotServing);
    CHECK(grantor.answer({.workspace = "w2", .wanted = 1}, "host-1", 30600_ms).verdict == AllowanceVerdict::NotServing);
    CHECK(grantor.answer({.workspace = "w2", .wanted = 1}, "host-1", 32_s).verdict == AllowanceVerdict::Granted);
}

// Guards against a workspace with a small rate or without a burst that never gets a token.
TEST_CASE("A rate of 1 a second and a burst of 0 grant one token each second")
{
    auto grantor = grantorOf({.workspace = "w", .perSecond = 1, .burst = 0});
    CHECK(ask(grantor, 1, servedAt + 10_s).tokens == 1);
    const auto answer = ask(grantor, 1, servedAt + 10_s);
    CHECK(answer.tokens == 0);
    CHECK(answer.retryAfter == 1_s);
    CHECK(ask(grantor, 5, servedAt + 11_s).tokens == 1);
}

// Guards against a double use of the rate by daemons that are not reachable.
TEST_CASE("The shares of dead, silent and isolated daemons are not granted")
{
    auto grantor = grantorOf({.workspace = "w", .perSecond = 100, .burst = 100});
    ask(grantor, 1, servedAt);
    SUBCASE("dead")
    {
        grantor.setFleet({.known = 10, .dead = {"host-2", "host-3", "host-4"}}, servedAt);
        CHECK(grantor.grantedRate("w") == doctest::Approx(70));
        CHECK(ask(grantor, 500, servedAt + 20_s).tokens == 70);
        // Returning daemons learn of the home within 1.5 s; until then their shares stay reserved.
        grantor.setFleet({.known = 10, .dead = {}}, servedAt + 20_s);
        ask(grantor, 0, servedAt + 21_s);
        CHECK(grantor.grantedRate("w") == doctest::Approx(70));
        ask(grantor, 0, servedAt + 22_s);
        CHECK(grantor.grantedRate("w") == doctest::Approx(100));
    }
    SUBCASE("silent")
    {
        ask(grantor, 1, servedAt + 900_ms, "host-2");
        CHECK(grantor.grantedRate("w") == doctest::Approx(100));
        ask(grantor, 1, servedAt + 1100_ms, "host-2");
        CHECK(grantor.grantedRate("w") == doctest::Approx(90));
        grantor.forget("host-1");
        ask(grantor, 1, servedAt + 1300_ms, "host-2");
        ask(grantor, 1, servedAt + 2200_ms, "host-2");
        ask(grantor, 1, servedAt + 3100_ms, "host-2");
        CHECK(grantor.grantedRate("w") == doctest::Approx(100));
    }
    SUBCASE("last request")
    {
        grantor.answer({.workspace = "w", .isLast = true}, "host-1", servedAt + 100_ms);
        ask(grantor, 1, servedAt + 2_s, "host-2");
        CHECK(grantor.grantedRate("w") == doctest::Approx(100));
    }
    SUBCASE("without our answers")
    {
        grantor.answer({.workspace = "w", .usesOwnShare = true}, "host-1", servedAt + 300_ms);
        CHECK(grantor.grantedRate("w") == doctest::Approx(90));
    }
    SUBCASE("isolated")
    {
        grantor.setFleet({.known = 10, .dead = {}, .isolated = true}, servedAt);
        CHECK(grantor.grantedRate("w") == doctest::Approx(10));
    }
}

// Guards against a saved burst that outlives a lowered limit.
TEST_CASE("A changed rate applies at once")
{
    auto grantor = grantorOf({.workspace = "w", .perSecond = 100, .burst = 100});
    const Allowance lowered{.workspace = "w", .perSecond = 10, .burst = 5};
    grantor.setAllowances({&lowered, 1}, servedAt + 20_s);
    CHECK(ask(grantor, 500, servedAt + 20_s).tokens == 5);
    CHECK(ask(grantor, 500, servedAt + 20200_ms).tokens == 2);
}

// Guards against growth of the memory by requests from unknown hosts or for unknown workspaces.
TEST_CASE("A home keeps no more daemons than are known")
{
    auto grantor = grantorOf({.workspace = "w", .perSecond = 100, .burst = 100}, 3);
    for (int i = 0; i < 100; ++i) {
        ask(grantor, 1, servedAt, "host-" + std::to_string(i));
        CHECK(grantor.answer({.workspace = std::to_string(i)}, "host-1", servedAt).verdict == AllowanceVerdict::NotServing);
    }
    CHECK(grantor.workspaceCount() == 1);
    // Three silent daemons, of which this one always keeps its share.
    ask(grantor, 1, servedAt + 3_s, "host-0");
    CHECK(grantor.grantedRate("w") == doctest::Approx(100.0 / 3));
}
