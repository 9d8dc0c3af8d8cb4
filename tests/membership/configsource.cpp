#include "core/membership/configsource.h"
#include "membership/fakenetwork.h"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Membership;

namespace
{

Member memberAt(int node, MemberState state, std::int64_t offset)
{
    return {.info = Tests::FakeNetwork::infoOf(node), .incarnation = 1, .state = state, .config = {.offset = offset, .hash = 0}};
}

}

TEST_CASE("A dead member with the highest offset does not keep its change from being fetched from a running one")
{
    const std::vector<Member> others{memberAt(0, MemberState::Dead, 5),
                                     memberAt(1, MemberState::Left, 6),
                                     memberAt(2, MemberState::Alive, 4),
                                     memberAt(3, MemberState::Alive, 5)};
    const auto *source = findConfigSource(others, 4, 0);
    REQUIRE(source != nullptr);
    CHECK(source->info.host == "host-3");
}

TEST_CASE("No configuration is fetched while no running member is ahead")
{
    const std::vector<Member> others{memberAt(0, MemberState::Alive, 4), memberAt(1, MemberState::Dead, 7)};
    CHECK(findConfigSource(others, 4, 0) == nullptr);
    CHECK(findConfigSource({}, 4, 0) == nullptr);
}

TEST_CASE("Members that lack a change do not all fetch it from the same one of those that have it")
{
    const std::vector<Member> others{memberAt(0, MemberState::Alive, 5),
                                     memberAt(1, MemberState::Alive, 4),
                                     memberAt(2, MemberState::Alive, 5),
                                     memberAt(3, MemberState::Dead, 5),
                                     memberAt(4, MemberState::Alive, 5)};
    std::array<int, 5> fetches{};
    std::mt19937_64 random(1);
    for (int i = 0; i < 300; ++i) {
        const auto *source = findConfigSource(others, 3, random());
        REQUIRE(source != nullptr);
        ++fetches.at(static_cast<std::size_t>(source - others.data()));
    }
    CHECK(fetches[1] == 0);
    CHECK(fetches[3] == 0);
    for (const std::size_t it : {0, 2, 4}) {
        CHECK(fetches.at(it) > 60);
        CHECK(fetches.at(it) < 140);
    }
}
