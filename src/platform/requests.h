#ifndef LABURNUMMAST_PLATFORM_REQUESTS_H
#define LABURNUMMAST_PLATFORM_REQUESTS_H

#include "core/placement/upstreamavailability.h"
#include "core/result.h"
#include "core/workspaces/credential.h"
#include "entry/call.h"

#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Platform
{

/// Decodes a caller's request. Removes headers that concern only its connection or that are set anew for each attempt.
Result<Entry::IncomingCall, Entry::CallError> decodeCall(Http::Request request);

/// Removes the headers of the caller that state a credential or a workspace, and returns the credential. The credential is not checked
/// against any workspace.
Result<std::string, Workspaces::CredentialError> takeCredential(Entry::IncomingCall &call);

/// The request that is sent to `upstream`, without its body. `remaining` is the time within which the caller needs the answer; it is
/// sent in whole milliseconds, at least 1.
Http::Request attemptHead(const Entry::IncomingCall &call, std::string_view upstream, Millis remaining);

/// Whether a response on an upstream's connection can be the one to the call `callId`.
bool isResponseToCall(const Http::Response &response, std::string_view callId);
/// Classifies a response to an attempt, and takes its load report out of the headers that the caller gets.
Entry::UpstreamAnswer decodeAnswer(Http::Response response);

/// Calls per second that `upstream` accepts from all daemons together according to its response; empty if it accepts any rate.
Result<std::optional<double>, Entry::LimitError> namedLimit(const Http::Response &response, std::string_view upstream);

/// What `upstream` says in its response about further calls from this daemon; empty if another one sent it.
Placement::AvailabilityNotice availabilityNotice(const Http::Response &response, std::string_view upstream);
/// Whether a refusal has a `Retry-After` that is no number of seconds.
bool hasUnreadableRetryAfter(const Http::Response &response);

/// Request that probes the health and load of an upstream.
Http::Request probeRequest(std::string_view healthPath, std::string_view host);
/// Whether a response on an upstream's connection can be the one to a probe.
bool isResponseToProbe(const Http::Response &response);
/// Decodes the response to a probe of `upstream`.
Placement::ProbeResult decodeProbeResponse(const Http::Response &response, std::string_view upstream);

/// Response to a call that was not run and will not be; the caller may try again after `retryAfter`.
Http::Response notRunResponse(std::string_view callId, Millis retryAfter);
/// Response to a call beyond the allowance of its workspace; it was not run, and the caller may try again after `retryAfter`.
Http::Response overAllowanceResponse(std::string_view callId, Millis retryAfter);
/// Response to a call whose credential is rejected.
Http::Response unauthorizedResponse(std::string_view callId);
/// Response without a body that this daemon creates itself; an empty `callId` is left out.
Http::Response localResponse(std::string_view callId, int status);

}

#endif
