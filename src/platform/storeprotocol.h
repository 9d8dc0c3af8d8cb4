#ifndef LABURNUMMAST_PLATFORM_STOREPROTOCOL_H
#define LABURNUMMAST_PLATFORM_STOREPROTOCOL_H

#include "core/feed/keyedfeed.h"
#include "core/millis.h"
#include "core/result.h"
#include "http/message.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Platform
{

/// Why the store gave nothing.
enum class StoreError : std::uint8_t {
    /// The records asked for are gone; the newest of each key are to be listed again.
    RecordsGone,
    /// Too many calls.
    Throttled,
    /// Nothing was done.
    Unavailable,
    Malformed,
    Unexpected,
};

std::string_view nameOf(StoreError error);

/// Topics that the store keeps for routes and for upstreams.
std::string_view routesTopic();
std::string_view upstreamsTopic();

/// One page of the newest records of all keys.
struct SnapshotPage
{
    std::vector<Feed::KeyedRecord> records;
    /// The list goes on behind the last key.
    bool hasMore = false;
    std::int64_t end = 0;
};

/// Records that follow an offset.
struct LogRecords
{
    std::int64_t end = 0;
    std::int64_t firstOffset = 0;
    std::vector<Feed::KeyedRecord> records;
    /// Records of this system's own that no key could be read from.
    std::size_t unreadableCount = 0;
    /// Offset after the last record received.
    std::int64_t nextOffset = 0;
};

Http::Request snapshotRequest(std::string_view topic, std::string_view afterKey);
Result<SnapshotPage, StoreError> decodeSnapshotPage(const Http::Response &response);

/// Answered once a record at `from` or later exists, or after `wait`.
Http::Request logReadRequest(std::string_view topic, std::int64_t from, Millis maxWait);
Result<LogRecords, StoreError> decodeLogRecords(const Http::Response &response, std::int64_t from);

}

#endif
