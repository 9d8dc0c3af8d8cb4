#include "entry/freshnessgate.h"

#include "process/wallclock.h"

#include <algorithm>

namespace Laburnummast::Entry
{

void FreshnessGate::setView(const Fleet::FreshnessLimit &limit, std::uint64_t routesVersion)
{
    const auto provenAt = std::max(m_limit.provenAt, limit.provenAt);
    m_limit = limit;
    m_limit.provenAt = provenAt;
    m_routesVersion = routesVersion;
}

void FreshnessGate::setProof(Millis provenAt)
{
    m_limit.provenAt = std::max(m_limit.provenAt, std::optional(provenAt));
}

bool FreshnessGate::isFresh() const
{
    return !m_limit.isRequired || m_limit.permits(Process::bootNow());
}

bool FreshnessGate::permits(const std::optional<CredentialPermit> &permit) const
{
    if (!permit || permit->routesVersion == m_routesVersion) {
        return !permit || isFresh();
    }
    // Later routes may have withdrawn the credential, so only the proof with which it was accepted counts.
    const Fleet::FreshnessLimit limit{.isRequired = m_limit.isRequired, .provenAt = permit->provenAt, .serveFor = m_limit.serveFor};
    return !limit.isRequired || limit.permits(Process::bootNow());
}

std::optional<Millis> FreshnessGate::age() const
{
    return m_limit.provenAt ? std::optional(Process::bootNow() - *m_limit.provenAt) : std::nullopt;
}

}
