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
        first += readerRank("topic", daemons, it) == 0 ? 1 : 0;
    }
    CHECK(first == 1);
}

TEST_CASE("A daemon in a later place reads once the word of the reader is older than a held read explains")
{
    const ReaderTimeouts timeouts;
    CHECK_FALSE(shouldRead(1, 1300_ms, false, 100_ms, timeouts));
    CHECK(shouldRead(1, 1600_ms, false, 100_ms, timeouts));
    CHECK_FALSE(shouldRead(3, 1600_ms, false, 100_ms, timeouts));
}

TEST_CASE("Where no reader is heard of the next takes over within a second")
{
    const ReaderTimeouts timeouts;
    CHECK(shouldRead(1, 600_ms, false, std::nullopt, timeouts));
    CHECK(shouldRead(3, 900_ms, false, std::nullopt, timeouts));
    CHECK(shouldRead(1, 1000_ms, false, 910_ms, timeouts));
}

TEST_CASE("When the reader goes the others begin one after the other, also where its last word was old already")
{
    const ReaderTimeouts timeouts;
    const auto contactAge = 1200_ms;
    int reading = 0;
    for (std::size_t rank = 1; rank < 19; ++rank) {
        reading += shouldRead(rank, contactAge, false, 760_ms, timeouts) ? 1 : 0;
    }
    CHECK(reading == 0);
    CHECK(shouldRead(1, contactAge + 150_ms, false, 910_ms, timeouts));
    CHECK_FALSE(shouldRead(2, contactAge + 150_ms, false, 910_ms, timeouts));
    CHECK(shouldRead(2, contactAge + 300_ms, false, 1060_ms, timeouts));
}

TEST_CASE("A stand-in stops once a better placed daemon reads again, and not while the word is stale")
{
    const ReaderTimeouts timeouts;
    CHECK_FALSE(shouldRead(2, 100_ms, true, 100_ms, timeouts));
    CHECK(shouldRead(2, 100_ms, true, std::nullopt, timeouts));
    CHECK(shouldRead(2, 100_ms, true, 2000_ms, timeouts));
    CHECK(shouldRead(2, 2000_ms, true, 100_ms, timeouts));
}
