#ifndef LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H
#define LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H

#include "core/dispatch/call.h"
#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/placement/loadreport.h"
#include "core/placement/placementoptions.h"
#include "core/placement/upstreamset.h"
#include "core/retry/sharedretrybudget.h"
#include "core/retry/tokenbucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Placement
{

using Dispatch::Actions;
using Dispatch::AttemptNumber;
using Dispatch::AttemptOutcome;
using Dispatch::CallId;

/// A call as the dispatcher needs to know it.
struct CallSpec
{
    CallId id = 0;
    bool idempotent = false;
    /// Its body is long: bytes between failure domains matter.
    bool bulk = false;
    /// 0 is the most urgent.
    int rank = 0;
    int maxAttempts = 1;
    /// An answer before this moment is worth the most.
    Millis objective;
    /// From this moment on nobody waits for the answer.
    Millis deadline;
    /// The caller was refused before and does not come back once more.
    bool returning = false;
};

/// Counts since the start; each only grows.
struct PlacementCounters
{
    std::uint64_t calls = 0;
    std::uint64_t sent = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refused = 0;
    std::uint64_t probes = 0;
    std::uint64_t waitingRounds = 0;
};

/// Chooses upstreams for the calls of one service on one daemon.
///
/// Speed and load of upstreams change within milliseconds, so a few are asked for theirs at the moment of choice.
/// A call that no asked upstream can serve in time waits here, urgent ones first, and is refused once waiting is useless.
/// Without I/O and clock: inputs carry the time, outputs are actions that the driver carries out.
class ServiceDispatcher
{
public:
    /// `probeTokens` bounds the probes of all services of this daemon together.
    ServiceDispatcher(const PlacementOptions &options, Retry::TokenBucket &probeTokens, std::uint64_t seed);
    ServiceDispatcher(const ServiceDispatcher &) = delete;
    ServiceDispatcher &operator=(const ServiceDispatcher &) = delete;

    void configure(const PlacementOptions &options);
    void setUpstreams(std::span<const UpstreamSpec> specs);

    void submit(const CallSpec &call, Millis now, Actions &actions);
    void probeEnded(UpstreamId upstream, const ProbeResult &result, Millis now, Actions &actions);
    void attemptEnded(
        CallId call, AttemptNumber attempt, AttemptOutcome outcome, const std::optional<LoadReport> &load, Millis now, Actions &actions);
    /// Nobody waits for the call any more.
    void cancel(CallId call, Millis now, Actions &actions);
    void recordPeerOutcomes(std::span<const OutcomeCount> outcomes, Millis now)
    {
        m_upstreams.recordPeerOutcomes(outcomes, now);
    }
    /// Carries out what is due.
    void tick(Millis now, Actions &actions);
    /// When `tick` is due next; nothing if no call is open.
    std::optional<Millis> nextDue() const;

    /// Views by upstream id; an id stays valid while calls or probes are on their way there.
    const UpstreamView *view(UpstreamId upstream) const;
    std::optional<UpstreamId> idOf(std::string_view name) const
    {
        return m_upstreams.idOf(name);
    }
    std::vector<OutcomeCount> takeOutcomes()
    {
        return m_upstreams.takeOutcomes();
    }
    const PlacementCounters &counters() const
    {
        return m_counters;
    }
    std::size_t openCalls() const
    {
        return m_calls.size();
    }
    std::size_t waitingCalls() const;
    std::size_t upstreamCount() const
    {
        return m_upstreams.listedCount();
    }
    ContentionSample takeContentionSample()
    {
        return m_latencyModel.takeSample();
    }
    void learnPeerContention(const ContentionSample &sample)
    {
        m_latencyModel.learnFromPeer(sample);
    }
    const LatencyModel &latencyModel() const
    {
        return m_latencyModel;
    }
    double pressure() const
    {
        return m_pressure;
    }
    double retriesLeft(Millis now) const
    {
        return m_budget.allowed(now) - m_budget.spent(now);
    }

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        UpstreamId upstream = 0;
        Millis sentAt;
        UpstreamCondition condition;
        /// It had just told that a slot was free.
        bool reportedFreeSlot = false;
    };

    /// Why a call looks for an upstream.
    enum class Search : std::uint8_t {
        None,
        First,
        Retry,
        Hedge,
    };

    struct OpenCall
    {
        CallSpec spec;
        Millis arrived;
        Search search = Search::First;
        int probeRounds = 0;
        Millis probeRoundDeadline;
        /// When the search goes on by itself.
        Millis nextStepAt;
        std::vector<UpstreamId> probed;
        std::vector<UpstreamId> triedUpstreams;
        std::vector<Attempt> activeAttempts;
        AttemptNumber nextAttempt = 0;
        int attemptsRun = 0;
        /// A failure that an upstream answered; relayed if nothing better comes.
        std::optional<AttemptNumber> failedAttempt;
        Millis hedgeAt;
        bool mayHaveRun = false;
        /// The present round was counted in the pressure.
        bool pressureUpdated = false;
        /// It was drawn whether it tries a crowded upstream.
        bool trialDecided = false;
        /// No probe could be spent on it.
        bool lackedProbeTokens = false;
    };

    struct Choice
    {
        UpstreamId upstream = 0;
        Millis expectedLatency;
    };

    void learnFromProbe(UpstreamEntry &entry, const ProbeResult &result, Millis now);
    void startSearch(OpenCall &call, Search search, Millis now, Actions &actions);
    /// The `count` upstreams that the call asks next.
    std::vector<UpstreamId> selectForProbing(const OpenCall &call, std::size_t count, Millis now);
    void startProbeRound(OpenCall &call, std::size_t count, Millis now, Actions &actions);
    void probeForWaitingCalls(OpenCall &call, Millis now, Actions &actions);
    bool probeRoundEnded(const OpenCall &call, Millis now) const;
    /// Sends, asks again, waits or gives up. Returns whether the call is over.
    bool advanceSearch(OpenCall &call, Millis now, Actions &actions);
    std::optional<Choice> bestChoice(const OpenCall &call, Millis now) const;
    bool isSuitable(const OpenCall &call, const Choice &choice, Millis now) const;
    bool isAcceptable(const OpenCall &call, const Choice &choice, Millis now) const;
    /// A free slot of a crowded upstream, for a few of the calls that would wait: only their answers tell what crowding costs.
    std::optional<Choice> contentionTrial(OpenCall &call, Millis now);
    /// The asked upstream with the fewest own calls, for when no probe could be spent.
    std::optional<Choice> fallbackChoice(const OpenCall &call, Millis now) const;
    bool wouldMissObjective(const OpenCall &call, Millis now) const;
    /// Whether sending it now would keep a slot from a call that can be in time.
    bool displacesTimelyCalls(const OpenCall &call, Millis now) const;
    void updatePressure(OpenCall &call, bool noneSuitable);
    void send(OpenCall &call, const Choice &choice, Millis now, Actions &actions);
    bool giveUp(OpenCall &call, Millis now, Actions &actions);
    bool mayRetry(const OpenCall &call, AttemptOutcome outcome, Millis now) const;
    static HealthSignal healthSignalOf(const Attempt &attempt, AttemptOutcome outcome);
    bool endAttempt(OpenCall &call, AttemptNumber attempt, AttemptOutcome outcome, Millis now, Actions &actions);
    void finish(OpenCall &call, AttemptNumber attempt, Dispatch::Disposition disposition, Actions &actions);
    void cancelOthers(OpenCall &call, std::optional<AttemptNumber> except, Millis now, Actions &actions);
    bool expire(OpenCall &call, Millis now, Actions &actions);
    Millis waitLimit(const OpenCall &call) const;
    Millis retryAfter(const OpenCall &call, Millis now);
    Millis hedgeTime(const OpenCall &call, Millis now) const;
    Millis nextDueOf(const OpenCall &call) const;
    void advanceSearches(Millis now, Actions &actions);
    bool isEligible(const UpstreamEntry &entry, Millis now) const;

    PlacementOptions m_options;
    std::mt19937_64 m_random;
    UpstreamSet m_upstreams;
    std::map<CallId, OpenCall> m_calls;
    Retry::SharedRetryBudget m_budget;
    Retry::TokenBucket &m_probeTokens;
    LatencyModel m_latencyModel;
    /// Share of late searches that found no upstream with room.
    double m_pressure = 0;
    Millis m_waitingProbedAt{-1e9};
    int m_probesWithoutLoad = 0;
    bool m_upstreamsReportLoad = true;
    PlacementCounters m_counters;
};

}

#endif
