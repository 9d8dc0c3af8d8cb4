#include "core/fleet/readerchoice.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

TEST_CASE("Exactly one daemon comes first for a topic")
{
    std::vector<std::string> daemons;
    daemons.reserve(19);
    for (int i = 0; i < 19; ++i) {
        daemons.push_back("host-" + std::to_string(i));
    }
    int first = 0;
    for (const auto &it : daemons) {
        first += readerPlace("topic", daemons, it) == 0 ? 1 : 0;
    }
    CHECK(first == 1);
}

TEST_CASE("A daemon in a later place reads once the word of the reader is older than a held read explains")
{
    const ReaderRules rules;
    CHECK_FALSE(shouldRead(1, 1300_ms, false, true, rules));
    CHECK(shouldRead(1, 1600_ms, false, true, rules));
    CHECK_FALSE(shouldRead(3, 1600_ms, false, true, rules));
}

TEST_CASE("Where no reader is heard of the next takes over within a second")
{
    const ReaderRules rules;
    CHECK(shouldRead(1, 600_ms, false, false, rules));
    CHECK(shouldRead(3, 900_ms, false, false, rules));
}

TEST_CASE("A stand-in stops once a better placed daemon reads again, and not while the word is stale")
{
    const ReaderRules rules;
    CHECK_FALSE(shouldRead(2, 100_ms, true, true, rules));
    CHECK(shouldRead(2, 100_ms, true, false, rules));
    CHECK(shouldRead(2, 2000_ms, true, true, rules));
}
