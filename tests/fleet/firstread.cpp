#include "core/fleet/firstread.h"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

namespace
{

constexpr Millis step{50};
constexpr Millis catchUp{6000};

// Daemons that start at the same time without records. Each one that reads the store has the records after `readTime`, and from then on
// reports reach the others after `reportDelay` and records after `fetchTime` more; no report arrives if `isolated` is set.
struct FleetStart
{
    std::size_t daemons = 471;
    std::size_t seeds = 3;
    /// Seeds before this index do not run.
    std::size_t firstRunningSeed = 0;
    bool isolated = false;
    Millis readTime{200};
    Millis reportDelay{250};
    Millis fetchTime{1000};

    // Returns how many daemons read the store.
    std::size_t readers() const
    {
        std::vector<bool> reads(daemons, false);
        std::size_t n = 0;
        std::optional<Millis> firstSourceAt;
        for (Millis now{}; now < catchUp; now += step) {
            const bool heard = !isolated && firstSourceAt && now >= *firstSourceAt + reportDelay;
            if (heard && now >= *firstSourceAt + reportDelay + fetchTime) {
                break;
            }
            for (std::size_t i = firstRunningSeed; i < daemons; ++i) {
                const FirstReadOptions options{.seedIndex = i < seeds ? std::optional(i) : std::nullopt,
                                               .catchUp = catchUp,
                                               .spread = static_cast<double>(i) / static_cast<double>(daemons)};
                if (!reads[i] && shouldReadFirst(options, now, heard ? std::optional(100_ms) : std::nullopt)) {
                    reads[i] = true;
                    ++n;
                    firstSourceAt = firstSourceAt ? firstSourceAt : std::optional(now + readTime);
                }
            }
        }
        return n;
    }
};

}

TEST_CASE("At the start of a fleet as many daemons read the store as there are seeds at most, whatever its size")
{
    for (const std::size_t daemons : {30, 471, 1517}) {
        CAPTURE(daemons);
        CHECK(FleetStart{.daemons = daemons}.readers() <= 3);
        CHECK(FleetStart{.daemons = daemons, .readTime = 600_ms}.readers() <= 3);
        CHECK(FleetStart{.daemons = daemons, .firstRunningSeed = 2}.readers() == 1);
    }
}

TEST_CASE("Without a seed or a report every daemon reads the store, spread over time and within half of the catch-up time")
{
    const FleetStart isolated{.isolated = true};
    CHECK(isolated.readers() == isolated.daemons);
    const FirstReadOptions early{.seedIndex = std::nullopt, .catchUp = catchUp, .spread = 0};
    const FirstReadOptions late{.seedIndex = std::nullopt, .catchUp = catchUp, .spread = 1};
    CHECK_FALSE(shouldReadFirst(early, 1400_ms, std::nullopt));
    CHECK(shouldReadFirst(early, 1500_ms, std::nullopt));
    CHECK_FALSE(shouldReadFirst(late, 2600_ms, std::nullopt));
    CHECK(shouldReadFirst(late, 3000_ms, std::nullopt));
}

TEST_CASE("A daemon that cannot get the records from a peer in time reads the store, though peers still report them")
{
    const FirstReadOptions late{.seedIndex = std::nullopt, .catchUp = catchUp, .spread = 1};
    CHECK_FALSE(shouldReadFirst(late, 4000_ms, 50_ms));
    CHECK(shouldReadFirst(late, 4300_ms, 50_ms));
    // A source that has fallen silent is no longer waited for.
    CHECK(shouldReadFirst(late, 3000_ms, 1500_ms));
}

TEST_CASE("A seed does not read while an earlier one has the records")
{
    const FirstReadOptions second{.seedIndex = 1, .catchUp = catchUp, .spread = 0};
    CHECK_FALSE(shouldReadFirst(second, 300_ms, std::nullopt));
    CHECK(shouldReadFirst(second, 400_ms, std::nullopt));
    CHECK_FALSE(shouldReadFirst(second, 400_ms, 50_ms));
}
