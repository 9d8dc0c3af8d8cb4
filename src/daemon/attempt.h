#ifndef LABURNUMMAST_DAEMON_ATTEMPT_H
#define LABURNUMMAST_DAEMON_ATTEMPT_H

#include "core/dispatch/call.h"
#include "daemon/callcontext.h"

#include <memory>
#include <string>
#include <string_view>

namespace Laburnummast::Daemon
{

/// Result of an attempt, and the answer if it got one.
struct CompletedAttempt
{
    Dispatch::AttemptResult result;
    /// Empty if there was no valid answer.
    std::shared_ptr<UpstreamAnswer> answer;
};

/// Request id that identifies one attempt to the upstream, which must echo it.
std::string attemptId(const CallContext &call, Dispatch::AttemptNumber attempt);

/// Sends the call to the upstream and reads its answer, of a long one only the beginning; blocks meanwhile.
///
/// Without a usable connection the outcome is NotSent.
CompletedAttempt performAttempt(CallContext &call, Dispatch::AttemptNumber attempt, const std::shared_ptr<UpstreamEndpoint> &endpoint);

/// Result of a probe.
struct CompletedProbe
{
    /// Whether the upstream answered with a load report and without a server error.
    bool healthy = false;
    /// The received load report; default values without one.
    Dispatch::LoadReport report;
};

/// Requests a load report from the upstream and waits for it; not healthy if none arrives in time.
CompletedProbe performProbe(UpstreamEndpoint &endpoint);

/// Cancels the attempt with the request id `id` at the upstream; errors are ignored.
void cancelAttempt(UpstreamEndpoint &endpoint, std::string_view id);

}

#endif
