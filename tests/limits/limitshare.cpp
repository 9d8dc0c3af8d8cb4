#include "core/limits/limitshare.h"

#include <doctest/doctest.h>
#include <string>
#include <string_view>

using namespace Laburnummast;
using namespace Laburnummast::Limits;

namespace
{

LimitPool poolOf(std::size_t daemons, std::size_t unreachable = 0)
{
    constexpr std::string_view domains = "abc";
    LimitPool pool{.daemons = {}, .self = 0, .unreachable = unreachable};
    for (std::size_t i = 0; i < daemons; ++i) {
        pool.daemons.push_back({.name = "host-" + std::to_string(i), .domain = std::string(1, domains[i % domains.size()])});
    }
    return pool;
}

struct Division
{
    double sum = 0;
    double smallest = 1e9;
    int sharers = 0;
    int localSharers = 0;
};

Division divide(const LimitedUpstream &upstream, LimitPool pool)
{
    Division division;
    for (pool.self = 0; pool.self < pool.daemons.size(); ++pool.self) {
        if (const double share = limitShare(upstream, pool); share > 0) {
            division.sum += share;
            division.smallest = std::min(division.smallest, share);
            ++division.sharers;
            division.localSharers += pool.daemons[pool.self].domain == upstream.domain ? 1 : 0;
        }
    }
    return division;
}

}

TEST_CASE("The shares of a limit add up to it, and none is too small to be used")
{
    for (const std::size_t daemons : {1, 2, 13, 107, 471}) {
        for (const double perSecond : {0.3, 2.0, 4.1, 30.0, 900.0}) {
            CAPTURE(daemons);
            CAPTURE(perSecond);
            const auto division = divide({.id = "u1", .domain = "b", .perSecond = perSecond}, poolOf(daemons));
            CHECK(division.sum == doctest::Approx(perSecond));
            CHECK(division.smallest >= std::min(perSecond, 2.0));
        }
    }
}

TEST_CASE("Daemons of the upstream's failure domain get the shares first")
{
    CHECK(divide({.id = "u1", .domain = "b", .perSecond = 8}, poolOf(12)).localSharers == 4);
    CHECK(divide({.id = "u1", .domain = "b", .perSecond = 16}, poolOf(12)).localSharers == 4);
    CHECK(divide({.id = "u1", .domain = "other", .perSecond = 8}, poolOf(12)).sharers == 4);
}

TEST_CASE("A daemon that leaves moves only its own shares")
{
    const auto pool = poolOf(13);
    auto without = pool;
    without.daemons.erase(without.daemons.begin() + 4);
    int moved = 0;
    for (int i = 0; i < 40; ++i) {
        const auto id = "u" + std::to_string(i);
        const LimitedUpstream upstream{.id = id, .domain = "a", .perSecond = 4};
        const auto shareOf = [&](LimitPool members, std::size_t self) {
            members.self = self;
            return limitShare(upstream, members);
        };
        const bool leaverHadShare = shareOf(pool, 4) > 0;
        for (std::size_t k = 0; k < without.daemons.size(); ++k) {
            const bool changed = (shareOf(without, k) > 0) != (shareOf(pool, k < 4 ? k : k + 1) > 0);
            moved += changed && leaverHadShare ? 1 : 0;
            CHECK((!changed || leaverHadShare));
        }
    }
    CHECK(moved == 0);
}

TEST_CASE("Daemons on both sides of a partition together stay near the limit")
{
    for (const std::size_t cutOff : {1, 6}) {
        const auto all = poolOf(13);
        LimitPool largeSide{.daemons = {all.daemons.begin() + static_cast<std::ptrdiff_t>(cutOff), all.daemons.end()},
                            .unreachable = cutOff};
        LimitPool smallSide{.daemons = {all.daemons.begin(), all.daemons.begin() + static_cast<std::ptrdiff_t>(cutOff)},
                            .unreachable = 13 - cutOff};
        const LimitedUpstream upstream{.id = "u1", .domain = "a", .perSecond = 6};
        CHECK(divide(upstream, largeSide).sum + divide(upstream, smallSide).sum <= 6.001);
    }
}

TEST_CASE("A daemon that does not serve calls has no share")
{
    auto pool = poolOf(3);
    pool.self = 3;
    CHECK(limitShare({.id = "u1", .domain = "a", .perSecond = 100}, pool) == 0);
    CHECK(limitShare({.id = "u1", .domain = "a", .perSecond = 100}, {}) == 0);
}
