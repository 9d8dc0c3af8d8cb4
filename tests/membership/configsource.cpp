#include "core/membership/configsource.h"
#include "membership/fakenetwork.h"

#include <doctest/doctest.h>
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
    const auto *source = findConfigSource(others, 4);
    REQUIRE(source != nullptr);
    CHECK(source->info.host == "host-3");
}

TEST_CASE("No configuration is fetched while no running member is ahead")
{
    const std::vector<Member> others{memberAt(0, MemberState::Alive, 4), memberAt(1, MemberState::Dead, 7)};
    CHECK(findConfigSource(others, 4) == nullptr);
    CHECK(findConfigSource({}, 4) == nullptr);
}
