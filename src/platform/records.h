#ifndef LABURNUMMAST_PLATFORM_RECORDS_H
#define LABURNUMMAST_PLATFORM_RECORDS_H

#include "core/fleet/upstreamrecord.h"
#include "core/result.h"
#include "core/routes/configplace.h"
#include "core/routes/routetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    /// A field that is not used; never a reason to reject a record.
    FieldUnknown,
    /// A name that occurs more than once in an object, of which the last is used. Not found by decoding; see findRepeatedNames().
    NameRepeated,
};

/// Name of the error for log lines.
std::string_view nameOf(RecordError error);

/// A field of the routes that cannot be used.
struct RecordProblem
{
    RecordError error = RecordError::Unreadable;
    Routes::ConfigEntry entry = Routes::ConfigEntry::Whole;
    /// Name of a route, service or workspace; otherwise empty.
    std::string name;
    /// Name of the field in the record; empty for the entry itself.
    std::string field;
    /// What the field must be; empty if any value is ignored.
    std::string expected;
    /// Whether the whole record is rejected; otherwise defaults are used or the field is ignored.
    bool rejectsRecord = true;
};

/// Key of the record of the routes topic that holds the routes.
std::string_view routesKey();
/// Failure domain that a record of the routes topic with this key evacuates; empty if it evacuates none.
std::optional<std::string_view> evacuatedDomain(std::string_view key);

/// Decodes the record of the upstream whose id is `key`; unknown fields are ignored.
///
/// A record that lacks a field, or has one of another type, may come from another writer and defines no upstream. Only the start time is
/// optional.
Result<Fleet::UpstreamRecord, RecordError> decodeUpstream(std::string_view key, std::string_view value);
/// Decodes the routes, services and limits; unknown fields are ignored.
Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value);
/// The same, and adds all problems of the record to `problems`, unknown fields among them.
Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value, std::vector<RecordProblem> &problems);

/// Finds names that occur more than once in one object of a record, given with the names of the objects around them.
std::vector<RecordProblem> findRepeatedNames(std::string_view value);

/// Name of a field of the routes in the record.
std::string_view nameOf(Routes::ConfigField field);

}

#endif
