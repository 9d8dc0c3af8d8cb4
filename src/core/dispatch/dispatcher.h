#ifndef LABURNUMMAST_CORE_DISPATCH_DISPATCHER_H
#define LABURNUMMAST_CORE_DISPATCH_DISPATCHER_H

#include "core/admission/fairqueue.h"
#include "core/admission/floorcredits.h"
#include "core/dispatch/call.h"
#include "core/dispatch/router.h"
#include "core/retry/retrybudget.h"
#include "core/retry/tokenbucket.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Laburnummast::Dispatch
{

/// Settings of a dispatcher.
struct DispatcherOptions
{
    /// Failure domain of the entry host; upstreams in it are preferred.
    std::string domain;
    /// Seed for random choices between upstreams.
    std::uint64_t seed = 1;
    /// Most calls that may be queued at each priority.
    std::size_t queueLimit = 2000;
    /// Retries allowed per submitted call.
    double retryShare = 0.1;
    /// Hedges allowed per idempotent call; 0 turns hedging off.
    double hedgeShare = 0.02;
    /// Guaranteed minimum shares of the dispatches.
    Admission::Floors floors{0, 0.08, 0.04};
    /// Time within which a call of each priority should be answered.
    std::array<Millis, priorityCount> latencyTargets{500_ms, 2_s, 30_s};
    /// Most probes per second, over all upstreams.
    double probesPerSecond = 2;
    /// An upstream is probed once nothing was heard from it for this long.
    Millis probeAfter = 5_s;
};

/// Event counts since the start.
struct DispatcherCounters
{
    std::array<std::uint64_t, priorityCount> submitted{};
    std::array<std::uint64_t, priorityCount> dispatched{};
    std::array<std::uint64_t, priorityCount> refused{};
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t probes = 0;
};

/// Inconsistency in the dispatcher's state.
enum class InvariantError : std::uint8_t {
    /// An upstream's count of attempts in flight differs from the calls' active attempts.
    InFlightMismatch,
    /// The number of calls marked as queued differs from the length of the queues.
    QueueMismatch,
    /// A non-idempotent call has several attempts in flight.
    NonIdempotentInFlightTwice,
    /// An upstream has more attempts in flight than its slots plus one.
    LimitExceeded,
};

/// Queues, routes, retries and hedges the calls of one service on one entry host.
///
/// Performs no I/O and reads no clock: the caller passes the current time, and executes the actions appended to `actions`.
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Changes the options; domain, seed and probe rate keep their initial values.
    void configure(const DispatcherOptions &options);
    /// Replaces the list of upstreams; calls in flight on removed ones continue.
    void setUpstreams(std::span<const UpstreamSpec> specs, Millis now, Actions &actions);
    /// Sets the dispatchers that share the service; `self` is the name of this one.
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    /// Sets whether the named upstream is draining; a draining upstream receives no new calls.
    void setDraining(std::string_view upstream, bool draining);

    /// Accepts a call, which is sent, queued or refused.
    void submit(const CallRequest &request, Millis now, Actions &actions);
    /// Reports the result of an attempt; unknown attempts are ignored.
    void attemptEnded(CallId call, AttemptNumber attempt, const AttemptResult &result, Millis now, Actions &actions);
    /// Cancels a call whose caller has left. Returns true if it was never sent to an upstream.
    bool cancel(CallId call, Actions &actions);
    /// Reports the result of a probe; `report` is used only if `healthy`.
    void probeEnded(UpstreamId upstream, bool healthy, const LoadReport &report, Millis now, Actions &actions);
    /// Refuses expired calls, hedges late ones and requests probes; call it every few milliseconds.
    void tick(Millis now, Actions &actions);

    const Router &router() const
    {
        return m_router;
    }
    const DispatcherCounters &counters() const
    {
        return m_counters;
    }
    std::size_t queued(Priority priority) const
    {
        return m_queues[indexOf(priority)].size();
    }
    /// Number of calls that are queued or in flight.
    std::size_t pending() const
    {
        return m_calls.size();
    }
    /// Retries that the budget currently allows.
    double retryTokens() const
    {
        return m_retryBudget.available();
    }
    /// The first inconsistency found; empty if there is none.
    std::optional<InvariantError> checkInvariants() const;

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        UpstreamId upstream = 0;
        Routing::AttemptStart start;
    };

    struct PendingCall
    {
        CallRequest request;
        std::vector<Attempt> activeAttempts;
        std::vector<UpstreamId> triedUpstreams;
        AttemptNumber nextAttempt = 0;
        bool queued = false;
        bool finished = false;
        bool hedged = false;
    };

    struct HedgeTimer
    {
        Millis sentAt;
        CallId call = 0;
    };

    void dispatchQueued(Millis now, Actions &actions);
    bool dispatchNext(Millis now, Actions &actions);
    bool dispatchFrom(Priority priority, SelectionRule rule, Millis now, Actions &actions);
    void send(PendingCall &call, UpstreamId upstream, bool hedge, Millis now, Actions &actions);
    void enqueue(PendingCall &call, bool requeued, Millis now);
    void refuse(CallId call, RefusalReason reason, Actions &actions);
    void finish(PendingCall &call, AttemptNumber attempt, Disposition disposition, Actions &actions);
    bool mayRetry(const PendingCall &call, const AttemptResult &result, Millis now);
    bool waitWouldPassDeadline(const CallRequest &request, Millis now) const;
    Millis latestStart(const CallRequest &request, Millis now) const;
    /// Time after which a refused caller should try again, from the queue length and the dispatch rate; 1 s to 30 s.
    Millis suggestedRetryAfter(Priority priority) const;
    Admission::ServeOrder serveOrderOf(Priority priority, Millis now) const;
    SelectionRule selectionRuleOf(Priority priority) const;
    bool deferrablePrecedesNormal() const;
    std::array<bool, priorityCount> waitingPriorities() const;
    void refuseExpired(Millis now, Actions &actions);
    void hedgeLateCalls(Millis now, Actions &actions);
    void requestProbes(Millis now, Actions &actions);
    void measureDispatchRates(Millis now);

    DispatcherOptions m_options;
    Router m_router;
    Admission::FlowClock m_flowClock;
    std::array<Admission::FairQueue, priorityCount> m_queues;
    Admission::FloorCredits m_floorCredits;
    Retry::RetryBudget m_retryBudget;
    Retry::RetryBudget m_hedgeBudget;
    Retry::TokenBucket m_probeBucket;
    std::unordered_map<CallId, PendingCall> m_calls;
    std::deque<HedgeTimer> m_hedgeTimers;
    std::array<double, priorityCount> m_dispatchesPerMs{};
    std::array<std::uint64_t, priorityCount> m_previousDispatched{};
    Millis m_rateMeasuredAt{};
    DispatcherCounters m_counters;
};

}

#endif
