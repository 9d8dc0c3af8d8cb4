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
/// is reachable again. A removal within that period takes effect only at its end. The same holds after the store has returned from an older
/// copy; a record of it that is older than what is known of the upstream also takes effect only at the end of the period.
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
    /// Starts that period because the store has returned from an older copy, whose records follow.
    void markStoreRestored(Millis now);
    /// Carries out the deferred removals once that period has ended. Returns whether there were any.
    bool applyDeferredRemovals(Millis now);
    /// Applies the records that were held back as older, if they are still the latest ones after that period. Returns whether there were
    /// any.
    bool applyHeldRecords(Millis now);

    const std::map<std::string, KnownUpstream, std::less<>> &upstreams() const
    {
        return m_upstreams;
    }
    std::size_t deferredRemovalCount() const
    {
        return m_deferredRemovals.size();
    }

    std::size_t heldRecordCount() const
    {
        return m_heldRecords.size();
    }

private:
    /// An upstream that was removed.
    struct Departure
    {
        std::int64_t startedAt = 0;
        Millis at;
    };

    /// Whether a record is from before the upstream started again, announced draining or was removed.
    bool isOlder(const UpstreamRecord &record) const;
    void erase(std::string_view id, Millis now);

    std::map<std::string, KnownUpstream, std::less<>> m_upstreams;
    /// Time of the first removal by upstream id.
    std::map<std::string, Millis, std::less<>> m_deferredRemovals;
    /// Last removal by upstream id.
    std::map<std::string, Departure, std::less<>> m_departures;
    /// Latest record by upstream id that is older than what is known of the upstream.
    std::map<std::string, UpstreamRecord, std::less<>> m_heldRecords;
    /// End of the period in which such records are held back.
    Millis m_holdOlderRecordsUntil{};
    bool m_storeUnreachable = false;
    Millis m_deferRemovalsUntil{};
};

}

#endif
