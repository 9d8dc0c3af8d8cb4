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

/// What a dispatcher is told of an upstream.
struct UpstreamSpec
{
    std::string name;
    std::string domain;
    int slots = 3;
};

/// Which rule bounds a call's choice of upstreams.
enum class SelectionRule : std::uint8_t {
    /// Any upstream below its limit.
    AnyUpstream,
    /// This dispatcher's own part, or elsewhere on evidence of an idle slot.
    AssignedUpstreams,
};

/// The upstreams of one service as one dispatcher sees them, and the choice among them.
class Router
{
public:
    struct UpstreamState
    {
        UpstreamSpec spec;
        Routing::UpstreamLoad load;
        bool present = true;
        bool assigned = true;
        Millis lastProbe;
        Millis lastAttempt;
    };

    Router(std::string domain, std::uint64_t seed);

    /// Replaces the list; upstreams that were there keep their load, others drain.
    void setUpstreams(std::span<const UpstreamSpec> specs, Millis now);
    /// Tells which dispatchers share the service; each holds lesser work to its own part.
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    void setDraining(std::string_view name, bool draining);

    /// The cheapest upstream that the rule allows and `excluded` does not name.
    std::optional<UpstreamId> choose(SelectionRule rule, std::span<const UpstreamId> excluded, Millis now);
    Routing::AttemptStart startAttempt(UpstreamId id, Priority priority, Millis now);
    void endAttempt(UpstreamId id, const Routing::AttemptStart &attempt, const AttemptResult &result, Millis now);
    void recordProbe(UpstreamId id, bool healthy, const LoadReport &report, Millis now);
    /// Upstreams of which nothing was heard for long; each is returned once per `every`.
    void findDueForProbe(Millis now, Millis interval, std::vector<UpstreamId> &due);

    /// Median latency without the wait that the calls ahead explain.
    Millis typicalLatency() const
    {
        return m_typicalLatency;
    }
    Millis latencyQuantile(double q) const
    {
        return m_latencies.quantile(q);
    }
    std::span<const UpstreamState> upstreams() const
    {
        return m_upstreams;
    }
    std::size_t usableCount(Millis now) const;

private:
    bool isEligible(const UpstreamState &upstream, SelectionRule rule, double baseline, Millis now) const;
    double baselineSlowness(Millis now, bool ignoreEjection) const;
    bool hasRoomForNonUrgent(const UpstreamState &upstream, Millis now) const;
    bool isCandidate(const UpstreamState &upstream, Millis now, bool ignoreEjection) const;
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
    bool m_hasInitialUpstreams = false;

    void assignUpstreams();
};

}

#endif
