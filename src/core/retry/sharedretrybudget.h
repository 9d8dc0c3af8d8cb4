#ifndef LABURNUMMAST_CORE_RETRY_SHAREDRETRYBUDGET_H
#define LABURNUMMAST_CORE_RETRY_SHAREDRETRYBUDGET_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Retry
{

struct SharedRetryBudgetOptions
{
    /// Extra attempts per call, over all daemons.
    double ratio = 0.2;
    /// Extra attempts beyond that in each window, over all daemons together.
    double slack = 64;
    Millis window{10000};
    /// Daemons that spend of the same slack.
    std::size_t daemons = 1;
};

/// This daemon's share of a budget of extra attempts that all daemons have together.
///
/// Each spends its ratio on the calls that it took itself and its even part of the slack, so the sum stays
/// within the budget in every sliding window without a word between daemons.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions &options);

    void configure(const SharedRetryBudgetOptions &options);
    void recordCall(Millis now);
    /// Whether an extra attempt fits; `reserve` is the share of the budget that is left to others.
    bool allows(Millis now, double reserve = 0) const;
    void recordExtraAttempt(Millis now);
    double spent(Millis now) const;
    double allowed(Millis now) const;

private:
    static constexpr std::size_t bucketCount = 20;

    struct Bucket
    {
        std::int64_t index = -1;
        double calls = 0;
        double extraAttempts = 0;
    };

    std::int64_t indexOf(Millis now) const;
    Bucket &bucketAt(Millis now);

    SharedRetryBudgetOptions m_options;
    std::array<Bucket, bucketCount + 1> m_buckets{};
};

}

#endif
