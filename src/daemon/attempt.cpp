#include "daemon/attempt.h"

#include "core/text.h"
#include "net/bodybuffer.h"
#include "process/wallclock.h"

#include <algorithm>
#include <array>

namespace Laburnummast::Daemon
{
namespace
{

using Dispatch::AttemptOutcome;

constexpr int statusServiceUnavailable = 503;
constexpr int statusServerError = 500;
// The upstream may have closed an idle connection, or it may have become unresponsive. A request that was written to such a
// connection may or may not have run, so a call that is not idempotent takes a recently used connection or a new one.
constexpr Millis maxIdleNonIdempotent = 1_s;
constexpr Millis maxIdleIdempotent = 3600_s;
constexpr Millis probeTimeout = 500_ms;
constexpr Millis cancelTimeout = 200_ms;
// Limit for the answers to probes and cancellations.
constexpr std::size_t maxControlAnswerBytes = 4096;

// Parses the load report in the X-Load header; empty without that header.
std::optional<Dispatch::LoadReport> parseLoadReport(const Net::ResponseHead &head)
{
    const auto load = head.header("X-Load");
    if (!load) {
        return std::nullopt;
    }
    Dispatch::LoadReport report;
    for (const auto it : Text::split(*load, ';')) {
        const std::pair<std::string_view, std::string_view> field = Text::splitOnce(Text::trim(it), '=');
        if (field.first == "in_flight") {
            report.inFlight = std::max(0.0, Text::parseNumber(field.second).value_or(0));
        } else if (field.first == "draining") {
            report.draining = field.second == "1";
        }
    }
    return report;
}

AttemptOutcome outcomeOf(Net::HttpError error)
{
    switch (error) {
    case Net::HttpError::CannotConnect:
        return AttemptOutcome::NotSent;
    case Net::HttpError::TimedOut:
        return AttemptOutcome::TimedOut;
    case Net::HttpError::WriteFailed:
    case Net::HttpError::BrokenOff:
    case Net::HttpError::Malformed:
        break;
    }
    return AttemptOutcome::Incomplete;
}

AttemptOutcome outcomeOf(const Net::ResponseHead &head)
{
    if (head.status == statusServiceUnavailable && head.header("X-Not-Run")) {
        return AttemptOutcome::Shed;
    }
    return head.status >= statusServerError ? AttemptOutcome::Failed : AttemptOutcome::Answered;
}

Net::ClientRequest buildRequest(const CallContext &call, std::string_view id, Millis remaining)
{
    Net::ClientRequest request{.method = call.method, .target = call.target, .headers = call.headers, .body = call.body};
    request.headers.push_back({.name = "X-Request-Id", .value = std::string(id)});
    request.headers.push_back({.name = "X-Deadline-Ms", .value = Text::concat(static_cast<std::int64_t>(remaining.count))});
    request.headers.push_back({.name = "X-Priority", .value = std::string(nameOf(call.request.priority))});
    if (call.bodyStream != nullptr) {
        request.streamedLength = call.streamLength.value_or(-1);
    }
    return request;
}

// Streams the remaining request body to the upstream. Returns nothing on success; after a failure the connection cannot be reused.
std::optional<AttemptOutcome> streamBody(CallContext &call, Net::HttpConnection &connection)
{
    const bool chunked = !call.streamLength;
    std::int64_t total = static_cast<std::int64_t>(call.body.size());
    Net::BodyBuffer buf;
    while (true) {
        const auto n = call.bodyStream->read(buf.writable());
        if (n < 0) {
            call.bodyFailure = Net::BodyError::Incomplete;
            return AttemptOutcome::Cancelled;
        }
        if (n == 0) {
            break;
        }
        total += n;
        if (total > call.maxBodyBytes) {
            call.bodyFailure = Net::BodyError::TooLarge;
            return AttemptOutcome::Cancelled;
        }
        if (!connection.sendBodyData(buf.first(static_cast<std::size_t>(n)), chunked)) {
            return AttemptOutcome::Incomplete;
        }
    }
    call.bytesIn = static_cast<std::uint64_t>(total);
    const bool ended = !chunked || connection.sendLastChunk();
    return ended ? std::nullopt : std::optional(AttemptOutcome::Incomplete);
}

// Reads the answer's body into `answer`; returns false, with the rest unread, if it is longer than `limit` bytes.
Result<bool, Net::HttpError> readBuffered(Net::HttpConnection &connection, UpstreamAnswer &answer, std::size_t limit)
{
    const auto length = answer.head.contentLength;
    if (length && *length > static_cast<std::int64_t>(limit)) {
        return false;
    }
    Net::BodyBuffer buf;
    while (true) {
        const auto n = connection.read(buf.writable());
        if (n < 0) {
            return Net::HttpError::BrokenOff;
        }
        if (n == 0) {
            return true;
        }
        answer.body.append(buf.first(static_cast<std::size_t>(n)));
        if (!length && answer.body.size() > limit) {
            return false;
        }
    }
}

// Request and answer of one attempt over one leased connection.
class Exchange
{
public:
    Exchange(CallContext &call, std::string id, const std::shared_ptr<UpstreamEndpoint> &endpoint, Net::HttpConnection connection)
        : m_call(call)
        , m_id(std::move(id))
        , m_endpoint(endpoint)
        , m_connection(std::move(connection))
    {
    }

    CompletedAttempt run()
    {
        const auto remaining = m_call.request.deadline - Process::steadyNow();
        auto request = buildRequest(m_call, m_id, remaining);
        const bool streamsBody = m_call.bodyStream != nullptr;
        const auto prefix = streamsBody ? std::exchange(request.body, {}) : std::string_view();
        if (m_connection.sendRequest(request)) {
            return fail(AttemptOutcome::Incomplete);
        }
        if (streamsBody) {
            if (!m_connection.sendBodyData(prefix, !m_call.streamLength)) {
                return fail(AttemptOutcome::Incomplete);
            }
            if (const auto failure = streamBody(m_call, m_connection)) {
                return fail(*failure);
            }
        }
        return readAnswer();
    }

private:
    CompletedAttempt readAnswer()
    {
        auto head = m_connection.readHead(m_call.request.deadline - Process::steadyNow());
        if (const auto *failure = std::get_if<Net::HttpError>(&head)) {
            if (*failure == Net::HttpError::TimedOut) {
                m_endpoint->pool.retireOpenedUpTo(m_connection.openedAt());
            }
            return fail(outcomeOf(*failure));
        }
        auto answer = std::make_shared<UpstreamAnswer>();
        answer->head = std::move(std::get<Net::ResponseHead>(head));
        const auto echoed = answer->head.header("X-Request-Id");
        if (!echoed || *echoed != m_id) {
            // The answer belongs to another request, for example a duplicate or late one: discard it and its connection.
            return fail(AttemptOutcome::Incomplete);
        }
        const auto complete = readBuffered(m_connection, *answer, m_call.answerBufferLimit);
        if (std::holds_alternative<Net::HttpError>(complete)) {
            return fail(AttemptOutcome::Incomplete);
        }
        const Dispatch::AttemptResult result{.outcome = outcomeOf(answer->head),
                                             .report = parseLoadReport(answer->head),
                                             .doNotRetry = answer->head.header("X-Do-Not-Retry").has_value()};
        if (std::get<bool>(complete)) {
            m_endpoint->pool.release(std::move(m_connection));
        } else {
            answer->streamedBody = std::make_unique<StreamedBody>(m_endpoint, std::move(m_connection));
        }
        return {.result = result, .answer = std::move(answer)};
    }

    CompletedAttempt fail(AttemptOutcome outcome)
    {
        m_endpoint->pool.discard();
        return {.result = {.outcome = outcome}, .answer = nullptr};
    }

    CallContext &m_call;
    std::string m_id;
    const std::shared_ptr<UpstreamEndpoint> &m_endpoint;
    Net::HttpConnection m_connection;
};

}

std::string attemptId(const CallContext &call, Dispatch::AttemptNumber attempt)
{
    return Text::concat(call.requestId, ".", attempt);
}

CompletedAttempt performAttempt(CallContext &call, Dispatch::AttemptNumber attempt, const std::shared_ptr<UpstreamEndpoint> &endpoint)
{
    auto lease = endpoint->pool.acquire(call.request.idempotent ? maxIdleIdempotent : maxIdleNonIdempotent);
    if (std::holds_alternative<Net::LeaseError>(lease)) {
        return {.result = {.outcome = AttemptOutcome::NotSent}, .answer = nullptr};
    }
    return Exchange(call, attemptId(call, attempt), endpoint, std::move(std::get<Net::ConnectionPool::Lease>(lease).connection)).run();
}

CompletedProbe performProbe(UpstreamEndpoint &endpoint)
{
    auto lease = endpoint.pool.acquire(maxIdleIdempotent);
    if (std::holds_alternative<Net::LeaseError>(lease)) {
        return {};
    }
    auto &connection = std::get<Net::ConnectionPool::Lease>(lease).connection;
    const auto answer = connection.exchange({.method = "GET", .target = "/_load"}, probeTimeout, maxControlAnswerBytes);
    const auto *response = std::get_if<Net::ClientResponse>(&answer);
    if (response == nullptr) {
        endpoint.pool.retireOpenedUpTo(connection.openedAt());
        endpoint.pool.discard();
        return {};
    }
    const auto report = parseLoadReport(response->head);
    endpoint.pool.release(std::move(connection));
    return {.healthy = response->head.status < statusServerError && report, .report = report.value_or(Dispatch::LoadReport{})};
}

void cancelAttempt(UpstreamEndpoint &endpoint, std::string_view id)
{
    auto lease = endpoint.pool.acquire(maxIdleIdempotent);
    if (std::holds_alternative<Net::LeaseError>(lease)) {
        return;
    }
    auto &connection = std::get<Net::ConnectionPool::Lease>(lease).connection;
    const Net::ClientRequest request{.method = "DELETE", .target = Text::concat("/_calls/", id)};
    const auto answer = connection.exchange(request, cancelTimeout, maxControlAnswerBytes);
    if (std::holds_alternative<Net::HttpError>(answer)) {
        endpoint.pool.discard();
    } else {
        endpoint.pool.release(std::move(connection));
    }
}

}
