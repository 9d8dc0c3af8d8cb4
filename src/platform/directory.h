#ifndef LABURNUMMAST_PLATFORM_DIRECTORY_H
#define LABURNUMMAST_PLATFORM_DIRECTORY_H

#include "core/millis.h"
#include "http/message.h"

#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Platform
{

/// Whether the target of a request is the path of the entry list.
bool isEntryListRequest(std::string_view target);
/// Failure domain that the caller states in the query of an entry list request; empty if it states none.
std::string callerDomain(std::string_view target);
/// Encodes the entry list: the addresses as IP:PORT, up to a fixed number, and how long the caller may keep the list.
///
/// The status is 503 if there are no addresses.
Http::Response entryListResponse(std::span<const std::string> addresses, Millis maxAge);

/// Whether the target of a request is the path of the readiness check.
bool isReadinessRequest(std::string_view target);
/// Response to a readiness check: status 200 if ready, otherwise 503.
Http::Response readinessResponse(bool ready);

}

#endif
