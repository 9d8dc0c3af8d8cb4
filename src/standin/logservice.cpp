#include "standin/logservice.h"

#include "core/text.h"
#include "process/wallclock.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace Laburnummast::Standin
{
namespace
{

// Value of a query parameter; `defaultValue` if it is missing or not an integer.
std::int64_t integerParameter(const Net::ServerRequest &request, const char *parameter, std::int64_t defaultValue)
{
    return Text::parseInteger(request.parameter(parameter)).value_or(defaultValue);
}

}

LogService::LogService(std::size_t maxRecordsPerStream)
    : m_maxRecordsPerStream(maxRecordsPerStream)
{
}

void LogService::respond(Net::ServerRequest &request, int status, std::string body, std::int64_t era) const
{
    Net::sendResponse(request, {.status = status, .headers = {{.name = "Store-Era", .value = Text::concat(era)}}, .body = std::move(body)});
}

void LogService::handle(Net::ServerRequest &request)
{
    const auto parts = Text::split(request.path(), '/');
    if (parts.size() == 1 && parts[0] == "fault") {
        setFaults(request);
        return;
    }
    if (parts.size() != 4 || parts[1] != "streams" || parts[3] != "records") {
        respond(request, 404, "{}\n", m_era);
        return;
    }
    std::this_thread::sleep_for(Process::toChrono({static_cast<double>(m_delayMs)}));
    if (m_outage) {
        request.closeAfterResponse();
        respond(request, 503, "{\"failure\":\"outage\"}\n", m_era);
    } else if (request.method() == "POST") {
        append(request, std::string(parts[2]));
    } else {
        read(request, std::string(parts[2]));
    }
}

// A fault that the request does not name is switched off. "copy=1" copies the streams, "restore=1" replaces them by that copy,
// in the same era with "keep_era=1".
void LogService::setFaults(Net::ServerRequest &request)
{
    m_outage = integerParameter(request, "outage", 0) != 0;
    m_responsesToLose = static_cast<int>(integerParameter(request, "lose_answers", 0));
    m_delayMs = static_cast<int>(integerParameter(request, "slow_ms", 0));
    {
        const std::lock_guard lock(m_mutex);
        if (integerParameter(request, "copy", 0) != 0) {
            m_copiedStreams = m_streams;
        }
        if (integerParameter(request, "restore", 0) != 0) {
            m_streams = m_copiedStreams;
            m_era += integerParameter(request, "keep_era", 0) != 0 ? 0 : 1;
        }
    }
    m_streamsChanged.notify_all();
    respond(request, 200, "{}\n", m_era);
}

void LogService::append(Net::ServerRequest &request, const std::string &streamName)
{
    constexpr std::size_t maxRecordBytes = 16 << 20;
    auto body = Net::readBody(request, maxRecordBytes);
    if (std::holds_alternative<Net::BodyError>(body)) {
        respond(request, 400, "{}\n", m_era);
        return;
    }
    std::int64_t offset = 0;
    std::int64_t era = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &stream = m_streams[streamName];
        offset = stream.nextOffset();
        era = m_era;
        stream.records.push_back(std::move(std::get<std::string>(body)));
        if (stream.records.size() > m_maxRecordsPerStream) {
            stream.records.pop_front();
            ++stream.firstOffset;
        }
    }
    m_streamsChanged.notify_all();
    if (m_responsesToLose > 0) {
        --m_responsesToLose;
        // The record was appended but the client gets no response, so it cannot tell whether the append took effect.
        request.closeAfterResponse();
        return;
    }
    respond(request, 200, Text::concat("{\"offset\":", offset, "}\n"), era);
}

void LogService::read(Net::ServerRequest &request, const std::string &streamName)
{
    std::unique_lock lock(m_mutex);
    // "last=N" reads the newest N records; "from" and "max" are ignored then.
    const auto newestCount = integerParameter(request, "last", 0);
    auto from = newestCount > 0 ? std::max(m_streams[streamName].firstOffset, m_streams[streamName].nextOffset() - newestCount)
                                : integerParameter(request, "from", 0);
    const auto maxRecords = newestCount > 0 ? newestCount : integerParameter(request, "max", 100);
    const Millis waitTime{static_cast<double>(integerParameter(request, "wait_ms", 0))};
    // Long poll: waits until the stream no longer ends at the requested offset, the streams are restored, an outage starts or the wait
    // time ends.
    m_streamsChanged.wait_for(lock, Process::toChrono(waitTime), [&, era = m_era.load()] {
        return m_outage || m_era != era || m_streams[streamName].nextOffset() != from;
    });
    const auto &stream = m_streams[streamName];
    const int status = from > stream.nextOffset() ? 410 : 200;
    nlohmann::json records = nlohmann::json::array();
    from = std::max(from, stream.firstOffset);
    for (auto offset = from; offset < stream.nextOffset() && offset < from + maxRecords; ++offset) {
        records.push_back(
            {{"offset", offset}, {"data", Text::toBase64(stream.records[static_cast<std::size_t>(offset - stream.firstOffset)])}});
    }
    const std::int64_t era = m_era;
    const nlohmann::json page{{"first", stream.firstOffset}, {"next", stream.nextOffset()}, {"records", records}};
    lock.unlock();
    if (m_outage) {
        respond(request, 503, "{\"failure\":\"outage\"}\n", m_era);
        return;
    }
    respond(request, status, page.dump() + "\n", era);
}

}
