#include "core/admission/fairqueue.h"
#include "core/admission/floorcredits.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Admission;

namespace
{

QueuedCall makeCall(CallId id, Millis queuedAt = {}, Millis expiresAt = 1000_s)
{
    return {.id = id, .queuedAt = queuedAt, .expiresAt = expiresAt};
}

}

TEST_CASE("Waiting flows are served in proportion to their weights")
{
    rc::check([] {
        const auto weightA = *rc::gen::inRange(1, 9);
        const auto weightB = *rc::gen::inRange(1, 9);
        FlowClock clock;
        FairQueue queue(clock);
        for (CallId i = 0; i < 2000; ++i) {
            queue.push(1, weightA, makeCall(2 * i));
            queue.push(2, weightB, makeCall(2 * i + 1));
        }
        std::map<CallId, int> served;
        constexpr int rounds = 900;
        for (int i = 0; i < rounds; ++i) {
            ++served[queue.pop(ServeOrder::OldestFirst)->id % 2];
        }
        const double share = static_cast<double>(served[0]) / rounds;
        const double expectedShare = static_cast<double>(weightA) / (weightA + weightB);
        RC_ASSERT(std::abs(share - expectedShare) < 0.01);
    });
}

TEST_CASE("A flow does not accumulate service while it is idle")
{
    FlowClock clock;
    FairQueue queue(clock);
    for (CallId i = 0; i < 200; ++i) {
        queue.push(1, 1, makeCall(i));
    }
    for (int i = 0; i < 100; ++i) {
        queue.pop(ServeOrder::OldestFirst);
    }
    for (CallId i = 1000; i < 1100; ++i) {
        queue.push(2, 1, makeCall(i));
    }
    int fromIdleFlow = 0;
    for (int i = 0; i < 20; ++i) {
        fromIdleFlow += queue.pop(ServeOrder::OldestFirst)->id >= 1000 ? 1 : 0;
    }
    CHECK(fromIdleFlow <= 11);
    CHECK(fromIdleFlow >= 9);
}

TEST_CASE("The newest call of a flow is served first in newest-first order")
{
    FlowClock clock;
    FairQueue queue(clock);
    queue.push(1, 1, makeCall(1));
    queue.push(1, 1, makeCall(2));
    CHECK(queue.pop(ServeOrder::NewestFirst)->id == 2);
    queue.requeue(1, 1, makeCall(3), ServeOrder::NewestFirst);
    CHECK(queue.pop(ServeOrder::NewestFirst)->id == 3);
    CHECK(queue.pop(ServeOrder::NewestFirst)->id == 1);
    CHECK_FALSE(queue.pop(ServeOrder::NewestFirst));
}

TEST_CASE("The oldest call of the longest flow is dropped")
{
    FlowClock clock;
    FairQueue queue(clock);
    queue.push(1, 1, makeCall(10));
    for (CallId i = 20; i < 25; ++i) {
        queue.push(2, 1, makeCall(i));
    }
    CHECK(queue.dropFromLongest()->id == 20);
    CHECK(queue.size(1) == 1);
    CHECK(queue.size() == 5);
}

TEST_CASE("Only expired calls are removed")
{
    FlowClock clock;
    FairQueue queue(clock);
    queue.push(1, 1, makeCall(1, 0_ms, 10_ms));
    queue.push(1, 1, makeCall(2, 0_ms, 30_ms));
    queue.push(2, 1, makeCall(3, 0_ms, 20_ms));
    std::vector<QueuedCall> expired;
    queue.removeExpired(20_ms, expired);
    CHECK(expired.size() == 2);
    CHECK(queue.size() == 1);
    CHECK(queue.remove(2));
    CHECK_FALSE(queue.remove(2));
    CHECK(queue.empty());
}

TEST_CASE("A priority gets its guaranteed share while more urgent calls wait")
{
    FloorCredits credits({0, 0.08, 0.04});
    std::array<int, priorityCount> served{};
    constexpr int rounds = 10000;
    for (int i = 0; i < rounds; ++i) {
        const auto next = credits.isEntitled(Priority::Normal) ? Priority::Normal
            : credits.isEntitled(Priority::Deferrable)         ? Priority::Deferrable
                                                               : Priority::Urgent;
        credits.recordDispatch(next, {true, true, true});
        ++served[indexOf(next)];
    }
    CHECK(served[1] >= rounds * 8 / 100 - 1);
    CHECK(served[2] >= rounds * 4 / 100 - 1);
    CHECK(served[1] + served[2] <= rounds * 13 / 100);
}

TEST_CASE("A priority accumulates no floor credit while none of its calls wait")
{
    FloorCredits credits({0, 0.5, 0});
    for (int i = 0; i < 100; ++i) {
        credits.recordDispatch(Priority::Urgent, {true, false, false});
    }
    CHECK_FALSE(credits.isEntitled(Priority::Normal));
}
