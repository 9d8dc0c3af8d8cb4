#ifndef LABURNUMMAST_CORE_PLACEMENT_UPSTREAMSET_H
#define LABURNUMMAST_CORE_PLACEMENT_UPSTREAMSET_H

#include "core/dispatch/call.h"
#include "core/limits/coldlimit.h"
#include "core/limits/limitshare.h"
#include "core/limits/upstreamlimit.h"
#include "core/placement/upstreamavailability.h"
#include "core/placement/upstreamview.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Placement
{

using Dispatch::UpstreamId;

/// Outcomes of attempts on one upstream since they were last taken, to be reported to other daemons.
struct OutcomeCount
{
    std::string upstream;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
};

/// Limit of an upstream, to be reported to other daemons.
struct NamedLimit
{
    std::string upstream;
    Limits::LimitObservation observation;
    /// The limit has begun or ended; otherwise it was only confirmed.
    bool isChange = false;
};

/// State that a dispatcher keeps for one upstream of its service.
struct UpstreamEntry
{
    UpstreamView view;
    UpstreamAvailability availability;
    Limits::UpstreamLimit limit;
    Limits::ColdLimit cold;
    /// Reports to other daemons that the limit is still to be part of, and whether it began or ended since the last one.
    int limitReportsDue = 0;
    bool limitChanged = false;
    /// When the limit last began or ended.
    Millis limitChangedAt{};
    /// In the current list of upstreams; one that is not may still have calls or probes in flight.
    bool listed = true;
    /// This daemon prefers it. Unless there are more daemons than upstreams, no other daemon does, so that nearly all calls running
    /// there are its own. See preferredUpstreams().
    bool preferred = false;
    /// Place in this daemon's own order of the upstreams, 0 for the first one; daemons have different orders.
    std::size_t affinityRank = 0;
    /// A probe is in flight.
    bool probing = false;
    Millis probeStartedAt;
    /// Time that probes take, smoothed; empty before the first one was answered.
    std::optional<Millis> probeTime;
    /// Outcomes that this daemon observed since the last takeOutcomes().
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;

    /// A limit is in force: one that the upstream named, or that of a cold upstream.
    bool isLimited(Millis now) const
    {
        return limit.perSecond(now) || cold.isCold(now);
    }
    /// Calls per second that this daemon may send while a limit is in force.
    double share(Millis now) const;
    /// When the limits allow this daemon the next call; empty if they allow only other daemons any.
    std::optional<Millis> nextCallAt(Millis now) const;
    bool allowsCall(Millis now) const
    {
        const auto at = nextCallAt(now);
        return at && *at <= now;
    }
};

/// The upstreams of a service, indexed by small ids that stay valid while calls or probes are in flight to the upstream.
///
/// The id of an upstream that is no longer listed is reused once nothing is in flight to it. What such an upstream said about its
/// availability is remembered, in case it is listed again without having restarted.
class UpstreamSet
{
public:
    /// Replaces the list of upstreams; keeps the state of those that stay.
    void update(std::span<const UpstreamSpec> specs);
    /// Marks the upstreams that the daemon at `daemonIndex` prefers; see preferredUpstreams().
    void assignPreferred(std::span<const std::string> daemonDomains, std::size_t daemonIndex);
    /// Ranks the listed upstreams in an order that depends on the host of this daemon.
    void assignAffinity(std::string_view host);

    UpstreamEntry &operator[](UpstreamId id)
    {
        return m_entries[id];
    }
    const UpstreamEntry &operator[](UpstreamId id) const
    {
        return m_entries[id];
    }
    /// One more than the largest id; includes unused ids.
    UpstreamId size() const
    {
        return static_cast<UpstreamId>(m_entries.size());
    }
    /// Number of upstreams in the current list.
    std::size_t listedCount() const
    {
        return m_listedCount;
    }
    /// Sets the daemons that divide the limits among themselves.
    void assignLimitPool(const std::shared_ptr<const Limits::LimitPool> &pool, const Limits::ColdBound &coldBound, Millis now);
    /// Applies what an answer to this daemon said about a limit (`isOwn`) or what another daemon reported.
    Limits::LimitChange observeLimit(UpstreamId id, const Limits::LimitObservation &observation, bool isOwn, Millis now);
    /// Returns the limits to report to other daemons: those that began or ended, and those that answers to this daemon confirmed.
    std::vector<NamedLimit> takeNamedLimits();
    /// Applies what an answer said about the availability of an upstream. `startedAt` is the start of the upstream for which the request
    /// was meant; a notice about an earlier start is ignored.
    AvailabilityChange observeAvailability(UpstreamId id, std::int64_t startedAt, const AvailabilityNotice &notice, Millis now);
    /// Number of upstreams in the current list that accept no calls from this daemon, because they are leaving or paused.
    std::size_t unavailableCount(Millis now) const;
    /// Number of upstreams in the current list that are known to be cold and have a limit.
    std::size_t coldCount(Millis now) const;
    /// Number of upstreams in the current list with a limit in force.
    std::size_t limitedCount(Millis now) const;
    /// Returns nothing if the name is unknown.
    std::optional<UpstreamId> idOf(std::string_view name) const;

    /// Returns and resets the outcomes that this daemon observed; upstreams without any are left out.
    std::vector<OutcomeCount> takeOutcomes();
    /// Adds outcomes that other daemons observed; those of unknown upstreams are ignored.
    void recordPeerOutcomes(std::span<const OutcomeCount> outcomes, Millis now);

private:
    /// Availability of an upstream that is not listed at present.
    struct RememberedAvailability
    {
        std::string upstream;
        std::int64_t startedAt = 0;
        UpstreamAvailability availability;
    };

    void add(const UpstreamSpec &spec);
    /// Returns and forgets what an upstream that was listed before said since that start.
    UpstreamAvailability takeRemembered(const UpstreamSpec &spec);
    void assignLimitShare(UpstreamEntry &entry, Millis now) const;
    void assignColdShare(UpstreamEntry &entry, Millis now) const;
    double shareOf(const UpstreamEntry &entry, double perSecond) const;
    /// Frees the ids of unlisted upstreams that have nothing in flight.
    void releaseUnlisted();

    std::vector<UpstreamEntry> m_entries;
    std::map<std::string, UpstreamId, std::less<>> m_ids;
    std::vector<UpstreamId> m_freeIds;
    std::size_t m_listedCount = 0;
    /// Oldest first.
    std::deque<RememberedAvailability> m_remembered;
    std::shared_ptr<const Limits::LimitPool> m_limitPool;
    Limits::ColdBound m_coldBound;
};

}

#endif
