#ifndef LABURNUMMAST_NET_LOGCLIENT_H
#define LABURNUMMAST_NET_LOGCLIENT_H

#include "core/config/note.h"
#include "core/millis.h"
#include "net/httpclient.h"

#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Net
{

using Config::Offset;

/// Why a request to the log service failed.
enum class LogError : std::uint8_t {
    /// Nothing was appended, or nothing was read.
    Unreachable,
    /// The record may or may not have been appended.
    Ambiguous,
    /// The log service refused the request.
    Refused,
    /// The response to a read is not a valid page.
    Malformed,
};

/// Name of an error in lower case with hyphens.
std::string_view nameOf(LogError error);

/// One record of a stream.
struct LogRecord
{
    Offset offset = Config::noOffset;
    std::string data;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, data);
    }
};

/// Records of a stream that one read returned. All offsets include the era that the log stated.
struct LogPage
{
    /// Oldest offset that the log still retains.
    Offset first = 0;
    /// Offset that the next appended record will get.
    Offset next = 0;
    std::vector<LogRecord> records;
};

/// Client of the platform's log service. Every request uses a new connection, because an idle one could have been lost unnoticed.
class LogClient
{
public:
    explicit LogClient(Address address);

    /// Appends a record and returns its offset.
    Result<Offset, LogError> append(std::string_view stream, std::string_view record, Millis timeout) const;
    /// Reads up to `maxRecords` records from offset `from` on; waits up to `wait` for the first.
    ///
    /// If the page is of a later era than `from`, its records need not follow those read before.
    Result<LogPage, LogError> read(std::string_view stream, Offset from, int maxRecords, Millis wait) const;
    /// Reads the last `maxRecords` records of a stream.
    Result<LogPage, LogError> readLast(std::string_view stream, int maxRecords) const;

private:
    Result<LogPage, LogError> readPage(const std::string &target, Millis timeout) const;

    Address m_address;
};

// Names of the streams in the log service.
constexpr std::string_view noteStream = "notes";
constexpr std::string_view snapshotStream = "snapshots";
constexpr std::string_view usageStream = "usage";

}

#endif
