#include "core/fleet/fetchsource.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

TEST_CASE("Records cross into a failure domain of 80 daemons twice, and reach all of them")
{
    int fetchedElsewhere = 0;
    int offers = 0;
    for (std::size_t rank = 0; rank < 80; ++rank) {
        fetchedElsewhere += shouldFetchFrom({.sameDomain = false, .rankInDomain = rank, .behindFor = 0_ms}) ? 1 : 0;
        offers += offersToDomain(rank) ? 1 : 0;
        CHECK(shouldFetchFrom({.sameDomain = true, .rankInDomain = rank, .behindFor = 0_ms}));
    }
    CHECK(fetchedElsewhere == 2);
    CHECK(offers == 2);
}

TEST_CASE("A daemon without a source in its failure domain fetches elsewhere after a short wait")
{
    CHECK_FALSE(shouldFetchFrom({.sameDomain = false, .rankInDomain = 40, .behindFor = 140_ms}));
    CHECK(shouldFetchFrom({.sameDomain = false, .rankInDomain = 40, .behindFor = 150_ms}));
}
