#include "standin/upstreamserver.h"

#include "core/text.h"
#include "process/wallclock.h"
#include "standin/serve.h"

#include <algorithm>
#include <civetweb.h>
#include <cmath>
#include <thread>

namespace Laburnummast::Standin
{
namespace
{

constexpr double maxServiceTimeMs = 30000;
// Must exceed the deadline of every call sent over a silent connection, so that the caller times out first.
constexpr Millis silentConnectionTime = 10_s;

std::string headerOrEmpty(const Net::ServerRequest &request, const char *name)
{
    return std::string(request.header(name).value_or(""));
}

}

UpstreamServer::UpstreamServer(const UpstreamServerOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_freeSlots(options.slots)
{
}

void UpstreamServer::handle(Net::ServerRequest &request)
{
    const auto path = std::string(request.path());
    if (path == "/_load") {
        sendResponseWithLoad(request, 200, "");
    } else if (path == "/_faults") {
        setFaults(request);
    } else if (path == "/_keys") {
        sendExecutionCounts(request);
    } else if (path.starts_with("/_calls/")) {
        cancelWaiting(request, path.substr(std::string_view("/_calls/").size()));
    } else {
        serveCall(request);
    }
}

// Changes only the faults that the request names. "silent=1" silences the connections seen so far; new ones work.
void UpstreamServer::setFaults(Net::ServerRequest &request)
{
    const auto setFromParameter = [&](const char *name, auto &fault) {
        if (const auto number = Text::parseNumber(request.parameter(name))) {
            fault = static_cast<std::decay_t<decltype(fault.load())>>(*number);
        }
    };
    setFromParameter("draining", m_faults.draining);
    setFromParameter("fail_fast", m_faults.failFast);
    setFromParameter("misleading", m_faults.reportZeroLoad);
    setFromParameter("slow_factor", m_faults.slowFactor);
    setFromParameter("wrong_id", m_faults.wrongIdResponsesLeft);
    setFromParameter("truncate", m_faults.truncatedResponsesLeft);
    setFromParameter("garbage", m_faults.malformedResponsesLeft);
    setFromParameter("twice", m_faults.duplicatedResponsesLeft);
    if (request.parameter("silent") == "1") {
        const std::lock_guard lock(m_mutex);
        m_silentPorts = m_seenPorts;
    }
    sendText(request, 200, "{}\n");
}

// One line per idempotency key: the number of executions, then the key.
void UpstreamServer::sendExecutionCounts(Net::ServerRequest &request)
{
    std::string text;
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, n] : m_executionsByKey) {
        Text::append(text, n, " ", key, "\n");
    }
    sendText(request, 200, text);
}

// Cancels a call that still waits for a slot; a call that already runs continues.
void UpstreamServer::cancelWaiting(Net::ServerRequest &request, const std::string &id)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_waitingIds.contains(id)) {
            m_cancelledIds.insert(id);
        }
    }
    m_queueChanged.notify_all();
    sendResponseWithLoad(request, 200, "");
}

// Whether the request came over a silent connection, whose calls get no response. Also records the connection as seen.
bool UpstreamServer::isOnSilentConnection(const Net::ServerRequest &request)
{
    const int port = mg_get_request_info(request.connection())->remote_port;
    const std::lock_guard lock(m_mutex);
    m_seenPorts.insert(port);
    return m_silentPorts.contains(port);
}

void UpstreamServer::serveCall(Net::ServerRequest &request)
{
    constexpr std::size_t maxBodyBytes = 80 << 20;
    if (isOnSilentConnection(request)) {
        std::this_thread::sleep_for(Process::toChrono(silentConnectionTime));
        request.closeAfterResponse();
        return;
    }
    const auto body = Net::readBody(request, maxBodyBytes);
    if (std::holds_alternative<Net::BodyError>(body)) {
        request.closeAfterResponse();
        sendResponseWithLoad(request, 400, "short body\n");
        return;
    }
    if (m_faults.failFast) {
        sendResponseWithLoad(request, 500, "failing\n");
        return;
    }
    const auto id = headerOrEmpty(request, "X-Request-Id");
    if (!acquireSlot(id)) {
        sendShed(request);
        return;
    }
    countExecution(headerOrEmpty(request, "Idempotency-Key"));
    std::this_thread::sleep_for(Process::toChrono(sampleServiceTime()));
    {
        const std::lock_guard lock(m_mutex);
        ++m_freeSlots;
    }
    m_queueChanged.notify_all();
    sendResult(request, std::get<std::string>(body).size());
}

// Waits for a slot. Returns false, without a slot, if the call has to be shed or was cancelled.
bool UpstreamServer::acquireSlot(const std::string &id)
{
    std::unique_lock lock(m_mutex);
    if (m_faults.draining || m_nextTicket - m_firstWaitingTicket >= m_options.queueLimit) {
        return false;
    }
    // First in, first out: tickets are served in order. A cancelled call takes its turn but no slot.
    const auto ticket = m_nextTicket++;
    m_waitingIds.insert(id);
    m_queueChanged.wait(lock, [&] { return m_firstWaitingTicket == ticket && m_freeSlots > 0; });
    ++m_firstWaitingTicket;
    m_waitingIds.erase(id);
    const bool cancelled = m_cancelledIds.erase(id) > 0;
    if (!cancelled) {
        --m_freeSlots;
    }
    lock.unlock();
    m_queueChanged.notify_all();
    return !cancelled;
}

void UpstreamServer::sendShed(Net::ServerRequest &request)
{
    Net::ServerResponse response{.status = 503, .headers = loadHeaders(), .body = "shed\n"};
    response.headers.push_back({.name = "X-Request-Id", .value = headerOrEmpty(request, "X-Request-Id")});
    response.headers.push_back({.name = "X-Not-Run", .value = "1"});
    Net::sendResponse(request, response);
}

void UpstreamServer::countExecution(const std::string &key)
{
    if (!key.empty()) {
        const std::lock_guard lock(m_mutex);
        ++m_executionsByKey[key];
    }
}

Millis UpstreamServer::sampleServiceTime()
{
    const std::lock_guard lock(m_mutex);
    std::lognormal_distribution<double> distribution(std::log(m_options.medianServiceTime.count), m_options.sigma);
    return {std::min(maxServiceTimeMs, distribution(m_random) * m_faults.slowFactor)};
}

std::vector<Net::Header> UpstreamServer::loadHeaders()
{
    std::uint64_t inFlight = 0;
    {
        const std::lock_guard lock(m_mutex);
        inFlight = (m_nextTicket - m_firstWaitingTicket) + static_cast<std::uint64_t>(m_options.slots - m_freeSlots);
    }
    const auto reportedInFlight = m_faults.reportZeroLoad ? 0 : inFlight;
    return {{.name = "X-Load", .value = Text::concat("in_flight=", reportedInFlight, ";draining=", m_faults.draining ? 1 : 0)}};
}

// Decrements the number of remaining faults; returns false if it was 0.
bool UpstreamServer::consumeFault(std::atomic<int> &remaining)
{
    int n = remaining;
    while (n > 0 && !remaining.compare_exchange_weak(n, n - 1)) { }
    return n > 0;
}

void UpstreamServer::sendResult(Net::ServerRequest &request, std::size_t receivedBytes)
{
    auto body = Text::concat("received=", receivedBytes, "\n");
    body.resize(std::max(body.size(), m_options.minResponseBytes), '.');
    if (consumeFault(m_faults.malformedResponsesLeft)) {
        constexpr std::string_view junk = "\x01\x02 this is not HTTP\r\n\r\n";
        mg_write(request.connection(), junk.data(), junk.size());
        request.closeAfterResponse();
        return;
    }
    if (consumeFault(m_faults.truncatedResponsesLeft)) {
        const Net::ServerResponse head{.status = 200,
                                       .headers = {{.name = "X-Request-Id", .value = headerOrEmpty(request, "X-Request-Id")}}};
        Net::sendHead(request, head, static_cast<std::int64_t>(body.size()));
        Net::sendBodyData(request, std::string_view(body).substr(0, body.size() / 2), false);
        request.closeAfterResponse();
        return;
    }
    sendResponseWithLoad(request, 200, body);
    if (consumeFault(m_faults.duplicatedResponsesLeft)) {
        sendResponseWithLoad(request, 200, body);
    }
}

void UpstreamServer::sendResponseWithLoad(Net::ServerRequest &request, int status, std::string body)
{
    Net::ServerResponse response{.status = status, .contentType = "text/plain", .headers = loadHeaders(), .body = std::move(body)};
    const auto id = consumeFault(m_faults.wrongIdResponsesLeft) ? std::string("somebody-else") : headerOrEmpty(request, "X-Request-Id");
    response.headers.push_back({.name = "X-Request-Id", .value = id});
    Net::sendResponse(request, response);
}

}
