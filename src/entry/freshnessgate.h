#ifndef LABURNUMMAST_ENTRY_FRESHNESSGATE_H
#define LABURNUMMAST_ENTRY_FRESHNESSGATE_H

#include "core/fleet/freshness.h"

#include <cstdint>
#include <optional>

namespace Laburnummast::Entry
{

/// Proof with which the credential of a call was accepted.
struct CredentialPermit
{
    /// Version of the routes that has the credential.
    std::uint64_t routesVersion = 0;
    std::optional<Millis> provenAt;
};

/// Decides on the traffic thread whether calls with a credential may be passed on; costs a comparison and a reading of the clock.
class FreshnessGate
{
public:
    /// Applies the routes of a new view and the proof that they are current.
    void setView(const Fleet::FreshnessLimit &limit, std::uint64_t routesVersion);
    /// Applies a later proof for the same routes.
    void setProof(Millis provenAt);

    /// Whether calls with a credential may be accepted now.
    bool isFresh() const;
    /// Permit for a call that is accepted now.
    CredentialPermit permit() const
    {
        return {.routesVersion = m_routesVersion, .provenAt = m_limit.provenAt};
    }
    /// Whether an attempt of a call that was accepted with `permit` may be sent now; without one, no credential was needed.
    bool permits(const std::optional<CredentialPermit> &permit) const;
    /// Age of the proof; empty if there is none.
    std::optional<Millis> age() const;

private:
    Fleet::FreshnessLimit m_limit;
    std::uint64_t m_routesVersion = 0;
};

}

#endif
