#ifndef LABURNUMMAST_PLATFORM_REQUESTS_H
#define LABURNUMMAST_PLATFORM_REQUESTS_H

#include "core/result.h"
#include "entry/call.h"

#include <string_view>

namespace Laburnummast::Platform
{

/// Decodes a caller's request.
Result<Entry::IncomingCall, Entry::CallError> decodeCall(Http::Request request);

/// The request as an upstream gets it: `left` is the time in which its answer is of use.
Http::Request encodeAttempt(const Entry::IncomingCall &call, std::string_view upstream, Millis remaining);

/// Whether a response on an upstream's connection can be the one to that call.
bool isResponseToCall(const Http::Response &response, std::string_view callId);
Entry::UpstreamAnswer decodeAnswer(Http::Response response);

/// Asks an upstream for its health and load.
Http::Request probeRequest(std::string_view healthPath, std::string_view host);
bool isResponseToProbe(const Http::Response &response);
Placement::ProbeResult decodeProbeResponse(const Http::Response &response, std::string_view upstream);

/// The call did not run and never will; the caller may come back after `retryAfter`.
Http::Response notRunResponse(std::string_view callId, Millis retryAfter);
/// An answer of this system's own.
Http::Response localResponse(std::string_view callId, int status);

}

#endif
