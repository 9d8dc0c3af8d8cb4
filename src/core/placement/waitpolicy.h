#ifndef LABURNUMMAST_CORE_PLACEMENT_WAITPOLICY_H
#define LABURNUMMAST_CORE_PLACEMENT_WAITPOLICY_H

#include "core/millis.h"
#include "core/placement/callorder.h"
#include "core/placement/latencymodel.h"
#include "core/placement/opencall.h"
#include "core/placement/upstreamset.h"

#include <optional>
#include <random>

namespace Laburnummast::Placement
{

/// How long calls wait for an upstream, and how long refused callers are told to wait.
class WaitPolicy
{
public:
    /// The arguments must outlive the policy.
    WaitPolicy(const UpstreamSet &upstreams, const LatencyModel &latencyModel, const CallOrder &order);

    /// Latest time to keep waiting for an upstream; then the search ends without a suitable upstream.
    Millis waitLimit(const OpenCall &call) const;
    bool wouldMissObjective(const OpenCall &call, Millis now) const;
    /// When pauses and limits of the upstreams leave room for the call after those of `calls` that go before it; empty if never.
    std::optional<Millis> upstreamsLeaveRoomAt(const OpenCall &call, const OpenCalls &calls, Millis now) const;
    /// Random delay that a refused caller is told to wait.
    Millis retryAfter(const OpenCall &call, const OpenCalls &calls, Millis now, std::mt19937_64 &random) const;

private:
    const UpstreamSet &m_upstreams;
    const LatencyModel &m_latencyModel;
    const CallOrder &m_order;
};

}

#endif
