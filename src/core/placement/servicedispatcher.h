#ifndef LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H
#define LABURNUMMAST_CORE_PLACEMENT_SERVICEDISPATCHER_H

#include "core/dispatch/call.h"
#include "core/millis.h"
#include "core/placement/callorder.h"
#include "core/placement/domainchoice.h"
#include "core/placement/drainwindow.h"
#include "core/placement/hedgeplanner.h"
#include "core/placement/hedgepolicy.h"
#include "core/placement/latencymodel.h"
#include "core/placement/loadreport.h"
#include "core/placement/opencall.h"
#include "core/placement/placementcounters.h"
#include "core/placement/placementoptions.h"
#include "core/placement/pressure.h"
#include "core/placement/probelearner.h"
#include "core/placement/recentservice.h"
#include "core/placement/upstreamchooser.h"
#include "core/placement/upstreamset.h"
#include "core/placement/waitpolicy.h"
#include "core/retry/sharedretrybudget.h"
#include "core/retry/tokenbucket.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Placement
{

using Dispatch::Actions;

/// Chooses upstreams for the calls of one service on one daemon.
///
/// Speed and load of upstreams change within milliseconds, so a few of them are probed when an upstream is chosen. A call that
/// none of them can serve in time waits here, ordered by priority, and is refused once further waiting is pointless.
/// Performs no I/O and reads no clock: inputs carry the time, and outputs are actions that the driver executes.
class ServiceDispatcher
{
public:
    /// `probeTokens` limits the probes of all services of this daemon together and must outlive the dispatcher.
    ServiceDispatcher(const PlacementOptions &options, Retry::TokenBucket &probeTokens, std::uint64_t seed);
    ServiceDispatcher(const ServiceDispatcher &) = delete;
    ServiceDispatcher &operator=(const ServiceDispatcher &) = delete;

    void configure(const PlacementOptions &options, Millis now);
    void setUpstreams(std::span<const UpstreamSpec> specs);

    /// Starts the search for an upstream; refuses the call at once if the service has none.
    void submit(const CallSpec &call, Millis now, Actions &actions);
    /// Takes the result of a ProbeUpstream action.
    void probeEnded(UpstreamId upstream, const ProbeResult &result, Millis now, Actions &actions);
    /// Takes the result of a SendAttempt action; ignored if the call or the attempt is over. `load` is empty if the answer had none.
    void attemptEnded(
        CallId call, AttemptNumber attempt, AttemptOutcome outcome, const std::optional<LoadReport> &load, Millis now, Actions &actions);
    /// Drops a call that nobody waits for any more and cancels its attempts.
    void cancel(CallId call, Millis now, Actions &actions);
    /// From now on, sends only calls that `window` allows; others that were not sent yet are refused.
    void drain(const DrainWindow &window, Millis now, Actions &actions);
    /// Ends all calls with what is known of them and cancels their attempts.
    void endCalls(Millis now, Actions &actions);
    /// Adds outcomes that other daemons observed.
    void recordPeerOutcomes(std::span<const OutcomeCount> outcomes, Millis now)
    {
        m_upstreams.recordPeerOutcomes(outcomes, now);
    }
    /// Applies what an answer to this daemon said about an upstream's limit (`isOwn`) or what another daemon reported; ignored if the
    /// name is unknown.
    Limits::LimitChange observeLimit(std::string_view upstream, const Limits::LimitObservation &observation, bool isOwn, Millis now);
    /// Applies what an answer to this daemon said about an upstream's availability; see UpstreamSet::observeAvailability(). Ignored if
    /// the name is unknown.
    AvailabilityChange observeAvailability(std::string_view upstream, std::int64_t startedAt, const AvailabilityNotice &notice, Millis now);
    /// Number of listed upstreams that are leaving or want no calls at present.
    std::size_t unavailableUpstreams(Millis now) const
    {
        return m_upstreams.unavailableCount(now);
    }
    /// What an upstream said about its availability.
    const UpstreamAvailability &availabilityOf(UpstreamId upstream) const
    {
        return m_upstreams[upstream].availability;
    }
    /// Returns the limits to report to other daemons; see UpstreamSet::takeNamedLimits().
    std::vector<NamedLimit> takeNamedLimits()
    {
        return m_upstreams.takeNamedLimits();
    }
    /// Limit in force at an upstream; empty if there is none.
    std::optional<double> limitOf(UpstreamId upstream, Millis now) const
    {
        return m_upstreams[upstream].limit.perSecond(now);
    }
    /// Calls per second that this daemon may send to an upstream while it has a limit; 0 if the name is unknown.
    double limitShareOf(std::string_view upstream) const
    {
        const auto id = m_upstreams.idOf(upstream);
        return id ? m_upstreams[*id].limit.share() : 0;
    }
    /// Number of listed upstreams that are known to be cold and have a limit.
    std::size_t coldUpstreams(Millis now) const
    {
        return m_upstreams.coldCount(now);
    }
    /// Number of listed upstreams with a limit in force.
    std::size_t limitedUpstreams(Millis now) const
    {
        return m_upstreams.limitedCount(now);
    }
    /// Processes due timers: deadlines, hedges and searches.
    void tick(Millis now, Actions &actions);
    /// Time of the next due tick(); nothing if no call is open.
    std::optional<Millis> nextDue() const;

    /// Returns null for an id out of range. An id stays valid while calls or probes are in flight to the upstream.
    const UpstreamView *view(UpstreamId upstream) const;
    /// Returns nothing if the name is unknown.
    std::optional<UpstreamId> idOf(std::string_view name) const
    {
        return m_upstreams.idOf(name);
    }
    /// Returns and resets the outcomes that this daemon observed, to be reported to the other daemons.
    std::vector<OutcomeCount> takeOutcomes()
    {
        return m_upstreams.takeOutcomes();
    }
    const PlacementCounters &counters() const
    {
        return m_counters;
    }
    /// Calls that have been submitted and are not over.
    std::size_t openCalls() const
    {
        return m_calls.size();
    }
    /// Calls that have not been sent yet and are in their last probe round or wait for a suitable upstream.
    std::size_t waitingCalls() const;
    std::size_t upstreamCount() const
    {
        return m_upstreams.listedCount();
    }
    /// Returns and resets the slowdown of full upstreams that this daemon observed, to be reported to the other daemons.
    ContentionSample takeContentionSample()
    {
        return m_latencyModel.takeSample();
    }
    /// Learns from a sample taken by another daemon.
    void learnPeerContention(const ContentionSample &sample)
    {
        m_latencyModel.learnFromPeer(sample);
    }
    const LatencyModel &latencyModel() const
    {
        return m_latencyModel;
    }
    /// Part of the calls that leave the own failure domain; 0 unless PlacementOptions::balanceDomains is set.
    double awayShare(bool bulk) const
    {
        return m_domainChoice.awayShare(bulk);
    }
    /// Recent share of searches that found no suitable upstream, 0 to 1.
    double pressure() const
    {
        return m_pressure.value();
    }
    /// Retries and hedges that the budget still allows; fractional, and negative if it is overdrawn.
    double retriesLeft(Millis now) const
    {
        return m_budget.allowed(now) - m_budget.spent(now);
    }

private:
    void startSearch(OpenCall &call, Search search, Millis now, Actions &actions);
    /// Number of upstreams that are probed first, because connections to them can be kept; see UpstreamEntry::affinityRank.
    std::size_t familiarCount(Millis now) const;
    /// Sends a probe; returns false if probe tokens ran out.
    bool startProbe(UpstreamId id, Millis now, Actions &actions);
    /// Failure domain for a new call; see OpenCall::domain.
    std::string chooseDomain(const CallSpec &spec, Millis now);
    void startProbeRound(OpenCall &call, std::size_t count, Millis now, Actions &actions);
    /// Starts a round for a waiting call; sends probes only if none were sent recently for another waiting call.
    void probeForWaitingCalls(OpenCall &call, Millis now, Actions &actions);
    bool probeRoundEnded(const OpenCall &call, Millis now) const;
    /// Sends the call, starts another probe round, keeps waiting or gives up. Returns whether the call is over.
    bool advanceSearch(OpenCall &call, Millis now, Actions &actions);
    /// For a few of the calls that would wait, an upstream with a free slot that is rejected because of the expected contention:
    /// only answers from there show how large the contention really is.
    std::optional<Choice> contentionTrial(OpenCall &call, Millis now);
    /// Whether the daemon is being stopped too soon for another attempt of the call.
    bool endsTooSoonFor(const CallSpec &spec, Millis now) const;
    /// Whether sending the call, which would be late anyway, would take a slot from a call that can still be in time.
    bool displacesTimelyCalls(const OpenCall &call, Millis now) const;
    void updatePressure(OpenCall &call, bool noneSuitable);
    void send(OpenCall &call, const Choice &choice, Millis now, Actions &actions);
    /// Ends a search that found no upstream. Returns whether the call is over.
    bool endSearch(OpenCall &call, Millis now, Actions &actions);
    /// Ends the call with the best known result. Always returns true: the call is over.
    bool giveUp(OpenCall &call, Millis now, Actions &actions);
    bool mayRetry(const OpenCall &call, AttemptOutcome outcome, Millis now) const;
    /// Returns whether the call is over.
    bool endAttempt(OpenCall &call, AttemptNumber attempt, AttemptOutcome outcome, Millis now, Actions &actions);
    void finish(OpenCall &call, AttemptNumber attempt, Dispatch::Disposition disposition, Actions &actions);
    void cancelOthers(OpenCall &call, std::optional<AttemptNumber> except, Millis now, Actions &actions);
    /// Handles a call past its deadline. Returns whether the call is over.
    bool expire(OpenCall &call, Millis now, Actions &actions);
    void advanceSearches(Millis now, Actions &actions);
    PlacementOptions m_options;
    /// Set while the daemon is being stopped.
    std::optional<DrainWindow> m_drainWindow;
    std::mt19937_64 m_random;
    UpstreamSet m_upstreams;
    OpenCalls m_calls;
    Retry::SharedRetryBudget m_budget;
    Retry::TokenBucket &m_probeTokens;
    LatencyModel m_latencyModel;
    /// When the first call was submitted; empty before.
    std::optional<Millis> m_firstCallAt;
    DomainChoice m_domainChoice;
    HedgePolicy m_hedgePolicy{m_latencyModel};
    Pressure m_pressure;
    RecentService m_service;
    CallOrder m_order{m_service};
    UpstreamChooser m_chooser;
    WaitPolicy m_waitPolicy;
    /// Last time that probes were started for waiting calls.
    Millis m_waitingProbedAt{-1e9};
    ProbeLearner m_probeLearner;
    PlacementCounters m_counters;
    HedgePlanner m_hedgePlanner{m_hedgePolicy, m_budget, m_pressure, m_counters};
};

}

#endif
