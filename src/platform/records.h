#ifndef LABURNUMMAST_PLATFORM_RECORDS_H
#define LABURNUMMAST_PLATFORM_RECORDS_H

#include "core/fleet/upstreamrecord.h"
#include "core/result.h"
#include "core/routes/routetable.h"

#include <cstdint>
#include <string_view>

namespace Laburnummast::Platform
{

/// Why a record of the store names nothing to use.
enum class RecordError : std::uint8_t {
    Unreadable,
    FieldMissing,
    FieldOfOtherType,
    UnknownWord,
};

std::string_view nameOf(RecordError error);

/// Key of the record that holds the routes.
std::string_view routesKey();

Result<Fleet::UpstreamRecord, RecordError> decodeUpstream(std::string_view key, std::string_view value);
Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value);

}

#endif
