#ifndef LABURNUMMAST_CORE_LIMITS_OWNSHARE_H
#define LABURNUMMAST_CORE_LIMITS_OWNSHARE_H

#include "core/limits/allowance.h"
#include "core/retry/tokenbucket.h"

#include <cstddef>

namespace Laburnummast::Limits
{

/// A daemon's own share of the rate of a workspace, used while the home does not answer.
///
/// It starts empty and is small at first, while the home may still grant the full rate because it does not know yet that this daemon is
/// cut off.
class OwnShare
{
public:
    /// Starts with an empty share. `knownDaemons` may be 0, which leaves no share.
    void start(const Allowance &allowance, std::size_t knownDaemons, Millis now);
    /// Takes the token for one call; returns false if there is none.
    bool take(const Allowance &allowance, std::size_t knownDaemons, Millis now);
    /// Time until take() may succeed, as far as known; at most a few seconds.
    Millis retryAfter(Millis now);

private:
    void advance(const Allowance &allowance, std::size_t knownDaemons, Millis now);
    void setRate(const Allowance &allowance, std::size_t knownDaemons);

    Retry::TokenBucket m_bucket{0, 0};
    double m_perSecond = 0;
    Millis m_startedAt;
    bool m_isFull = false;
};

}

#endif
