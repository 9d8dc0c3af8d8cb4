#include "core/retry/retrybudget.h"

#include <algorithm>

namespace Laburnummast::Retry
{
namespace
{

// Lets a quiet service retry at all, and bounds the burst after a calm hour.
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
