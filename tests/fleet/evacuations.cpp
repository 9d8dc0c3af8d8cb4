#include "core/fleet/evacuations.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

TEST_CASE("A failure domain is evacuated from its record on until the record is removed")
{
    Evacuations evacuations;
    CHECK(evacuations.begin("a"));
    CHECK_FALSE(evacuations.begin("a"));
    CHECK(evacuations.contains("a"));
    CHECK_FALSE(evacuations.contains("b"));
    CHECK(evacuations.end("a", 100_s));
    CHECK_FALSE(evacuations.contains("a"));
    CHECK_FALSE(evacuations.end("a", 100_s));
}

// Guards against calls to an evacuated domain after the store has lost the record and before operators have written it again.
TEST_CASE("A store that returned from an older copy does not end an evacuation at once")
{
    Evacuations evacuations;
    evacuations.begin("a");
    evacuations.begin("b");
    evacuations.markStoreRestored(100_s);
    CHECK_FALSE(evacuations.end("a", 100_s));
    CHECK_FALSE(evacuations.end("b", 100_s));
    CHECK(evacuations.contains("a"));
    CHECK_FALSE(evacuations.applyDeferredEnds(101_s));
    evacuations.begin("b");
    CHECK(evacuations.applyDeferredEnds(102_s));
    CHECK_FALSE(evacuations.contains("a"));
    CHECK(evacuations.contains("b"));
    CHECK_FALSE(evacuations.applyDeferredEnds(103_s));
    CHECK(evacuations.end("b", 103_s));
}
