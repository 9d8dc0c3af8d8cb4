#include "core/fleet/readerchoice.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

TEST_CASE("Exactly one daemon has rank 0 for a topic")
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

TEST_CASE("While a reader is alive a lower-ranked daemon starts reading only once contact is older than a held read explains")
{
    const ReaderTimeouts timeouts;
    CHECK_FALSE(shouldRead(1, 1300_ms, false, 100_ms, timeouts));
    CHECK(shouldRead(1, 1600_ms, false, 100_ms, timeouts));
    CHECK_FALSE(shouldRead(3, 1600_ms, false, 100_ms, timeouts));
}

TEST_CASE("Without reports from a reader the next daemon takes over within a second")
{
    const ReaderTimeouts timeouts;
    CHECK(shouldRead(1, 600_ms, false, std::nullopt, timeouts));
    CHECK(shouldRead(3, 900_ms, false, std::nullopt, timeouts));
    CHECK(shouldRead(1, 1000_ms, false, 910_ms, timeouts));
}

TEST_CASE("After the reader is lost the others start one after the other, even if its last contact was old already")
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

TEST_CASE("A substitute reader stops once a higher-ranked daemon reads again, but not while contact is stale")
{
    const ReaderTimeouts timeouts;
    CHECK_FALSE(shouldRead(2, 100_ms, true, 100_ms, timeouts));
    CHECK(shouldRead(2, 100_ms, true, std::nullopt, timeouts));
    CHECK(shouldRead(2, 100_ms, true, 2000_ms, timeouts));
    CHECK(shouldRead(2, 2000_ms, true, 100_ms, timeouts));
}

TEST_CASE("The daemon of rank 0 does not replace a reader that is in contact with the store")
{
    const ReaderTimeouts timeouts;
    CHECK_FALSE(shouldRead(0, 1300_ms, false, 100_ms, timeouts));
    CHECK(shouldRead(0, 1500_ms, false, 100_ms, timeouts));
    CHECK(shouldRead(0, 500_ms, false, std::nullopt, timeouts));
    CHECK(shouldRead(0, 500_ms, false, 800_ms, timeouts));
}
