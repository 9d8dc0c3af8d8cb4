#include "core/placement/preferredupstreams.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Laburnummast::Placement;

namespace
{

using Domains = std::vector<std::string>;

// Counts for each upstream the daemons that prefer it.
std::vector<int> countPreferring(const Domains &upstreams, const Domains &daemons)
{
    std::vector<int> counts(upstreams.size());
    for (std::size_t daemonIndex = 0; daemonIndex < daemons.size(); ++daemonIndex) {
        const auto preferred = preferredUpstreams(upstreams, daemons, daemonIndex);
        REQUIRE(preferred.size() == upstreams.size());
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            counts[i] += preferred[i] ? 1 : 0;
        }
    }
    return counts;
}

// Counts the upstreams that the daemon prefers.
auto countPreferred(const Domains &upstreams, const Domains &daemons, std::size_t daemonIndex)
{
    const auto preferred = preferredUpstreams(upstreams, daemons, daemonIndex);
    return std::count(preferred.begin(), preferred.end(), true);
}

}

TEST_CASE("With at least as many upstreams as daemons each upstream is preferred by exactly one daemon")
{
    const Domains upstreams{"a", "a", "b", "c", "c", "c", "b"};
    const Domains daemons{"a", "b", "c"};
    for (const int it : countPreferring(upstreams, daemons)) {
        CHECK(it == 1);
    }
    for (std::size_t daemonIndex = 0; daemonIndex < 3; ++daemonIndex) {
        CHECK(countPreferred(upstreams, daemons, daemonIndex) >= 2);
        CHECK(countPreferred(upstreams, daemons, daemonIndex) <= 3);
    }
}

TEST_CASE("Upstreams are preferred by daemons of their own failure domain while these have capacity")
{
    const Domains upstreams{"a", "b", "a", "b"};
    const Domains daemons{"b", "a"};
    CHECK(preferredUpstreams(upstreams, daemons, 0) == std::vector<bool>{false, true, false, true});
    CHECK(preferredUpstreams(upstreams, daemons, 1) == std::vector<bool>{true, false, true, false});
}

TEST_CASE("With more daemons than upstreams each daemon prefers one and the daemons are spread evenly")
{
    const Domains upstreams{"a", "b"};
    const Domains daemons{"a", "a", "a", "b", "c"};
    const auto counts = countPreferring(upstreams, daemons);
    CHECK(counts[0] + counts[1] == 5);
    CHECK(std::abs(counts[0] - counts[1]) <= 1);
}

TEST_CASE("Nothing is preferred without upstreams, without daemons or for a daemon index out of range")
{
    CHECK(preferredUpstreams({}, Domains{"a"}, 0).empty());
    CHECK(preferredUpstreams(Domains{"a"}, {}, 0) == std::vector<bool>{false});
    CHECK(preferredUpstreams(Domains{"a"}, Domains{"a"}, 4) == std::vector<bool>{false});
}
