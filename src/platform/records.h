#ifndef LABURNUMMAST_PLATFORM_RECORDS_H
#define LABURNUMMAST_PLATFORM_RECORDS_H

#include "core/fleet/upstreamrecord.h"
#include "core/result.h"
#include "core/routes/routetable.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Laburnummast::Platform
{

/// Why a record of the store cannot be used.
enum class RecordError : std::uint8_t {
    /// The value is not a JSON object.
    Unreadable,
    /// A required field is missing.
    FieldMissing,
    /// A field has an unexpected type or format, or its value is out of range.
    FieldInvalid,
    /// A field holds none of the words that are defined for it.
    UnknownWord,
};

/// Name of the error for log lines.
std::string_view nameOf(RecordError error);

/// Key of the record of the routes topic that holds the routes.
std::string_view routesKey();
/// Failure domain that a record of the routes topic with this key evacuates; empty if it evacuates none.
std::optional<std::string_view> evacuatedDomain(std::string_view key);

/// Decodes the record of the upstream whose id is `key`; unknown fields are ignored.
Result<Fleet::UpstreamRecord, RecordError> decodeUpstream(std::string_view key, std::string_view value);
/// Decodes the routes, services and limits; unknown fields are ignored.
Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value);

}

#endif
