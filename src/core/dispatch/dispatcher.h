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

struct DispatcherOptions
{
    std::string domain;
    std::uint64_t seed = 1;
    std::size_t queueLimit = 2000;
    double retryShare = 0.1;
    /// Extra attempts per idempotent call that hedging may spend; 0 turns it off.
    double hedgeShare = 0.02;
    Admission::Floors floors{0, 0.08, 0.04};
    /// Times within which a call of each priority should be answered.
    std::array<Millis, priorityCount> latencyTargets{500_ms, 2_s, 30_s};
    double probesPerSecond = 2;
    Millis probeAfter = 5_s;
};

/// Counts since the start; each only grows.
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

/// A broken rule of the dispatcher's own bookkeeping.
enum class InvariantError : std::uint8_t {
    InFlightMismatch,
    QueueMismatch,
    NonIdempotentInFlightTwice,
    LimitExceeded,
};

/// Queue, limits, routing and retries of one service on one entry host.
///
/// Without I/O and clock: inputs carry the time, outputs are actions that the driver carries out.
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    void configure(const DispatcherOptions &options);
    void setUpstreams(std::span<const UpstreamSpec> specs, Millis now, Actions &actions);
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    void setDraining(std::string_view upstream, bool draining);

    void submit(const CallRequest &request, Millis now, Actions &actions);
    void attemptEnded(CallId call, AttemptNumber attempt, const AttemptResult &result, Millis now, Actions &actions);
    /// Nobody waits for the call any more. Returns whether it had not been sent anywhere.
    bool cancel(CallId call, Actions &actions);
    void probeEnded(UpstreamId upstream, bool healthy, const LoadReport &report, Millis now, Actions &actions);
    /// Expires queued calls, hedges late ones and asks for probes; due every few milliseconds.
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
    std::size_t pending() const
    {
        return m_calls.size();
    }
    double retryTokens() const
    {
        return m_retryBudget.available();
    }
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
        std::vector<Attempt> active;
        std::vector<UpstreamId> tried;
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
    Millis expectedWait(Priority priority) const;
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
