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
bool isEntryListRequest(std::string_view target);
/// Failure domain of the caller that asks; empty if it did not say.
std::string callerDomain(std::string_view target);
Http::Response entryListResponse(std::span<const std::string> addresses, Millis maxAge);

/// Whether a target asks if this daemon is ready.
bool isReadinessRequest(std::string_view target);
Http::Response readinessResponse(bool ready);

}

#endif
