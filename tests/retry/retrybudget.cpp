#include "core/retry/retrybudget.h"
#include "core/retry/tokenbucket.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Retry;

TEST_CASE("Extra attempts stay within the initial budget plus their share of the calls in any order")
{
    rc::check([](const std::vector<bool> &steps) {
        RetryBudget budget(0.1);
        double calls = 0;
        double extra = 0;
        for (const bool isCall : steps) {
            if (isCall) {
                budget.recordCall();
                ++calls;
            } else {
                extra += budget.take() ? 1 : 0;
            }
            RC_ASSERT(extra <= 5 + 0.1 * calls + 1e-9);
        }
    });
}

TEST_CASE("A budget with a share of 0 allows no extra attempt")
{
    RetryBudget budget(0);
    budget.recordCall();
    CHECK_FALSE(budget.take());
}

TEST_CASE("A token bucket gives its burst at once and then its rate")
{
    TokenBucket bucket(2, 4);
    int taken = 0;
    for (int i = 0; i < 10; ++i) {
        taken += bucket.take(1, 0_ms) ? 1 : 0;
    }
    CHECK(taken == 4);
    CHECK_FALSE(bucket.take(1, 400_ms));
    CHECK(bucket.take(1, 600_ms));
}
