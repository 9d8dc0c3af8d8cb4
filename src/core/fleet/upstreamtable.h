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

/// One upstream as known to this daemon.
struct KnownUpstream
{
    UpstreamRecord record;
    /// When the upstream is no longer slow after its start.
    Millis warmUpEnd;
    /// When the first record since the start of the upstream arrived here.
    Millis firstRecordAt;
};

/// Upstreams that may receive calls, built from their registration records.
///
/// Registrations expire while the store is unreachable, and live upstreams register again within about two seconds after it
/// is reachable again. A removal within that period takes effect only at its end.
class UpstreamTable
{
public:
    /// Adds or updates an upstream and cancels a deferred removal of it.
    void put(const UpstreamRecord &record, Millis now);
    /// Removes an upstream at once, or defers the removal while registrations may be missing because of the store.
    void remove(std::string_view id, Millis now);
    /// Defers removals from now on: no known daemon can read the store.
    void markStoreUnreachable();
    /// Starts the period in which upstreams register again, if the store was unreachable.
    void markStoreReachable(Millis now);
    /// Carries out the deferred removals once that period has ended. Returns whether there were any.
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
    /// Time of the first removal by upstream id.
    std::map<std::string, Millis, std::less<>> m_deferredRemovals;
    bool m_storeUnreachable = false;
    Millis m_deferRemovalsUntil{};
};

}

#endif
