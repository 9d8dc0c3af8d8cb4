#include "standin/logservice.h"

#include "core/text.h"
#include "process/wallclock.h"
#include "standin/serve.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace Laburnummast::Standin
{
namespace
{

std::int64_t numberOf(const Net::ServerRequest &request, const char *name, std::int64_t otherwise)
{
    return Text::parseInteger(request.parameter(name)).value_or(otherwise);
}

}

LogService::LogService(std::size_t retention)
    : m_retention(retention)
{
}

void LogService::handle(Net::ServerRequest &request)
{
    const auto parts = Text::split(request.path(), '/');
    if (parts.size() == 1 && parts[0] == "fault") {
        setFault(request);
        return;
    }
    if (parts.size() != 4 || parts[1] != "streams" || parts[3] != "records") {
        sendText(request, 404, "{}\n");
        return;
    }
    std::this_thread::sleep_for(Process::toChrono({static_cast<double>(m_slowMs)}));
    if (m_outage) {
        request.closeAfterResponse();
        sendText(request, 503, "{\"failure\":\"outage\"}\n");
    } else if (request.method() == "POST") {
        append(request, std::string(parts[2]));
    } else {
        read(request, std::string(parts[2]));
    }
}

void LogService::setFault(Net::ServerRequest &request)
{
    m_outage = numberOf(request, "outage", 0) != 0;
    m_loseAnswers = static_cast<int>(numberOf(request, "lose_answers", 0));
    m_slowMs = static_cast<int>(numberOf(request, "slow_ms", 0));
    m_grown.notify_all();
    sendText(request, 200, "{}\n");
}

void LogService::append(Net::ServerRequest &request, const std::string &name)
{
    constexpr std::size_t maxRecord = 16 << 20;
    auto body = Net::readBody(request, maxRecord);
    if (std::holds_alternative<Net::BodyError>(body)) {
        sendText(request, 400, "{}\n");
        return;
    }
    std::int64_t offset = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &stream = m_streams[name];
        offset = stream.next();
        stream.records.push_back(std::move(std::get<std::string>(body)));
        if (stream.records.size() > m_retention) {
            stream.records.pop_front();
            ++stream.first;
        }
    }
    m_grown.notify_all();
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        // The write took effect; its answer never comes.
        request.closeAfterResponse();
        return;
    }
    sendText(request, 200, Text::concat("{\"offset\":", offset, "}\n"));
}

void LogService::read(Net::ServerRequest &request, const std::string &name)
{
    std::unique_lock lock(m_mutex);
    const auto last = numberOf(request, "last", 0);
    auto from = last > 0 ? std::max(m_streams[name].first, m_streams[name].next() - last) : numberOf(request, "from", 0);
    const auto most = last > 0 ? last : numberOf(request, "max", 100);
    const Millis wait{static_cast<double>(numberOf(request, "wait_ms", 0))};
    m_grown.wait_for(lock, Process::toChrono(wait), [&] { return m_outage || m_streams[name].next() > from; });
    const auto &stream = m_streams[name];
    nlohmann::json records = nlohmann::json::array();
    from = std::max(from, stream.first);
    for (auto it = from; it < stream.next() && it < from + most; ++it) {
        records.push_back({{"offset", it}, {"data", Text::toBase64(stream.records[static_cast<std::size_t>(it - stream.first)])}});
    }
    const nlohmann::json page{{"first", stream.first}, {"next", stream.next()}, {"records", records}};
    lock.unlock();
    if (m_outage) {
        sendText(request, 503, "{\"failure\":\"outage\"}\n");
        return;
    }
    sendText(request, 200, page.dump() + "\n");
}

}
