#ifndef LABURNUMMAST_CORE_DISPATCH_CALL_H
#define LABURNUMMAST_CORE_DISPATCH_CALL_H

#include "core/admission/fairqueue.h"
#include "core/millis.h"
#include "core/priority.h"
#include "core/routing/upstreamload.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Dispatch
{

using Admission::CallId;
using Admission::FlowId;
using Routing::AttemptOutcome;
using Routing::LoadReport;

/// Index of an upstream within one dispatcher; stable while it has calls in flight.
using UpstreamId = std::uint32_t;
/// Number of an attempt within its call, from 0.
using AttemptNumber = std::uint32_t;

/// Properties of a call that decide how it is queued, routed and retried.
struct CallRequest
{
    /// Unique among the pending calls of a dispatcher.
    CallId id = 0;
    /// Fair-queueing flow that the call belongs to.
    FlowId flow = 0;
    /// Weight of the flow in fair queueing; above 0.
    double weight = 1;
    Priority priority = Priority::Normal;
    /// Whether the call may run more than once; allows hedging and retries after an unknown outcome.
    bool idempotent = false;
    /// Whether the complete request is buffered, so that it can be sent again.
    bool resendable = true;
    /// Point in time by which the caller needs the answer.
    Millis deadline;
};

/// Outcome of an attempt, with the load report of the upstream.
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    /// Empty if the upstream sent no report.
    std::optional<LoadReport> report;
    /// Set if the upstream, or a service that it calls, is overloaded: retries would multiply at each level.
    bool doNotRetry = false;
};

/// Why a call is refused without having run.
enum class RefusalReason : std::uint8_t {
    /// Too many calls of the same priority are queued.
    QueueFull,
    /// The expected wait leaves no time to run the call.
    WaitWouldPassDeadline,
    /// The call was queued until no time was left to run it.
    Expired,
    /// The service has no upstream.
    NoUpstream,
    /// No upstream could serve the call in time.
    Overloaded,
    /// The daemon is being stopped, and the call might not be over by then.
    Draining,
};

/// Name of `reason` in answers to callers.
std::string_view nameOf(RefusalReason reason);

/// Outcome of a call as reported to its caller.
enum class Disposition : std::uint8_t {
    /// An upstream's answer is relayed to the caller.
    Done,
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
};

/// Send an attempt of the call to the upstream.
struct SendAttempt
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    UpstreamId upstream = 0;
    /// Whether another attempt of the call is still in flight.
    bool hedge = false;
};

/// Tell the caller that the call did not run.
struct RefuseCall
{
    CallId call = 0;
    RefusalReason reason = RefusalReason::QueueFull;
    /// Time after which the caller may try again.
    Millis retryAfter;
};

/// Finish the call with the result of `attempt`.
struct FinishCall
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    Disposition disposition = Disposition::Done;
    /// Time after which the caller may try again if the call is not done; 0 if no time is known.
    Millis retryAfter;
};

/// Cancel the attempt, because its result is no longer needed.
struct CancelAttempt
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    UpstreamId upstream = 0;
};

/// Query the load endpoint of the upstream.
struct ProbeUpstream
{
    UpstreamId upstream = 0;
};

/// What a dispatcher asks its driver to do.
using Action = std::variant<SendAttempt, RefuseCall, FinishCall, CancelAttempt, ProbeUpstream>;
using Actions = std::vector<Action>;

}

#endif
