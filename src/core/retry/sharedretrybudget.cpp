#include "core/retry/sharedretrybudget.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Retry
{
namespace
{

// Share of the budget that is used. The margin is needed because calls and attempts are counted here at other times than at the
// upstreams.
constexpr double usableShare = 0.85;

}

SharedRetryBudget::SharedRetryBudget(const SharedRetryBudgetOptions &options)
    : m_options(options)
{
}

void SharedRetryBudget::configure(const SharedRetryBudgetOptions &options)
{
    m_options = options;
}

std::int64_t SharedRetryBudget::indexOf(Millis now) const
{
    return static_cast<std::int64_t>(std::floor(now.count / (m_options.window.count / static_cast<double>(bucketCount))));
}

SharedRetryBudget::Bucket &SharedRetryBudget::bucketAt(Millis now)
{
    const auto index = indexOf(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index) {
        bucket = {.index = index};
    }
    return bucket;
}

void SharedRetryBudget::recordCall(Millis now)
{
    bucketAt(now).calls += 1;
}

void SharedRetryBudget::recordExtraAttempt(Millis now)
{
    bucketAt(now).extraAttempts += 1;
}

double SharedRetryBudget::spent(Millis now) const
{
    const auto newest = indexOf(now);
    double sum = 0;
    for (const auto &it : m_buckets) {
        sum += it.index >= newest - static_cast<std::int64_t>(bucketCount) ? it.extraAttempts : 0;
    }
    return sum;
}

double SharedRetryBudget::calls(Millis now) const
{
    const auto newest = indexOf(now);
    double sum = 0;
    for (const auto &it : m_buckets) {
        // One bucket less than for the extra attempts, so that a window never holds fewer calls than are counted here.
        sum += it.index > newest - static_cast<std::int64_t>(bucketCount) ? it.calls : 0;
    }
    return sum;
}

double SharedRetryBudget::allowed(Millis now) const
{
    return usableShare
        * (m_options.ratio * calls(now) + m_options.slack / static_cast<double>(std::max<std::size_t>(1, m_options.daemons)));
}

bool SharedRetryBudget::allows(Millis now, double reserve) const
{
    return spent(now) + 1 <= allowed(now) * (1 - reserve);
}

}
