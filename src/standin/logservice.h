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
        std::int64_t first = 0;
        std::deque<std::string> records;

        std::int64_t next() const
        {
            return first + static_cast<std::int64_t>(records.size());
        }
    };

    void setFault(Net::ServerRequest &request);
    void append(Net::ServerRequest &request, const std::string &name);
    void read(Net::ServerRequest &request, const std::string &name);

    std::size_t m_retention;
    std::mutex m_mutex;
    std::condition_variable m_grown;
    std::map<std::string, Stream> m_streams;
    std::atomic<bool> m_outage = false;
    std::atomic<int> m_loseAnswers = 0;
    std::atomic<int> m_slowMs = 0;
};

}

#endif
