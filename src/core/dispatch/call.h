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
/// Counts the attempts of one call from 0.
using AttemptNumber = std::uint32_t;

/// A call as the dispatcher needs to know it.
struct CallRequest
{
    CallId id = 0;
    FlowId flow = 0;
    double weight = 1;
    Priority priority = Priority::Normal;
    bool idempotent = false;
    /// Whether the whole request is at hand, so that it can be sent again.
    bool resendable = true;
    Millis deadline;
};

/// How an attempt ended, with what the upstream said of itself.
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    std::optional<LoadReport> report;
    /// The upstream, or one further down, is overloaded: a retry would multiply.
    bool doNotRetry = false;
};

enum class RefusalReason : std::uint8_t {
    QueueFull,
    WaitWouldPassDeadline,
    Expired,
    NoUpstream,
    Overloaded,
};

std::string_view nameOf(RefusalReason reason);

/// What the caller learns of its call.
enum class Disposition : std::uint8_t {
    /// An upstream's answer is to be relayed.
    Done,
    NotRun,
    Unknown,
};

struct SendAttempt
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    UpstreamId upstream = 0;
    bool hedge = false;
};

/// The call did not run; tell the caller so.
struct RefuseCall
{
    CallId call = 0;
    RefusalReason reason = RefusalReason::QueueFull;
    Millis retryAfter;
};

/// The call is over with the result of `attempt`.
struct FinishCall
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    Disposition disposition = Disposition::Done;
    Millis retryAfter;
};

/// Nobody waits for this attempt any more.
struct CancelAttempt
{
    CallId call = 0;
    AttemptNumber attempt = 0;
    UpstreamId upstream = 0;
};

/// Ask the upstream's load endpoint.
struct ProbeUpstream
{
    UpstreamId upstream = 0;
};

using Action = std::variant<SendAttempt, RefuseCall, FinishCall, CancelAttempt, ProbeUpstream>;
using Actions = std::vector<Action>;

}

#endif
