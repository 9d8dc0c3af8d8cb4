#ifndef LABURNUMMAST_CORE_RETRY_RETRYBUDGET_H
#define LABURNUMMAST_CORE_RETRY_RETRYBUDGET_H

namespace Laburnummast::Retry
{

/// Bounds extra attempts to a share of the calls.
class RetryBudget
{
public:
    /// `share` is extra attempts per call.
    explicit RetryBudget(double share);

    void recordCall();
    /// Takes one extra attempt if the budget has it.
    bool take();
    double available() const
    {
        return m_tokens;
    }
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
