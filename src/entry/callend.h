#ifndef LABURNUMMAST_ENTRY_CALLEND_H
#define LABURNUMMAST_ENTRY_CALLEND_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Laburnummast::Entry
{

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t {
    /// With an answer of an upstream whose status is below 400.
    Answered,
    /// With an answer of an upstream whose status is 400 or higher.
    Failed,
    /// Refused; the call was not executed.
    NotRun,
    /// Without a usable answer; the call may have been executed.
    Unknown,
    /// Without an answer by the deadline.
    Late,
    NoRoute,
    /// Refused because this daemon does not know routes or upstreams yet.
    NotReady,
    BadRequest,
    /// The caller closed its connection before the answer.
    CallerLeft,
    /// Rejected because of its credential.
    Unauthorized,
    /// Refused because it is beyond the allowance of its workspace.
    OverAllowance,
};

constexpr std::size_t callEndCount = 11;
/// Name in metrics and in the log.
std::string_view nameOf(CallEnd end);

}

#endif
