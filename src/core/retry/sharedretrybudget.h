#ifndef LABURNUMMAST_CORE_RETRY_SHAREDRETRYBUDGET_H
#define LABURNUMMAST_CORE_RETRY_SHAREDRETRYBUDGET_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Retry
{

/// Options of a SharedRetryBudget.
struct SharedRetryBudgetOptions
{
    /// Allowed extra attempts per call, over all daemons.
    double ratio = 0.2;
    /// Additional extra attempts in each window, over all daemons together.
    double slack = 64;
    /// Length of the sliding window.
    Millis window{10000};
    /// Number of daemons that share the slack.
    std::size_t daemons = 1;
};

/// One daemon's part of a budget of extra attempts that all daemons share.
///
/// Each daemon may spend the ratio of its own calls plus an equal part of the slack, so the sum stays within the budget in
/// every sliding window without communication between daemons.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions &options);

    void configure(const SharedRetryBudgetOptions &options);
    /// Counts a call that this daemon received.
    void recordCall(Millis now);
    /// Whether one more extra attempt fits; `reserve` is the share of the budget that must stay unused, 0 to 1.
    bool allows(Millis now, double reserve = 0) const;
    /// Counts an extra attempt that was sent.
    void recordExtraAttempt(Millis now);
    /// Calls received in the current window.
    double calls(Millis now) const;
    /// Extra attempts sent in the current window.
    double spent(Millis now) const;
    /// Extra attempts that this daemon may send in the current window.
    double allowed(Millis now) const;

private:
    static constexpr std::size_t bucketCount = 20;

    /// Counts of one part of the window.
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
