#ifndef LABURNUMMAST_PLATFORM_DIRECTORY_H
#define LABURNUMMAST_PLATFORM_DIRECTORY_H

#include "core/millis.h"
#include "http/message.h"

#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Platform
{

/// Whether a target asks for the entry list.
bool asksForEntries(std::string_view target);
/// Failure domain of the caller that asks; empty if it did not say.
std::string callerDomain(std::string_view target);
Http::Response entriesResponse(std::span<const std::string> addresses, Millis maxAge);

/// Whether a target asks if this daemon is ready.
bool asksForReadiness(std::string_view target);
Http::Response readinessResponse(bool ready);

}

#endif
