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
    std::array<Millis, priorityCount> targets{500_ms, 2_s, 30_s};
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
    NonIdempotentTwice,
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
        return m_retries.available();
    }
    std::optional<InvariantError> checkInvariants() const;

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        UpstreamId upstream = 0;
        Routing::AttemptStart start;
    };

    struct Pending
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

    void pump(Millis now, Actions &actions);
    bool pumpOne(Millis now, Actions &actions);
    bool sendFrom(Priority priority, PlaceRule rule, Millis now, Actions &actions);
    void send(Pending &call, UpstreamId upstream, bool hedge, Millis now, Actions &actions);
    void enqueue(Pending &call, bool next, Millis now);
    void refuse(CallId call, RefusalReason reason, Actions &actions);
    void finish(Pending &call, AttemptNumber attempt, Disposition disposition, Actions &actions);
    bool mayRetry(const Pending &call, const AttemptResult &result, Millis now);
    bool waitWouldPassDeadline(const CallRequest &request, Millis now) const;
    Millis latestStart(const CallRequest &request, Millis now) const;
    Millis expectedWait(Priority priority) const;
    Admission::ServeOrder orderOf(Priority priority, Millis now) const;
    PlaceRule ruleOf(Priority priority) const;
    bool deferrableGoesFirst() const;
    std::array<bool, priorityCount> waiting() const;
    void expire(Millis now, Actions &actions);
    void hedgeLate(Millis now, Actions &actions);
    void askProbes(Millis now, Actions &actions);
    void measureDrain(Millis now);

    DispatcherOptions m_options;
    Router m_router;
    Admission::FlowClock m_clock;
    std::array<Admission::FairQueue, priorityCount> m_queues;
    Admission::FloorCredits m_credits;
    Retry::RetryBudget m_retries;
    Retry::RetryBudget m_hedges;
    Retry::TokenBucket m_probes;
    std::unordered_map<CallId, Pending> m_calls;
    std::deque<HedgeTimer> m_hedgeTimers;
    std::array<double, priorityCount> m_drainPerMs{};
    std::array<std::uint64_t, priorityCount> m_drainSeen{};
    Millis m_drainAt{};
    DispatcherCounters m_counters;
};

}

#endif
