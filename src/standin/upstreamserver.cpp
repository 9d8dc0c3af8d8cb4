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

constexpr double maxFaultSleepMs = 30000;
// Longer than the deadlines of the calls that such a connection swallows.
constexpr Millis silence = 10_s;

std::string headerOf(const Net::ServerRequest &request, const char *name)
{
    return std::string(request.header(name).value_or(""));
}

}

UpstreamServer::UpstreamServer(const UpstreamServerOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_free(options.slots)
{
}

void UpstreamServer::handle(Net::ServerRequest &request)
{
    const auto path = std::string(request.path());
    if (path == "/_load") {
        answer(request, 200, "");
    } else if (path == "/_faults") {
        setFaults(request);
    } else if (path == "/_keys") {
        sendKeys(request);
    } else if (path.starts_with("/_calls/")) {
        cancel(request, path.substr(std::string_view("/_calls/").size()));
    } else {
        serveCall(request);
    }
}

void UpstreamServer::setFaults(Net::ServerRequest &request)
{
    const auto take = [&](const char *name, auto &target) {
        if (const auto number = Text::parseNumber(request.parameter(name))) {
            target = static_cast<std::decay_t<decltype(target.load())>>(*number);
        }
    };
    take("draining", m_faults.draining);
    take("fail_fast", m_faults.failFast);
    take("misleading", m_faults.misleading);
    take("slow_factor", m_faults.slowFactor);
    take("wrong_id", m_faults.wrongId);
    take("truncate", m_faults.truncate);
    take("garbage", m_faults.garbage);
    take("twice", m_faults.twice);
    if (request.parameter("silent") == "1") {
        const std::lock_guard lock(m_mutex);
        m_silentPorts = m_seenPorts;
    }
    sendText(request, 200, "{}\n");
}

void UpstreamServer::sendKeys(Net::ServerRequest &request)
{
    std::string text;
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, n] : m_keys) {
        Text::append(text, n, " ", key, "\n");
    }
    sendText(request, 200, text);
}

void UpstreamServer::cancel(Net::ServerRequest &request, const std::string &id)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_waitingIds.contains(id)) {
            m_cancelled.insert(id);
        }
    }
    m_wake.notify_all();
    answer(request, 200, "");
}

// An old connection that was declared silent swallows whatever comes over it.
bool UpstreamServer::swallowed(const Net::ServerRequest &request)
{
    const int port = mg_get_request_info(request.connection())->remote_port;
    const std::lock_guard lock(m_mutex);
    m_seenPorts.insert(port);
    return m_silentPorts.contains(port);
}

void UpstreamServer::serveCall(Net::ServerRequest &request)
{
    constexpr std::size_t maxBody = 80 << 20;
    if (swallowed(request)) {
        std::this_thread::sleep_for(Process::toChrono(silence));
        request.closeAfterResponse();
        return;
    }
    const auto body = Net::readBody(request, maxBody);
    if (std::holds_alternative<Net::BodyError>(body)) {
        request.closeAfterResponse();
        answer(request, 400, "short body\n");
        return;
    }
    if (m_faults.failFast) {
        answer(request, 500, "failing\n");
        return;
    }
    const auto id = headerOf(request, "X-Request-Id");
    if (!takeSlot(id)) {
        shed(request);
        return;
    }
    countKey(headerOf(request, "Idempotency-Key"));
    std::this_thread::sleep_for(Process::toChrono(serviceTime()));
    {
        const std::lock_guard lock(m_mutex);
        ++m_free;
    }
    m_wake.notify_all();
    finish(request, std::get<std::string>(body).size());
}

bool UpstreamServer::takeSlot(const std::string &id)
{
    std::unique_lock lock(m_mutex);
    if (m_faults.draining || m_next - m_serving >= m_options.queueLimit) {
        return false;
    }
    // First in, first out: tickets are served in order, cancelled ones passed over.
    const auto ticket = m_next++;
    m_waitingIds.insert(id);
    m_wake.wait(lock, [&] { return m_serving == ticket && m_free > 0; });
    ++m_serving;
    m_waitingIds.erase(id);
    const bool cancelled = m_cancelled.erase(id) > 0;
    if (!cancelled) {
        --m_free;
    }
    lock.unlock();
    m_wake.notify_all();
    return !cancelled;
}

void UpstreamServer::shed(Net::ServerRequest &request)
{
    Net::ServerResponse response{.status = 503, .headers = loadHeaders(), .body = "shed\n"};
    response.headers.push_back({.name = "X-Request-Id", .value = headerOf(request, "X-Request-Id")});
    response.headers.push_back({.name = "X-Not-Run", .value = "1"});
    Net::sendResponse(request, response);
}

void UpstreamServer::countKey(const std::string &key)
{
    if (!key.empty()) {
        const std::lock_guard lock(m_mutex);
        ++m_keys[key];
    }
}

Millis UpstreamServer::serviceTime()
{
    const std::lock_guard lock(m_mutex);
    std::lognormal_distribution<double> time(std::log(m_options.median.count), m_options.sigma);
    return {std::min(maxFaultSleepMs, time(m_random) * m_faults.slowFactor)};
}

std::vector<Net::Header> UpstreamServer::loadHeaders()
{
    std::uint64_t inFlight = 0;
    {
        const std::lock_guard lock(m_mutex);
        inFlight = (m_next - m_serving) + static_cast<std::uint64_t>(m_options.slots - m_free);
    }
    const auto shown = m_faults.misleading ? 0 : inFlight;
    return {{.name = "X-Load", .value = Text::concat("in_flight=", shown, ";draining=", m_faults.draining ? 1 : 0)}};
}

bool UpstreamServer::takeFault(std::atomic<int> &left)
{
    int n = left;
    while (n > 0 && !left.compare_exchange_weak(n, n - 1)) { }
    return n > 0;
}

void UpstreamServer::finish(Net::ServerRequest &request, std::size_t received)
{
    auto body = Text::concat("received=", received, "\n");
    body.resize(std::max(body.size(), m_options.answerBytes), '.');
    if (takeFault(m_faults.garbage)) {
        constexpr std::string_view junk = "\x01\x02 this is not HTTP\r\n\r\n";
        mg_write(request.connection(), junk.data(), junk.size());
        request.closeAfterResponse();
        return;
    }
    if (takeFault(m_faults.truncate)) {
        const Net::ServerResponse head{.status = 200, .headers = {{.name = "X-Request-Id", .value = headerOf(request, "X-Request-Id")}}};
        Net::sendHead(request, head, static_cast<std::int64_t>(body.size()));
        Net::sendBodyData(request, std::string_view(body).substr(0, body.size() / 2), false);
        request.closeAfterResponse();
        return;
    }
    answer(request, 200, body);
    if (takeFault(m_faults.twice)) {
        answer(request, 200, body);
    }
}

void UpstreamServer::answer(Net::ServerRequest &request, int status, std::string body)
{
    Net::ServerResponse response{.status = status, .contentType = "text/plain", .headers = loadHeaders(), .body = std::move(body)};
    const auto id = takeFault(m_faults.wrongId) ? std::string("somebody-else") : headerOf(request, "X-Request-Id");
    response.headers.push_back({.name = "X-Request-Id", .value = id});
    Net::sendResponse(request, response);
}

}
