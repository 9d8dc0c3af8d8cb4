#ifndef LABURNUMMAST_CORE_LIMITS_ALLOWANCE_H
#define LABURNUMMAST_CORE_LIMITS_ALLOWANCE_H

#include "core/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Limits
{

/// Calls that all daemons together may accept for one workspace.
struct Allowance
{
    std::string workspace;
    /// Calls per second; greater than 0.
    double perSecond = 0;
    /// Calls beyond the rate that may be accepted at once after a pause.
    double burst = 0;

    friend bool operator==(const Allowance &, const Allowance &) = default;
};

/// Request of a daemon to the home of a workspace.
struct AllowanceRequest
{
    std::string workspace;
    /// Identifies the request for its sender; a repeated request has the same number.
    std::uint64_t number = 0;
    /// Tokens wanted; 0 only tells the home that this daemon is reachable.
    std::uint32_t wanted = 0;
    /// The sender got no answer lately and accepts calls by its own share of the rate.
    bool usesOwnShare = false;
    /// The sender will not use the workspace for a while, so its silence is no sign of a lost link.
    bool isLast = false;
};

/// What the home decided about a request.
enum class AllowanceVerdict : std::uint8_t {
    /// All wanted tokens are granted.
    Granted,
    /// Fewer tokens than wanted are granted, or none.
    Short,
    /// The daemon grants nothing at present: it is not the home, or has not been for long enough.
    NotServing,
};

/// Answer of a home.
struct AllowanceAnswer
{
    std::string workspace;
    std::uint64_t number = 0;
    AllowanceVerdict verdict = AllowanceVerdict::NotServing;
    std::uint32_t tokens = 0;
    /// Time until the next token is due.
    Millis retryAfter;
};

/// What a decision about a call is based on.
enum class AllowanceSource : std::uint8_t {
    /// The workspace has no limit.
    Unlimited,
    /// Tokens or a denial of the home.
    Home,
    /// This daemon's own share of the rate, because the home does not answer.
    OwnShare,
};

/// Name in the log.
std::string_view nameOf(AllowanceSource source);

/// The call may be submitted.
struct CallAllowed
{
    AllowanceSource source = AllowanceSource::Unlimited;
};

/// The call is beyond the allowance.
struct CallDenied
{
    AllowanceSource source = AllowanceSource::Home;
    Millis retryAfter;
};

/// The home was asked; the decision follows within some tens of milliseconds.
struct CallHeld
{
};

using AllowanceDecision = std::variant<CallAllowed, CallDenied, CallHeld>;

/// Asks the caller to send a request to the home of its workspace.
struct SendAllowanceRequest
{
    AllowanceRequest request;
};

/// Decision about a call that was held; never CallHeld.
struct DecideHeldCall
{
    std::uint64_t call = 0;
    AllowanceDecision decision;
};

using AllowanceAction = std::variant<SendAllowanceRequest, DecideHeldCall>;
using AllowanceActions = std::vector<AllowanceAction>;

/// Time after which granted tokens expire, from when they were asked for.
///
/// A window of the bound may thus contain the calls of this much more time: 0.25 s of the rate, half of the overshoot of 10% of 5 s. The
/// other half is left for the own shares of daemons that the home does not yet know to be cut off.
constexpr Millis leaseLifetime = 250_ms;

/// Interval of requests that a daemon sends without calls while it uses a workspace, so that the home notices a cut link.
constexpr Millis keepAliveInterval = 400_ms;
/// Time without a request after which the home reserves the share of a daemon that used the workspace.
constexpr Millis silentAfter = 1_s;
/// Rate up to which the home does not watch for silent daemons: their own shares add up to less than the slack until they are declared
/// dead.
constexpr double largestUnwatchedRate = 3;

/// Whether daemons send keep-alive requests for the workspace.
inline bool isWatched(const Allowance &allowance)
{
    return allowance.perSecond > largestUnwatchedRate;
}

}

#endif
