#ifndef LABURNUMMAST_CORE_FLEET_UPSTREAMTABLE_H
#define LABURNUMMAST_CORE_FLEET_UPSTREAMTABLE_H

#include "core/fleet/upstreamrecord.h"
#include "core/millis.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Fleet
{

/// One upstream as this daemon believes it to be.
struct KnownUpstream
{
    UpstreamRecord record;
    Millis warmUpEnd;
    /// When its record first came here.
    Millis firstRecordAt;
};

/// The upstreams that may get calls, folded from their records.
///
/// Entries lapse while the store is away, and those of live upstreams come back about two seconds after its return:
/// a removal that falls into that time takes effect only at its end.
class UpstreamTable
{
public:
    void put(const UpstreamRecord &record, Millis now);
    void remove(std::string_view id, Millis now);
    /// The store cannot be read, by anybody known.
    void markStoreUnreachable();
    void markStoreReachable(Millis now);
    /// Carries out removals that were held back. Returns whether any was.
    bool applyDeferredRemovals(Millis now);

    const std::map<std::string, KnownUpstream, std::less<>> &upstreams() const
    {
        return m_upstreams;
    }
    std::size_t deferredRemovalCount() const
    {
        return m_deferredRemovals.size();
    }

private:
    std::map<std::string, KnownUpstream, std::less<>> m_upstreams;
    std::map<std::string, Millis, std::less<>> m_deferredRemovals;
    bool m_storeUnreachable = false;
    Millis m_deferRemovalsUntil{};
};

}

#endif
