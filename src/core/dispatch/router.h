#ifndef LABURNUMMAST_CORE_DISPATCH_ROUTER_H
#define LABURNUMMAST_CORE_DISPATCH_ROUTER_H

#include "core/dispatch/call.h"
#include "core/routing/latencyhistogram.h"
#include "core/routing/upstreamload.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Dispatch
{

/// Name, location and capacity of an upstream.
struct UpstreamSpec
{
    std::string name;
    /// Failure domain of the upstream.
    std::string domain;
    /// Calls that the upstream runs at the same time.
    int slots = 3;
};

/// Restricts the upstreams that a call may use.
enum class SelectionRule : std::uint8_t {
    /// Any upstream with fewer calls of this dispatcher in flight than its limit.
    AnyUpstream,
    /// The upstreams assigned to this dispatcher; another one only if it has an idle slot.
    AssignedUpstreams,
};

/// Tracks the upstreams of one service from the view of one dispatcher and chooses among them.
class Router
{
public:
    /// An upstream with what is known of it.
    struct UpstreamState
    {
        UpstreamSpec spec;
        Routing::UpstreamLoad load;
        /// Whether the upstream is in the current list. The index of an unlisted one is reused once it has no calls in flight.
        bool listed = true;
        /// Whether the upstream is assigned to this dispatcher.
        bool assigned = true;
        /// When the last probe was requested.
        Millis lastProbe;
        /// When the last attempt was sent.
        Millis lastAttempt;
    };

    /// `domain` is the failure domain whose upstreams are preferred.
    Router(std::string domain, std::uint64_t seed);

    /// Replaces the list of upstreams; known ones keep their load state, removed ones finish their calls in flight.
    void setUpstreams(std::span<const UpstreamSpec> specs, Millis now);
    /// Sets the dispatchers that share the service and divides the upstreams among them; see `SelectionRule`.
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    /// Sets whether the named upstream is draining; a draining upstream is never chosen.
    void setDraining(std::string_view name, bool draining);

    /// The cheapest upstream that the rule allows and that is not in `excluded`; empty if there is none.
    std::optional<UpstreamId> choose(SelectionRule rule, std::span<const UpstreamId> excluded, Millis now);
    /// Records that an attempt was sent; the returned value must be passed to `endAttempt`.
    Routing::AttemptStart startAttempt(UpstreamId id, Priority priority, Millis now);
    /// Records the result of an attempt and ejects the upstream if it is an outlier.
    void endAttempt(UpstreamId id, const Routing::AttemptStart &attempt, const AttemptResult &result, Millis now);
    /// Records the result of a probe; `report` is used only if `healthy`.
    void recordProbe(UpstreamId id, bool healthy, const LoadReport &report, Millis now);
    /// Appends to `due` the upstreams from which nothing was heard for `interval`; each at most once per `interval`.
    void findDueForProbe(Millis now, Millis interval, std::vector<UpstreamId> &due);

    /// Median latency without the queueing expected from the calls ahead; 0 while unknown.
    Millis typicalLatency() const
    {
        return m_typicalLatency;
    }
    /// Latency within which the share `q` of the calls were answered; 0 while unknown.
    Millis latencyQuantile(double q) const
    {
        return m_latencies.quantile(q);
    }
    /// All upstreams, indexed by `UpstreamId`, including removed ones.
    std::span<const UpstreamState> upstreams() const
    {
        return m_upstreams;
    }
    /// Number of listed upstreams that are neither draining nor ejected.
    std::size_t usableCount(Millis now) const;

private:
    bool isEligible(const UpstreamState &upstream, SelectionRule rule, double baseline, Millis now) const;
    double baselineSlowness(Millis now, bool ignoreEjection) const;
    bool hasRoomForNonUrgent(const UpstreamState &upstream, Millis now) const;
    bool isUsable(const UpstreamState &upstream, Millis now, bool ignoreEjection) const;
    void ejectIfOutlier(UpstreamState &upstream, Millis now);
    void refreshTypicalLatency();

    std::string m_domain;
    std::mt19937_64 m_random;
    std::vector<UpstreamState> m_upstreams;
    std::vector<std::string> m_dispatchers;
    std::string m_self;
    Routing::LatencyHistogram m_latencies;
    Routing::LatencyHistogram m_unqueuedLatencies;
    Millis m_typicalLatency;
    int m_answersSinceRefresh = 0;
    /// Whether a list with upstreams was set before; upstreams added after it warm up.
    bool m_hasInitialUpstreams = false;

    void assignUpstreams();
};

}

#endif
