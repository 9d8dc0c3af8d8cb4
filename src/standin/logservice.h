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

/// Streams of records with offsets, long polls and bounded retention; faults on request.
class LogService
{
public:
    explicit LogService(std::size_t retention);

    void handle(Net::ServerRequest &request);

private:
    struct Stream
    {
        std::int64_t firstOffset = 0;
        std::deque<std::string> records;

        std::int64_t nextOffset() const
        {
            return firstOffset + static_cast<std::int64_t>(records.size());
        }
    };

    void setFaults(Net::ServerRequest &request);
    void append(Net::ServerRequest &request, const std::string &streamName);
    void read(Net::ServerRequest &request, const std::string &streamName);

    std::size_t m_retention;
    std::mutex m_mutex;
    std::condition_variable m_streamsChanged;
    std::map<std::string, Stream> m_streams;
    std::atomic<bool> m_outage = false;
    std::atomic<int> m_responsesToLose = 0;
    std::atomic<int> m_delayMs = 0;
};

}

#endif
