#ifndef LABURNUMMAST_CORE_RETRY_TOKENBUCKET_H
#define LABURNUMMAST_CORE_RETRY_TOKENBUCKET_H

#include "core/millis.h"

#include <algorithm>

namespace Laburnummast::Retry
{

/// Token bucket that limits a rate to `perSecond` tokens and stores at most `burst` of them; starts full.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Takes `amount` tokens; returns false and takes none if fewer are available.
    bool take(double amount, Millis now)
    {
        refill(now);
        if (m_tokens < amount) {
            return false;
        }
        m_tokens -= amount;
        return true;
    }

    /// Available tokens as a share of the burst, 0 to 1; 0 if the burst is 0.
    double fillLevel(Millis now)
    {
        refill(now);
        return m_burst > 0 ? m_tokens / m_burst : 0;
    }

    /// Tokens that can be taken.
    double available(Millis now)
    {
        refill(now);
        return m_tokens;
    }

    /// Time until `amount` tokens, at most the burst, can be taken; 0 if they can be taken now. The rate must be greater than 0.
    Millis timeUntil(double amount, Millis now)
    {
        refill(now);
        return 1_s * (std::max(0.0, amount - m_tokens) / m_perSecond);
    }

    /// Changes the rate and the burst; the available tokens are kept up to the new burst.
    void setRate(double perSecond, double burst)
    {
        m_perSecond = perSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

private:
    void refill(Millis now)
    {
        const Millis elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens = std::min(m_burst, m_tokens + m_perSecond * std::max(0.0, elapsed / 1_s));
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    Millis m_refilledAt{};
};

}

#endif
