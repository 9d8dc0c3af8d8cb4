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
enum class PlaceRule : std::uint8_t {
    /// Any upstream below its limit.
    Anywhere,
    /// This dispatcher's own part, or elsewhere on evidence of an idle slot.
    OwnPart,
};

/// The upstreams of one service as one dispatcher sees them, and the choice among them.
class Router
{
public:
    struct Slot
    {
        UpstreamSpec spec;
        Routing::UpstreamLoad load;
        bool present = true;
        bool own = true;
        Millis lastProbe;
        Millis lastTrial;
    };

    Router(std::string domain, std::uint64_t seed);

    /// Replaces the list; upstreams that were there keep their load, others drain.
    void setUpstreams(std::span<const UpstreamSpec> specs, Millis now);
    /// Tells which dispatchers share the service; each holds lesser work to its own part.
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    void setDraining(std::string_view name, bool draining);

    /// The cheapest upstream that the rule allows and `excluded` does not name.
    std::optional<UpstreamId> choose(PlaceRule rule, std::span<const UpstreamId> excluded, Millis now);
    Routing::AttemptStart start(UpstreamId id, Priority priority, Millis now);
    void end(UpstreamId id, const Routing::AttemptStart &attempt, const AttemptResult &result, Millis now);
    void probed(UpstreamId id, bool healthy, const LoadReport &report, Millis now);
    /// Upstreams of which nothing was heard for long; each is returned once per `every`.
    void findStale(Millis now, Millis every, std::vector<UpstreamId> &stale);

    /// Median latency without the wait that the calls ahead explain.
    Millis typicalLatency() const
    {
        return m_typical;
    }
    Millis latencyQuantile(double q) const
    {
        return m_latencies.quantile(q);
    }
    std::span<const Slot> slots() const
    {
        return m_slots;
    }
    std::size_t usable(Millis now) const;

private:
    bool mayTake(const Slot &slot, PlaceRule rule, double commonSlowness, Millis now) const;
    double commonSlowness(Millis now, bool ignoreEjection) const;
    bool mayTakeLesser(const Slot &slot, Millis now) const;
    bool isCandidate(const Slot &slot, Millis now, bool ignoreEjection) const;
    void ejectIfOutlier(Slot &slot, Millis now);
    void refreshTypical();

    std::string m_domain;
    std::mt19937_64 m_random;
    std::vector<Slot> m_slots;
    std::vector<std::string> m_dispatchers;
    std::string m_self;
    Routing::LatencyHistogram m_latencies;
    Routing::LatencyHistogram m_unqueuedLatencies;
    Millis m_typical;
    int m_sinceRefresh = 0;
    bool m_seeded = false;

    void assignParts();
};

}

#endif
