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

/// Why a response of the store has no usable records.
enum class StoreError : std::uint8_t {
    /// The requested records are no longer in the log; a new snapshot is needed.
    RecordsGone,
    /// The store received too many calls.
    Throttled,
    /// The store did not execute the call.
    Unavailable,
    /// The body of the response cannot be decoded.
    Malformed,
    /// The status of the response is none of the expected ones.
    Unexpected,
};

/// Name of the error for log lines.
std::string_view nameOf(StoreError error);

/// Topics of the store that hold the routes and the records of upstreams.
std::string_view routesTopic();
std::string_view upstreamsTopic();

/// Era of the offsets in any response of the store; 0 if the response does not state it.
std::int64_t storeEra(const Http::Response &response);

/// One page of a snapshot, which has the latest record of every key of a topic.
struct SnapshotPage
{
    std::vector<Feed::KeyedRecord> records;
    /// Whether the snapshot continues after the last key of this page.
    bool hasMore = false;
    /// Last key of the page, also of an entry that was left out; empty if no entry has a key.
    std::string lastKey;
    /// Offset after the last record of the log.
    std::int64_t end = 0;
};

/// Records of a topic's log from a requested offset on.
struct LogRecords
{
    /// Offset after the last record of the log.
    std::int64_t end = 0;
    /// Offset of the oldest record that is still in the log.
    std::int64_t firstOffset = 0;
    std::vector<Feed::KeyedRecord> records;
    /// Number of received records whose key cannot be read; these are not in `records`.
    std::size_t unreadableCount = 0;
    /// Offset after the last received record; the requested offset if there was none.
    std::int64_t nextOffset = 0;
};

/// Requests the page of the snapshot that follows `afterKey`, or the first page if it is empty.
Http::Request snapshotRequest(std::string_view topic, std::string_view afterKey);
/// Decodes a page; entries without a key or an offset are left out.
Result<SnapshotPage, StoreError> decodeSnapshotPage(const Http::Response &response);

/// Requests the records at offset `from` and later; the store responds once there is one, or after `maxWait`.
Http::Request logReadRequest(std::string_view topic, std::int64_t from, Millis maxWait);
/// Decodes the response to a logReadRequest() with the same `from`.
Result<LogRecords, StoreError> decodeLogRecords(const Http::Response &response, std::int64_t from);

}

#endif
