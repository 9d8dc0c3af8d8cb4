#ifndef LABURNUMMAST_ENTRY_CALL_H
#define LABURNUMMAST_ENTRY_CALL_H

#include "core/millis.h"
#include "core/placement/loadreport.h"
#include "http/message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// Complete request of a caller; upstreams get its content unchanged.
struct IncomingCall
{
    /// Request id that the caller chose.
    std::string id;
    /// Host header.
    std::string host;
    std::string method;
    /// Path and query.
    std::string target;
    /// Without headers that apply to one connection only or that are set for each attempt.
    Http::Headers headers;
    /// Name of the workspace whose credential the request carried; empty if no credential was needed.
    std::string workspace;
    /// Shared with the attempts that send it; never null.
    std::shared_ptr<const std::string> body;
    /// How long the caller waits for the answer; empty if the request does not say.
    std::optional<Millis> callerTimeout;
};

/// Why a request cannot be handled as a call.
enum class CallError : std::uint8_t {
    NoHost,
    NoId,
    /// The deadline header is not a valid number.
    BadDeadline,
};

/// Name of the error in the log.
std::string_view nameOf(CallError error);

/// Why a response does not tell the limit of an upstream.
enum class LimitError : std::uint8_t {
    /// Another upstream sent it, or it has neither a limit nor the mark of an answer to a call, so that the absence says nothing.
    NotStated,
    /// The limit is not a number of calls per second.
    NotARate,
};

/// Result of an attempt according to the answer of the upstream.
enum class AnswerKind : std::uint8_t {
    /// Complete and successful.
    Success,
    /// The upstream failed: the call was executed or may have been.
    Failure,
    /// The upstream did not execute the call and never will.
    NotRun,
    /// Another upstream instance has this address; the call was not executed.
    WrongInstance,
    /// Not an authentic answer of the upstream; must not be forwarded to the caller.
    Unusable,
};

/// Decoded answer of an upstream to an attempt.
struct UpstreamAnswer
{
    AnswerKind kind = AnswerKind::Unusable;
    /// Empty if the answer carries no valid load report.
    std::optional<Placement::LoadReport> load;
    /// Response to forward to the caller.
    Http::Response response;
};

}

#endif
