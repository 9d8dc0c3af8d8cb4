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

enum class LogError : std::uint8_t {
    /// The append was certainly not taken, or nothing was read.
    Unreachable,
    /// The append may have been taken.
    Ambiguous,
    /// The log service refused the request.
    Refused,
    Malformed,
};

std::string_view nameOf(LogError error);

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

struct LogPage
{
    /// Oldest offset that the log still keeps.
    Offset first = 0;
    /// Offset of the next append.
    Offset next = 0;
    std::vector<LogRecord> records;
};

/// Client of the platform's log service. Every request has a new connection: none is kept that could go silent.
class LogClient
{
public:
    explicit LogClient(Address address);

    Result<Offset, LogError> append(std::string_view stream, std::string_view record, Millis timeout) const;
    /// Reads records from `from` on; waits up to `wait` for the first.
    Result<LogPage, LogError> read(std::string_view stream, Offset from, int maxRecords, Millis wait) const;
    /// Reads the last records of a stream.
    Result<LogPage, LogError> readLast(std::string_view stream, int maxRecords) const;

private:
    Result<LogPage, LogError> readPage(const std::string &target, Millis timeout) const;

    Address m_address;
};

constexpr std::string_view noteStream = "notes";
constexpr std::string_view snapshotStream = "snapshots";
constexpr std::string_view usageStream = "usage";

}

#endif
