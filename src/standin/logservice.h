#ifndef LABURNUMMAST_STANDIN_LOGSERVICE_H
#define LABURNUMMAST_STANDIN_LOGSERVICE_H

#include "net/httpserver.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Laburnummast::Standin
{

/// In-memory stand-in for the platform's log service: streams of records with offsets and long polling.
///
/// On /v1/streams/NAME/records, POST appends a record and GET reads records; any request to /fault sets the faults.
/// Every response states the era in the header `Store-Era`; it rises by one when the streams are restored from an older copy,
/// unless the fault asks to keep it.
class LogService
{
public:
    /// Keeps at most `maxRecordsPerStream` records in each stream.
    explicit LogService(std::size_t maxRecordsPerStream);

    /// Handles one request; may be called from several threads at once.
    void handle(Net::ServerRequest &request);

private:
    struct Stream
    {
        /// Offset of the oldest record still kept.
        std::int64_t firstOffset = 0;
        std::deque<std::string> records;

        /// Offset that the next appended record gets.
        std::int64_t nextOffset() const
        {
            return firstOffset + static_cast<std::int64_t>(records.size());
        }
    };

    void respond(Net::ServerRequest &request, int status, std::string body, std::int64_t era) const;
    void setFaults(Net::ServerRequest &request);
    void append(Net::ServerRequest &request, const std::string &streamName);
    void read(Net::ServerRequest &request, const std::string &streamName);

    std::size_t m_maxRecordsPerStream;
    std::mutex m_mutex;
    std::condition_variable m_streamsChanged;
    std::map<std::string, Stream> m_streams;
    /// Copy of the streams to restore.
    std::map<std::string, Stream> m_copiedStreams;
    std::atomic<std::int64_t> m_era = 0;
    /// Whether every request to a stream gets a response with status 503.
    std::atomic<bool> m_outage = false;
    /// Number of further appends that are carried out but get no response.
    std::atomic<int> m_responsesToLose = 0;
    /// Delay before each request to a stream is handled, in milliseconds.
    std::atomic<int> m_delayMs = 0;
};

}

#endif
