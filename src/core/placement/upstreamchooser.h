#ifndef LABURNUMMAST_CORE_PLACEMENT_UPSTREAMCHOOSER_H
#define LABURNUMMAST_CORE_PLACEMENT_UPSTREAMCHOOSER_H

#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/placement/opencall.h"
#include "core/placement/placementoptions.h"
#include "core/placement/pressure.h"
#include "core/placement/upstreamset.h"

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace Laburnummast::Placement
{

/// An upstream that a call may be sent to.
struct Choice
{
    UpstreamId upstream = 0;
    Millis expectedLatency;
};

/// Chooses among the upstreams of a service by their load reports; reads the state that its dispatcher keeps and changes none.
class UpstreamChooser
{
public:
    /// The arguments must outlive the chooser.
    UpstreamChooser(const UpstreamSet &upstreams,
                    const LatencyModel &latencyModel,
                    const Pressure &pressure,
                    const PlacementOptions &options);

    /// Whether the upstream may be probed for a call.
    bool isEligible(const UpstreamEntry &entry, Millis now) const;
    /// Whether a call may be sent to it with what is known.
    bool mayBeSent(const UpstreamEntry &entry, Millis now) const;
    bool isPreferred(const UpstreamEntry &entry, Millis now) const;
    /// Returns up to `count` upstreams that the call probes next. Those ranked below `familiarCount` go first.
    std::vector<UpstreamId>
    selectForProbing(const OpenCall &call, std::size_t count, std::size_t familiarCount, Millis now, std::mt19937_64 &random) const;
    /// The upstream of lowest cost among the eligible and untried ones with a recent load report, suitable or not; nothing if there
    /// is none.
    std::optional<Choice> bestChoice(const OpenCall &call, Millis now) const;
    /// Whether the upstream is a good choice, so that the search can end.
    bool isSuitable(const OpenCall &call, const Choice &choice, Millis now) const;
    /// Whether the upstream can be used although it is not suitable; only after all probe rounds.
    bool isAcceptable(const OpenCall &call, const Choice &choice, Millis now) const;
    /// An upstream with a free slot that is rejected because of the expected contention; see ServiceDispatcher::contentionTrial().
    std::optional<Choice> trialChoice(Millis now) const;
    /// Of the upstreams selected for probing, the one with the fewest calls of this daemon; used if probe tokens ran out.
    /// Of upstreams that may turn cold, only one of which this daemon may call on as if it were cold.
    std::optional<Choice> fallbackChoice(const OpenCall &call, Millis now) const;

private:
    const UpstreamSet &m_upstreams;
    const LatencyModel &m_latencyModel;
    const Pressure &m_pressure;
    const PlacementOptions &m_options;
};

}

#endif
