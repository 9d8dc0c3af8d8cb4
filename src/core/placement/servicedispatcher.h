#ifndef LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H
#define LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H

#include "core/dispatch/call.h"
#include "core/millis.h"
#include "core/placement/loadreport.h"
#include "core/placement/placementoptions.h"
#include "core/placement/speedmodel.h"
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
    std::uint64_t heldBack = 0;
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
    void noteOthers(std::span<const OutcomeCount> outcomes, Millis now)
    {
        m_upstreams.noteOthers(outcomes, now);
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
    std::size_t open() const
    {
        return m_calls.size();
    }
    std::size_t waiting() const;
    std::size_t upstreams() const
    {
        return m_upstreams.present();
    }
    CrowdingSample takeCrowding()
    {
        return m_speeds.takeSample();
    }
    void noteOthersCrowding(const CrowdingSample &sample)
    {
        m_speeds.learnFromOthers(sample);
    }
    const SpeedModel &speeds() const
    {
        return m_speeds;
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
        PlacedAt placed;
        /// It had just told that a slot was free.
        bool toldFree = false;
    };

    /// Why a call looks for an upstream.
    enum class Search : std::uint8_t {
        None,
        First,
        Retry,
        Hedge,
    };

    struct Open
    {
        CallSpec spec;
        Millis arrived;
        Search search = Search::First;
        int rounds = 0;
        Millis roundEnds;
        /// When the search goes on by itself.
        Millis nextAt;
        std::vector<UpstreamId> asked;
        std::vector<UpstreamId> tried;
        std::vector<Attempt> active;
        AttemptNumber nextAttempt = 0;
        int runs = 0;
        /// A failure that an upstream answered; relayed if nothing better comes.
        std::optional<AttemptNumber> failure;
        Millis hedgeAt;
        bool mayHaveRun = false;
        /// The present round was counted in the pressure.
        bool pressureNoted = false;
        /// It was drawn whether it tries a crowded upstream.
        bool trialDrawn = false;
        /// No probe could be spent on it.
        bool blind = false;
    };

    struct Choice
    {
        UpstreamId upstream = 0;
        Millis expected;
    };

    void learnFromProbe(KnownUpstream &known, const ProbeResult &result, Millis now);
    void startSearch(Open &call, Search search, Millis now, Actions &actions);
    /// The `count` upstreams that the call asks next.
    std::vector<UpstreamId> askingOrder(const Open &call, std::size_t count, Millis now);
    void askSome(Open &call, std::size_t count, Millis now, Actions &actions);
    void askForHeld(Open &call, Millis now, Actions &actions);
    bool roundOver(const Open &call, Millis now) const;
    /// Sends, asks again, waits or gives up. Returns whether the call is over.
    bool advance(Open &call, Millis now, Actions &actions);
    std::optional<Choice> best(const Open &call, Millis now) const;
    bool isGood(const Open &call, const Choice &choice, Millis now) const;
    bool isAcceptable(const Open &call, const Choice &choice, Millis now) const;
    /// A free slot of a crowded upstream, for a few of the calls that would wait: only their answers tell what crowding costs.
    std::optional<Choice> crowdedTrial(Open &call, Millis now);
    /// The asked upstream with the fewest own calls, for when no probe could be spent.
    std::optional<Choice> guess(const Open &call, Millis now) const;
    bool wouldBeLate(const Open &call, Millis now) const;
    /// Whether sending it now would keep a slot from a call that can be in time.
    bool takesTurnOfOthers(const Open &call, Millis now) const;
    void notePressure(Open &call, bool noRoom);
    void send(Open &call, const Choice &choice, Millis now, Actions &actions);
    bool giveUp(Open &call, Millis now, Actions &actions);
    bool mayTryAgain(const Open &call, AttemptOutcome outcome, Millis now) const;
    static Evidence evidenceOf(const Attempt &attempt, AttemptOutcome outcome);
    bool endAttempt(Open &call, AttemptNumber attempt, AttemptOutcome outcome, Millis now, Actions &actions);
    void finish(Open &call, AttemptNumber attempt, Dispatch::Disposition disposition, Actions &actions);
    void cancelOthers(Open &call, std::optional<AttemptNumber> except, Millis now, Actions &actions);
    bool expire(Open &call, Millis now, Actions &actions);
    Millis holdLimit(const Open &call) const;
    Millis retryAfter(const Open &call, Millis now);
    Millis hedgeTime(const Open &call, Millis now) const;
    Millis dueOf(const Open &call) const;
    void advanceWaiting(Millis now, Actions &actions);
    bool candidate(const KnownUpstream &known, Millis now) const;

    PlacementOptions m_options;
    std::mt19937_64 m_random;
    UpstreamSet m_upstreams;
    std::map<CallId, Open> m_calls;
    Retry::SharedRetryBudget m_budget;
    Retry::TokenBucket &m_probeTokens;
    SpeedModel m_speeds;
    /// Share of late searches that found no upstream with room.
    double m_pressure = 0;
    Millis m_heldAskedAt{-1e9};
    int m_silentOnLoad = 0;
    bool m_tellsLoad = true;
    PlacementCounters m_counters;
};

}

#endif
