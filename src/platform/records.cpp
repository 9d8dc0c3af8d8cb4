#include "platform/records.h"

#include "core/config/address.h"
#include "platform/fieldreader.h"

#include <boost/asio/ip/address_v4.hpp>
#include <string>

namespace Laburnummast::Platform
{
namespace
{

// Numbers are read as double; integers up to this limit fit in an int.
constexpr double maxSlots = 1e6;
// Integers up to this are exact as double.
constexpr double maxSequenceNumber = 9e15;
constexpr double maxStartTime = 1e15;

// An address that can be connected to; empty if the text is none.
std::optional<Membership::Address> decodeAddress(std::string_view text)
{
    auto address = Config::parseAddress(text);
    boost::system::error_code ec;
    const bool usable = address && address->port > 0 && boost::asio::ip::make_address_v4(address->ip, ec).to_uint() != 0 && !ec;
    return usable ? address : std::nullopt;
}

}

std::string_view nameOf(RecordError error)
{
    switch (error) {
    case RecordError::Unreadable:
        return "unreadable";
    case RecordError::FieldMissing:
        return "field-missing";
    case RecordError::FieldInvalid:
        return "field-of-other-type";
    case RecordError::UnknownWord:
        return "unknown-word";
    case RecordError::FieldUnknown:
        return "unknown-field";
    case RecordError::NameRepeated:
        return "repeated-name";
    }
    return "unknown";
}

// The platform calls the record of the routes config.
std::string_view routesKey()
{
    return "config";
}

std::optional<std::string_view> evacuatedDomain(std::string_view key)
{
    constexpr std::string_view prefix = "evacuate/";
    return key.starts_with(prefix) && key.size() > prefix.size() ? std::optional(key.substr(prefix.size())) : std::nullopt;
}

Result<Fleet::UpstreamRecord, RecordError> decodeUpstream(std::string_view key, std::string_view value)
{
    const auto json = parseJson(value);
    if (!json.is_object()) {
        return RecordError::Unreadable;
    }
    FieldReader fields(json);
    Fleet::UpstreamRecord record;
    record.id = key;
    record.service = fields.text("service");
    const auto address = decodeAddress(fields.text("address"));
    // The platform calls a failure domain a zone.
    record.domain = fields.text("zone");
    record.slots = static_cast<int>(fields.wholeNumber("slots", 1, maxSlots));
    const auto state = fields.text("state");
    // In this record the version is that of the upstream's software, not of the record.
    record.softwareVersion = fields.text("version");
    // Remaining warm-up time as of the record.
    record.warmUpRemaining = fields.duration("cold-remaining");
    // Every upstream numbers its records. The value is not used, but a record without one comes from another writer.
    fields.wholeNumber("sequence-number", 0, maxSequenceNumber);
    // Unix time in milliseconds at which the upstream that wrote the record started, not the time of the record. Not every upstream
    // states it.
    if (fields.contains("born")) {
        record.startedAt = static_cast<std::int64_t>(fields.wholeNumber("born", 0, maxStartTime));
    }
    if (fields.error()) {
        return *fields.error();
    }
    if (!address) {
        return RecordError::FieldInvalid;
    }
    if (state != "ready" && state != "draining") {
        return RecordError::UnknownWord;
    }
    record.address = *address;
    record.draining = state == "draining";
    return record;
}

}
