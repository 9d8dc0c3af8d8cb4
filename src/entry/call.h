#ifndef LABURNUMMAST_ENTRY_CALL_H
#define LABURNUMMAST_ENTRY_CALL_H

#include "core/millis.h"
#include "core/placement/loadreport.h"
#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// A caller's request, read whole; nothing of it is changed on its way.
struct IncomingCall
{
    std::string id;
    std::string host;
    std::string method;
    /// Path and query.
    std::string target;
    /// Without those that concern one connection only.
    Http::Headers headers;
    std::string body;
    /// How long the caller waits; nothing if it did not say.
    std::optional<Millis> callerTimeout;
};

/// Why a request is no call.
enum class CallError : std::uint8_t {
    NoHost,
    NoId,
    BadDeadline,
};

std::string_view nameOf(CallError error);

/// What an upstream's answer to an attempt says.
enum class AnswerKind : std::uint8_t {
    /// Whole and successful.
    Success,
    /// The upstream's own failure: the work ran, or may have.
    Failure,
    /// The upstream did not run it and never will.
    NotRun,
    /// Another upstream has this address; not run.
    WrongInstance,
    /// Not the upstream's own bytes: not to be passed on.
    Unusable,
};

struct UpstreamAnswer
{
    AnswerKind kind = AnswerKind::Unusable;
    std::optional<Placement::LoadReport> load;
    /// What the caller gets.
    Http::Response response;
};

}

#endif
