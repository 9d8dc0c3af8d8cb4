#include "platform/storeprotocol.h"

#include "core/text.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace Laburnummast::Platform
{
namespace
{

using Json = nlohmann::json;

// Sizes of the length before each record of a log response, and of the offsets at its start; both are big-endian.
constexpr std::size_t recordLengthBytes = 4;
constexpr std::size_t offsetBytes = 8;

std::uint64_t decodeBigEndian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char it : bytes) {
        number = number << 8 | static_cast<unsigned char>(it);
    }
    return number;
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char it : text) {
        const auto c = static_cast<unsigned char>(it);
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded.push_back(it);
        } else {
            constexpr std::string_view digits = "0123456789ABCDEF";
            encoded.append({'%', digits[c >> 4], digits[c & 15]});
        }
    }
    return encoded;
}

// Returns nothing for a success.
std::optional<StoreError> errorOf(const Http::Response &response)
{
    switch (response.status) {
    case 200:
        return std::nullopt;
    case 410:
        return StoreError::RecordsGone;
    case 429:
        return StoreError::Throttled;
    case 503:
        return StoreError::Unavailable;
    default:
        return StoreError::Unexpected;
    }
}

// The content of a record is one byte with the length of the key, the key, and the value. An empty value removes the key.
std::optional<Feed::KeyedRecord> decodeLogRecord(std::string_view content, std::int64_t offset)
{
    if (content.empty()) {
        return std::nullopt;
    }
    const std::size_t keyLength = static_cast<unsigned char>(content.front());
    if (content.size() < 1 + keyLength) {
        return std::nullopt;
    }
    Feed::KeyedRecord record{.key = std::string(content.substr(1, keyLength)), .offset = offset, .value = std::nullopt};
    const auto value = content.substr(1 + keyLength);
    if (!value.empty()) {
        record.value = std::string(value);
    }
    return record;
}

std::optional<Feed::KeyedRecord> decodeSnapshotItem(const Json &item)
{
    if (!item.is_object() || !item.contains("key") || !item["key"].is_string() || !item.contains("offset")
        || !item["offset"].is_number_integer()) {
        return std::nullopt;
    }
    Feed::KeyedRecord record{.key = item["key"].get<std::string>(), .offset = item["offset"].get<std::int64_t>(), .value = std::nullopt};
    if (item.contains("value") && item["value"].is_string()) {
        record.value = Text::fromBase64(item["value"].get<std::string>());
    }
    return record;
}

}

std::string_view nameOf(StoreError error)
{
    switch (error) {
    case StoreError::RecordsGone:
        return "records-gone";
    case StoreError::Throttled:
        return "throttled";
    case StoreError::Unavailable:
        return "unavailable";
    case StoreError::Malformed:
        return "malformed";
    case StoreError::Unexpected:
        return "unexpected";
    }
    return "unknown";
}

// This topic holds the routes, although its name does not say so.
std::string_view routesTopic()
{
    return "keyed.op";
}

// The platform calls upstreams servers.
std::string_view upstreamsTopic()
{
    return "keyed.servers";
}

std::int64_t storeEra(const Http::Response &response)
{
    const auto era = Http::find(response.headers, "Store-Era");
    return era ? Text::parseInteger(*era).value_or(0) : 0;
}

// Only part 0 of a topic is read, here and in logReadRequest().
Http::Request snapshotRequest(std::string_view topic, std::string_view afterKey)
{
    auto target = Text::concat("/laburnummast/log-newest?topic=", topic, "&part=0");
    if (!afterKey.empty()) {
        Text::append(target, "&after=", percentEncode(afterKey));
    }
    return {.method = "GET", .target = std::move(target), .headers = {}, .body = {}};
}

Result<SnapshotPage, StoreError> decodeSnapshotPage(const Http::Response &response)
{
    if (const auto error = errorOf(response)) {
        return *error;
    }
    const auto json = Json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("items") || !json["items"].is_array() || !json.contains("end")
        || !json["end"].is_number_integer()) {
        return StoreError::Malformed;
    }
    SnapshotPage page;
    page.end = json["end"].get<std::int64_t>();
    page.hasMore = json.contains("more") && json["more"] == true;
    for (const auto &it : json["items"]) {
        if (it.is_object() && it.contains("key") && it["key"].is_string()) {
            page.lastKey = it["key"].get<std::string>();
        }
        if (auto record = decodeSnapshotItem(it)) {
            page.records.push_back(std::move(*record));
        }
    }
    return page;
}

Http::Request logReadRequest(std::string_view topic, std::int64_t from, Millis maxWait)
{
    return {.method = "GET",
            .target = Text::concat(
                "/laburnummast/log-read?topic=", topic, "&part=0&from=", from, "&wait-ms=", static_cast<std::int64_t>(maxWait.count)),
            .headers = {},
            .body = {}};
}

Result<LogRecords, StoreError> decodeLogRecords(const Http::Response &response, std::int64_t from)
{
    if (const auto error = errorOf(response)) {
        return *error;
    }
    std::string_view bytes = response.body;
    if (bytes.size() < 2 * offsetBytes) {
        return StoreError::Malformed;
    }
    // The response begins with the end of the log and the offset of its oldest record. The records follow without offsets: the
    // first one has the requested offset.
    LogRecords log;
    log.end = static_cast<std::int64_t>(decodeBigEndian(bytes.substr(0, offsetBytes)));
    log.firstOffset = static_cast<std::int64_t>(decodeBigEndian(bytes.substr(offsetBytes, offsetBytes)));
    log.nextOffset = from;
    bytes.remove_prefix(2 * offsetBytes);
    while (bytes.size() >= recordLengthBytes) {
        const auto length = decodeBigEndian(bytes.substr(0, recordLengthBytes));
        if (bytes.size() - recordLengthBytes < length) {
            return StoreError::Malformed;
        }
        auto record = decodeLogRecord(bytes.substr(recordLengthBytes, length), log.nextOffset);
        if (record) {
            log.records.push_back(std::move(*record));
        } else {
            ++log.unreadableCount;
        }
        ++log.nextOffset;
        bytes.remove_prefix(recordLengthBytes + length);
    }
    return log;
}

}
