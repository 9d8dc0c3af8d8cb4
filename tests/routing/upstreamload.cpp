#include "core/routing/upstreamload.h"
#include "core/routing/latencyhistogram.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Routing;

namespace
{

constexpr Millis typicalLatency = 20_ms;

// Sends one call that takes `latency` and ends with `outcome`; returns the time at which it ends.
Millis callOnce(UpstreamLoad &load, Millis now, Millis latency, AttemptOutcome outcome, std::optional<LoadReport> report = std::nullopt)
{
    const auto attempt = load.startAttempt(Priority::Normal, now);
    load.endAttempt(attempt, outcome, report, typicalLatency, now + latency);
    return now + latency;
}

}

TEST_CASE("An upstream ten times slower than a healthy one costs more within a few calls")
{
    UpstreamLoad slow(3, 0_ms, false);
    UpstreamLoad healthy(3, 0_ms, false);
    Millis now = 0_ms;
    for (int i = 0; i < 8; ++i) {
        callOnce(healthy, now, 20_ms, AttemptOutcome::Answered);
        now = callOnce(slow, now, 200_ms, AttemptOutcome::Answered);
    }
    CHECK(slow.slowness(now, typicalLatency) > 2);
    CHECK(healthy.slowness(now, typicalLatency) == doctest::Approx(1));
    CHECK(slow.cost(now, typicalLatency) > 2 * healthy.cost(now, typicalLatency));
}

TEST_CASE("Unanswered calls in flight raise the slowness before any answer arrives")
{
    UpstreamLoad load(3, 0_ms, false);
    load.startAttempt(Priority::Normal, 0_ms);
    CHECK(load.slowness(30_ms, typicalLatency) == doctest::Approx(1));
    CHECK(load.slowness(300_ms, typicalLatency) > 4);
}

TEST_CASE("The slowness of an upstream decays without new calls")
{
    UpstreamLoad load(3, 0_ms, false);
    Millis now = 0_ms;
    for (int i = 0; i < 8; ++i) {
        now = callOnce(load, now, 200_ms, AttemptOutcome::Answered);
    }
    CHECK(load.slowness(now, typicalLatency) > 2);
    CHECK(load.slowness(now + 10_s, typicalLatency) == doctest::Approx(1));
}

TEST_CASE("Fast failures raise the cost of an upstream and make it an outlier")
{
    UpstreamLoad load(3, 0_ms, false);
    const double before = load.cost(0_ms, typicalLatency);
    Millis now = callOnce(load, 0_ms, 1_ms, AttemptOutcome::Failed);
    CHECK(load.cost(now, typicalLatency) > before);
    now = callOnce(load, now, 1_ms, AttemptOutcome::Failed);
    now = callOnce(load, now, 1_ms, AttemptOutcome::Failed);
    CHECK(load.isOutlier());
    load.eject(now);
    CHECK(load.ejected(now + 500_ms));
    CHECK(load.onTrial(now + 1100_ms));
    callOnce(load, now + 1100_ms, 1_ms, AttemptOutcome::Failed);
    CHECK(load.isOutlier());
    load.eject(now + 1200_ms);
    CHECK(load.ejected(now + 2900_ms));
}

TEST_CASE("A successful probe does not end an ejection")
{
    UpstreamLoad load(3, 0_ms, false);
    load.eject(0_ms);
    load.recordProbe(true, {.inFlight = 0}, 10_ms);
    CHECK(load.ejected(20_ms));
    CHECK(load.onTrial(1100_ms));
}

TEST_CASE("A load report loses weight with age")
{
    UpstreamLoad load(3, 0_ms, false);
    callOnce(load, 0_ms, 1_ms, AttemptOutcome::Answered, LoadReport{.inFlight = 12});
    const double fresh = load.othersInFlight(1_ms);
    CHECK(fresh == doctest::Approx(12));
    CHECK(load.othersInFlight(200_ms) < fresh / 2);
}

TEST_CASE("The limit falls when calls are shed and rises again with answers")
{
    UpstreamLoad load(3, 0_ms, false);
    Millis now = 0_ms;
    for (int i = 0; i < 20; ++i) {
        now = callOnce(load, now, 1_ms, AttemptOutcome::Shed);
    }
    CHECK(load.limit() == doctest::Approx(1));
    for (int i = 0; i < 100; ++i) {
        now = callOnce(load, now, 20_ms, AttemptOutcome::Answered, LoadReport{.inFlight = 1});
    }
    CHECK(load.limit() == doctest::Approx(4));
}

TEST_CASE("A histogram quantile is accurate to one bucket")
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.add(Millis{static_cast<double>(i)});
    }
    CHECK(histogram.quantile(0.5).count >= 500);
    CHECK(histogram.quantile(0.5).count <= 600);
    CHECK(histogram.quantile(0.95).count >= 950);
    CHECK(histogram.quantile(0.95).count <= 1140);
}
