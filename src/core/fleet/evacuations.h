#ifndef LABURNUMMAST_CORE_FLEET_EVACUATIONS_H
#define LABURNUMMAST_CORE_FLEET_EVACUATIONS_H

#include "core/millis.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace Laburnummast::Fleet
{

/// Failure domains that operators have evacuated: their upstreams get neither calls nor probes.
///
/// After the store has returned from an older copy, the record of an evacuation may be missing until operators have written it again, so
/// that an end is applied only when the time for that is over.
class Evacuations
{
public:
    /// Adds an evacuation and cancels a deferred end of it. Returns whether the domain was not evacuated before.
    bool begin(std::string_view domain);
    /// Ends an evacuation at once, or defers the end while records of the store may be missing. Returns whether it has ended.
    bool end(std::string_view domain, Millis now);
    /// Starts the time in which records may be missing because the store has returned from an older copy.
    void markStoreRestored(Millis now);
    /// Ends the evacuations whose deferred end is due. Returns whether there were any.
    bool applyDeferredEnds(Millis now);

    bool contains(std::string_view domain) const
    {
        return m_domains.contains(domain);
    }
    const std::set<std::string, std::less<>> &domains() const
    {
        return m_domains;
    }

private:
    std::set<std::string, std::less<>> m_domains;
    std::set<std::string, std::less<>> m_deferredEnds;
    Millis m_deferEndsUntil{};
};

}

#endif
