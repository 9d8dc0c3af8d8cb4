#ifndef LABURNUMMAST_DAEMON_ATTEMPT_H
#define LABURNUMMAST_DAEMON_ATTEMPT_H

#include "core/dispatch/call.h"
#include "daemon/callcontext.h"

#include <memory>
#include <string>
#include <string_view>

namespace Laburnummast::Daemon
{

struct CompletedAttempt
{
    Dispatch::AttemptResult result;
    std::shared_ptr<UpstreamAnswer> answer;
};

/// Request id of one attempt; the upstream has to echo it.
std::string attemptId(const CallContext &call, Dispatch::AttemptNumber attempt);

/// Sends the call to an upstream and reads its answer.
CompletedAttempt performAttempt(CallContext &call, Dispatch::AttemptNumber attempt, const std::shared_ptr<UpstreamEndpoint> &endpoint);

struct CompletedProbe
{
    bool healthy = false;
    Dispatch::LoadReport report;
};

/// Asks the upstream's load endpoint.
CompletedProbe performProbe(UpstreamEndpoint &endpoint);

/// Tells the upstream that nobody waits for `id` any more.
void cancelAttempt(UpstreamEndpoint &endpoint, std::string_view id);

}

#endif
