#include "core/retry/retrybudget.h"

#include <algorithm>

namespace Laburnummast::Retry
{
namespace
{

// The initial budget lets a service with few calls retry at all; the maximum limits the burst of retries after a long calm period,
// such as an hour.
constexpr double initialTokens = 5;
constexpr double maxTokens = 50;

}

RetryBudget::RetryBudget(double share)
    : m_share(share)
    , m_tokens(share > 0 ? initialTokens : 0)
{
}

void RetryBudget::recordCall()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool RetryBudget::take()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
