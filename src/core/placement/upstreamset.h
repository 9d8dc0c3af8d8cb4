#ifndef LABURNUMMAST_CORE_PLACEMENT_UPSTREAMSET_H
#define LABURNUMMAST_CORE_PLACEMENT_UPSTREAMSET_H

#include "core/dispatch/call.h"
#include "core/placement/upstreamview.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Placement
{

using Dispatch::UpstreamId;

/// Outcomes on one upstream since they were last taken, for the other daemons.
struct OutcomeCount
{
    std::string upstream;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
};

/// One upstream of a service, as its dispatcher keeps it.
struct UpstreamEntry
{
    UpstreamView view;
    /// Still listed; calls may be on their way to one that is not.
    bool listed = true;
    /// This daemon prefers it and others do not: its own calls are nearly all that run there.
    bool preferred = false;
    bool probing = false;
    Millis probeStartedAt;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
};

/// The upstreams of a service under small ids, which stay valid while calls or probes are on their way there.
class UpstreamSet
{
public:
    void update(std::span<const UpstreamSpec> specs);
    /// Marks those that the daemon at `place` prefers; see preferredUpstreams().
    void assignPreferred(std::span<const std::string> daemonDomains, std::size_t daemonIndex);

    UpstreamEntry &operator[](UpstreamId id)
    {
        return m_entries[id];
    }
    const UpstreamEntry &operator[](UpstreamId id) const
    {
        return m_entries[id];
    }
    /// One more than the largest id; includes ids that are free.
    UpstreamId size() const
    {
        return static_cast<UpstreamId>(m_entries.size());
    }
    std::size_t listedCount() const
    {
        return m_listedCount;
    }
    std::optional<UpstreamId> idOf(std::string_view name) const;

    std::vector<OutcomeCount> takeOutcomes();
    void recordPeerOutcomes(std::span<const OutcomeCount> outcomes, Millis now);

private:
    void add(const UpstreamSpec &spec);
    void releaseUnlisted();

    std::vector<UpstreamEntry> m_entries;
    std::map<std::string, UpstreamId, std::less<>> m_ids;
    std::vector<UpstreamId> m_freeIds;
    std::size_t m_listedCount = 0;
};

}

#endif
