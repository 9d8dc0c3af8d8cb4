#ifndef LABURNUMMAST_CORE_RETRY_RETRYBUDGET_H
#define LABURNUMMAST_CORE_RETRY_RETRYBUDGET_H

namespace Laburnummast::Retry
{

/// Limits extra attempts to a share of the calls.
class RetryBudget
{
public:
    /// `share` is the number of extra attempts per call; 0 allows none.
    explicit RetryBudget(double share);

    /// Adds the share of one call to the budget.
    void recordCall();
    /// Takes one extra attempt from the budget; returns false if less than one is available.
    bool take();
    /// Extra attempts that are available; may be fractional.
    double available() const
    {
        return m_tokens;
    }
    /// Changes the share for future calls; the available budget stays.
    void setShare(double share)
    {
        m_share = share;
    }

private:
    double m_share;
    double m_tokens;
};

}

#endif
