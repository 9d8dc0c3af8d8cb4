#include "core/retry/sharedretrybudget.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Retry;

TEST_CASE("All daemons together stay within the budget in every sliding window for any distribution of calls")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random(seed);
        constexpr std::size_t daemons = 19;
        std::vector<SharedRetryBudget> budgets(daemons, SharedRetryBudget({.ratio = 0.2, .slack = 64, .window = 10_s, .daemons = daemons}));
        std::deque<Millis> calls;
        std::deque<Millis> extraAttempts;
        std::size_t mostExtraAttempts = 0;
        for (Millis now{}; now < 60_s; now += 1_ms) {
            // The load is 20 calls a second with a phase of 800; every call requests an extra attempt.
            const double rate = now.count < 20000 || now.count > 40000 ? 0.02 : 0.8;
            std::poisson_distribution<int> arrivals(rate);
            for (int i = arrivals(random); i > 0; --i) {
                auto &budget = budgets[random() % daemons];
                budget.recordCall(now);
                calls.push_back(now);
                if (budget.allows(now)) {
                    budget.recordExtraAttempt(now);
                    extraAttempts.push_back(now);
                }
            }
            while (!extraAttempts.empty() && extraAttempts.front() + 10_s < now) {
                extraAttempts.pop_front();
            }
            while (!calls.empty() && calls.front() + 10_s < now) {
                calls.pop_front();
            }
            CHECK(static_cast<double>(extraAttempts.size()) <= 0.2 * static_cast<double>(calls.size()) + 64);
            mostExtraAttempts = std::max(mostExtraAttempts, extraAttempts.size());
        }
        CHECK(mostExtraAttempts > 64);
    }
}

TEST_CASE("A reserve leaves part of the budget to requests without one")
{
    SharedRetryBudget budget({.ratio = 0, .slack = 10, .window = 10_s, .daemons = 1});
    int hedges = 0;
    while (budget.allows(0_ms, 0.5)) {
        budget.recordExtraAttempt(0_ms);
        ++hedges;
    }
    CHECK(hedges == 4);
    CHECK(budget.allows(0_ms));
}
