#ifndef LABURNUMMAST_CORE_PLACEMENT_PLACEMENTOPTIONS_H
#define LABURNUMMAST_CORE_PLACEMENT_PLACEMENTOPTIONS_H

#include "core/limits/coldlimit.h"
#include "core/limits/limitshare.h"
#include "core/millis.h"
#include "core/retry/sharedretrybudget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Laburnummast::Placement
{

/// Configuration of a ServiceDispatcher.
struct PlacementOptions
{
    /// Host and failure domain of this daemon.
    std::string host;
    std::string domain;
    /// Budget that limits retries and hedges.
    Retry::SharedRetryBudgetOptions retries;
    /// Failure domains of all serving daemons, in the same order on every daemon, and the index of this daemon in it.
    std::vector<std::string> daemonDomains;
    std::size_t daemonIndex = 0;
    /// Daemons that divide the limits of upstreams among themselves; null if unknown, then this daemon has no share.
    std::shared_ptr<const Limits::LimitPool> limitPool;
    /// Bound on the calls of cold upstreams whose service states a rate for them.
    Limits::ColdBound coldBound;
    /// Upstreams probed in the first round of a search.
    std::size_t firstRoundProbes = 4;
    /// Replaces `firstRoundProbes` while pressure is low or few probe tokens are left.
    std::size_t reducedFirstRoundProbes = 2;
    /// Upstreams probed in the next round if none of the first round is suitable.
    std::size_t laterRoundProbes = 4;
    /// Upstreams probed per round on behalf of all waiting calls together.
    std::size_t waitingRoundProbes = 2;
    /// A load report up to this age is used without a new probe.
    Millis maxReportAge{6};
    /// Longest wait for the answers of a probe round: a few network round trips within a region.
    Millis probeRoundTimeout{8};
    /// Pause between probe rounds for waiting calls: a small part of the duration of a call.
    Millis waitingProbeInterval{5};
    /// Time for which an upstream keeps an idle connection; a daemon with few calls probes few upstreams, so that it can reuse connections.
    Millis connectionLifetime{8000};
    /// Share of the retry budget that hedges must leave for retries, 0 to 1.
    double hedgeReserve = 0.4;
    /// Send calls to other failure domains by DomainChoice; otherwise each choice of an upstream weighs distance by a fixed cost.
    bool balanceDomains = false;
};

}

#endif
