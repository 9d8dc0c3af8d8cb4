#include "core/limits/upstreamlimit.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Limits;

TEST_CASE("A limit is in force until a later answer names none")
{
    UpstreamLimit limit;
    CHECK(limit.observe({.perSecond = std::nullopt, .at = 50_ms}, 60_ms) == LimitChange::None);
    CHECK(limit.observe({.perSecond = 4.5, .at = 100_ms}, 100_ms) == LimitChange::Set);
    CHECK(limit.observe({.perSecond = 4.5, .at = 200_ms}, 200_ms) == LimitChange::None);
    CHECK(limit.perSecond(200_ms) == 4.5);
    CHECK(limit.observe({.perSecond = 3.0, .at = 250_ms}, 250_ms) == LimitChange::Set);
    CHECK(limit.observe({.perSecond = std::nullopt, .at = 300_ms}, 350_ms) == LimitChange::Ended);
    CHECK_FALSE(limit.perSecond(350_ms));
}

TEST_CASE("An answer without a limit does not end a limit that was named after its request was sent")
{
    UpstreamLimit limit;
    limit.observe({.perSecond = 4.5, .at = 100_ms}, 100_ms);
    CHECK(limit.observe({.perSecond = std::nullopt, .at = 90_ms}, 120_ms) == LimitChange::None);
    CHECK(limit.perSecond(120_ms) == 4.5);
}

TEST_CASE("A report that was delayed does not replace a later observation")
{
    UpstreamLimit limit;
    limit.observe({.perSecond = 4.5, .at = 100_ms}, 100_ms);
    limit.observe({.perSecond = std::nullopt, .at = 300_ms}, 300_ms);
    CHECK(limit.observe({.perSecond = 4.5, .at = 200_ms}, 400_ms) == LimitChange::None);
    CHECK_FALSE(limit.perSecond(400_ms));
}

TEST_CASE("A limit that no answer confirms lapses, and one that is confirmed does not")
{
    UpstreamLimit limit;
    limit.observe({.perSecond = 4.5, .at = 0_s}, 0_s);
    CHECK(limit.perSecond(20_s) == 4.5);
    limit.observe({.perSecond = 4.5, .at = 20_s}, 20_s);
    CHECK(limit.perSecond(45_s) == 4.5);
    CHECK_FALSE(limit.perSecond(51_s));
    CHECK(limit.observe({.perSecond = 4.5, .at = 60_s}, 60_s) == LimitChange::Set);
}

TEST_CASE("Calls keep to the share of a limit, also after a pause, and are unlimited once it has ended")
{
    UpstreamLimit limit;
    limit.observe({.perSecond = 4.0, .at = 1_s}, 1_s);
    limit.assignShare(2, 1_s);
    CHECK_FALSE(limit.allowsCall(1_s));
    CHECK(limit.nextCallAt(1_s) == 1500_ms);
    int calls = 0;
    for (Millis now = 6_s; now < 10_s; now += 1_ms) {
        if (limit.allowsCall(now)) {
            limit.recordCall(now);
            ++calls;
        }
    }
    // Two a second and one that was not used before.
    CHECK(calls == 9);
    limit.observe({.perSecond = std::nullopt, .at = 10_s}, 10_s);
    CHECK(limit.allowsCall(10_s));
    CHECK(limit.hasShare(10_s));
}

TEST_CASE("A daemon without a share of a limit sends no call, and one that gets a share does not send at once")
{
    UpstreamLimit limit;
    limit.observe({.perSecond = 4.0, .at = 1_s}, 1_s);
    CHECK_FALSE(limit.hasShare(1_s));
    CHECK_FALSE(limit.nextCallAt(1_s));
    limit.assignShare(4, 5_s);
    CHECK_FALSE(limit.allowsCall(5_s));
    CHECK(limit.allowsCall(5250_ms));
    limit.assignShare(0, 5300_ms);
    CHECK_FALSE(limit.allowsCall(20_s));
}
