#include "core/placement/latencymodel.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Placement;

namespace
{

// A model with a typical latency of 100 ms, learned from eight answers.
LatencyModel modelWithMeasuredLatency()
{
    LatencyModel model;
    for (int i = 0; i < 8; ++i) {
        model.learn({.utilization = 1.0 / 3}, 0, 100_ms);
    }
    return model;
}

}

TEST_CASE("A third call on three slots counts as a throughput gain only after answers show little contention")
{
    auto model = modelWithMeasuredLatency();
    CHECK(model.increasesThroughput(0, 3));
    CHECK(model.increasesThroughput(1, 3));
    CHECK_FALSE(model.increasesThroughput(2, 3));
    for (int i = 0; i < 100; ++i) {
        model.learn({.utilization = 1}, 0, 105_ms);
    }
    CHECK(model.increasesThroughput(2, 3));
    CHECK_FALSE(model.increasesThroughput(3, 3));
}

TEST_CASE("A call gains throughput on a single slot that is free and none on one that is taken")
{
    const LatencyModel model;
    CHECK(model.increasesThroughput(0, 1));
    CHECK_FALSE(model.increasesThroughput(1, 1));
}

TEST_CASE("Strong contention below full utilization makes a further call no throughput gain")
{
    auto model = modelWithMeasuredLatency();
    for (int i = 0; i < 100; ++i) {
        model.learn({.utilization = 2.0 / 3}, 0, 300_ms);
    }
    CHECK_FALSE(model.increasesThroughput(1, 3));
}

TEST_CASE("The persistence is learned from the latency at a reported slowness")
{
    auto model = modelWithMeasuredLatency();
    for (int i = 0; i < 200; ++i) {
        model.learn({.utilization = 1.0 / 3, .slowness = 5}, 0, 180_ms);
    }
    CHECK(model.persistence() == doctest::Approx(0.2).epsilon(0.05));
    CHECK(model.expectedLatency({.utilization = 1.0 / 3, .slowness = 5}).count == doctest::Approx(180).epsilon(0.05));
}

TEST_CASE("The typical latency is the mean of the first answers, not the first answer")
{
    LatencyModel model;
    model.learn({.utilization = 1.0 / 3}, 0, 20_ms);
    for (int i = 0; i < 9; ++i) {
        model.learn({.utilization = 1.0 / 3}, 0, 100_ms);
    }
    CHECK(model.typicalLatency().count == doctest::Approx(92));
}

TEST_CASE("A call that ends at high utilization does not change the typical latency")
{
    auto model = modelWithMeasuredLatency();
    for (int i = 0; i < 100; ++i) {
        model.learn({.utilization = 1.0 / 3}, 1, 270_ms);
    }
    CHECK(model.typicalLatency().count == doctest::Approx(100));
}

TEST_CASE("The contention factor of full upstreams is learned from the sample of another daemon")
{
    auto sender = modelWithMeasuredLatency();
    for (int i = 0; i < 20; ++i) {
        sender.learn({.utilization = 1}, 1, 105_ms);
    }
    const auto sample = sender.takeSample();
    CHECK(sample.answers == 20);
    CHECK(sample.factor == doctest::Approx(1.05));
    CHECK(sender.takeSample().answers == 0);
    auto receiver = modelWithMeasuredLatency();
    CHECK_FALSE(receiver.increasesThroughput(2, 3));
    CHECK_FALSE(receiver.fullContentionKnown());
    receiver.learnFromPeer(sample);
    CHECK(receiver.increasesThroughput(2, 3));
    CHECK(receiver.fullContentionKnown());
}

TEST_CASE("Without load reports the typical latency follows the faster calls")
{
    LatencyModel model;
    for (int i = 0; i < 300; ++i) {
        model.learnWithoutLoad(i % 4 == 0 ? 500_ms : 100_ms);
    }
    CHECK(model.typicalLatency() < 150_ms);
}
