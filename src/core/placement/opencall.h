#ifndef LABURNUMMAST_CORE_PLACEMENT_OPENCALL_H
#define LABURNUMMAST_CORE_PLACEMENT_OPENCALL_H

#include "core/dispatch/call.h"
#include "core/millis.h"
#include "core/placement/callspec.h"
#include "core/placement/upstreamview.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Placement
{

using Dispatch::AttemptNumber;
using Dispatch::AttemptOutcome;
using Dispatch::UpstreamId;

/// One attempt of a call.
struct Attempt
{
    AttemptNumber number = 0;
    UpstreamId upstream = 0;
    Millis sentAt;
    UpstreamCondition condition;
    /// The upstream's last load report showed a free slot when the attempt was sent.
    bool reportedFreeSlot = false;
};

/// Purpose of the current search for an upstream; None while there is no search.
enum class Search : std::uint8_t {
    None,
    First,
    Retry,
    Hedge,
};

/// How long after the deadline an answer of the upstream itself is still awaited.
constexpr Millis answerGrace = 40_ms;
/// Why a call that is late got no hedge.
enum class HedgeDenial : std::uint8_t {
    Budget,
    Pressure,
    NoUpstream,
    /// The gain is too small, or still grows.
    Gain,
};

/// Probe rounds of a search before the call waits.
constexpr int maxProbeRounds = 2;

/// State of a call that is not over.
struct OpenCall
{
    CallSpec spec;
    Millis arrived;
    /// Failure domain whose upstreams are probed first; empty unless PlacementOptions::balanceDomains is set.
    std::string domain;
    Search search = Search::First;
    int probeRounds = 0;
    Millis probeRoundDeadline;
    /// When the search continues even without a probe result.
    Millis nextStepAt;
    /// Upstreams selected for probing in this search, including those whose load report was fresh enough.
    std::vector<UpstreamId> probed;
    /// Upstreams that attempts were sent to; they are not chosen again.
    std::vector<UpstreamId> triedUpstreams;
    std::vector<Attempt> activeAttempts;
    AttemptNumber nextAttempt = 0;
    /// Attempts, without those that turned out not to have been sent.
    int attemptsRun = 0;
    /// Attempt that an upstream answered with a failure; relayed if no other attempt succeeds.
    std::optional<AttemptNumber> failedAttempt;
    /// When to consider a hedge; the deadline if there will be none.
    Millis hedgeAt;
    /// Reasons for which a hedge was denied and counted, one bit each; see HedgeDenial.
    unsigned hedgeDenials = 0;
    /// Searches for a hedge that found no upstream.
    int failedHedgeSearches = 0;
    bool mayHaveRun = false;
    /// The pressure has been updated for the current probe round.
    bool pressureUpdated = false;
    /// The random decision about a contention trial has been made.
    bool trialDecided = false;
    /// At least one probe of this search was skipped for lack of probe tokens.
    bool lackedProbeTokens = false;

    /// When the call is to be processed next unless something happens before.
    Millis nextDue() const;
    /// It has not been sent yet and is in its last probe round or waits for a suitable upstream.
    bool isWaiting() const
    {
        return search == Search::First && probeRounds >= maxProbeRounds;
    }
};

using OpenCalls = std::map<CallId, OpenCall>;

/// What the end of an attempt says about the health of its upstream.
HealthSignal healthSignalOf(const Attempt &attempt, AttemptOutcome outcome);

}

#endif
