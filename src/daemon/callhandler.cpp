#include "daemon/callhandler.h"

#include "core/config/address.h"
#include "core/text.h"
#include "net/bodybuffer.h"
#include "process/wallclock.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Laburnummast::Daemon
{
namespace
{

using Dispatch::Disposition;

constexpr std::string_view entriesPath = "/v1/entries";
constexpr std::string_view callPrefix = "/v1/call/";
constexpr std::size_t maxRequestIdLength = 128;
// How much of an unread request body is read and dropped after a failure has been sent. If the connection were closed with bytes
// unread, the caller might not receive the answer.
constexpr std::size_t maxDiscardedBytes = 80 << 20;
constexpr std::size_t maxKeyLength = 256;

// How a failure is reported to the caller: its name, the HTTP status and the value of X-Outcome.
struct FailureProperties
{
    std::string_view name;
    int status;
    std::string_view outcome;
};

// Indexed by CallFailure.
constexpr std::array<FailureProperties, callFailureCount> failureProperties{{
    {"bad-request", 400, "not-run"},
    {"unknown-path", 404, "not-run"},
    {"wrong-credential", 401, "not-run"},
    {"not-allowed", 403, "not-run"},
    {"unknown-service", 404, "not-run"},
    {"unknown-route", 404, "not-run"},
    {"too-large", 413, "not-run"},
    {"not-run", 503, "not-run"},
    {"superseded", 409, "not-run"},
    {"unknown", 504, "unknown"},
    {"no-configuration", 503, "not-run"},
}};

const FailureProperties &propertiesOf(CallFailure failure)
{
    return failureProperties[static_cast<std::size_t>(failure)];
}

// Headers that are not forwarded: those that apply to a single connection, those that the daemon sets or checks itself,
// and Authorization, which holds the caller's credential.
bool isReservedHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 17> names{"Connection",
                                                     "Keep-Alive",
                                                     "Transfer-Encoding",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Host",
                                                     "Content-Length",
                                                     "Authorization",
                                                     "Expect",
                                                     "X-Request-Id",
                                                     "X-Deadline-Ms",
                                                     "X-Priority",
                                                     "X-Load",
                                                     "X-Not-Run",
                                                     "X-Outcome",
                                                     "Proxy-Connection"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view it) { return Text::equalsIgnoreCase(it, name); });
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it < '\x7f'; });
}

// Value of a header in milliseconds; empty if it is missing, negative or not an integer.
std::optional<Millis> millisHeader(const Net::ServerRequest &request, const char *name)
{
    const auto text = request.header(name);
    const auto number = text ? Text::parseInteger(*text) : std::nullopt;
    if (!number || *number < 0) {
        return std::nullopt;
    }
    return Millis{static_cast<double>(*number)};
}

// Keys of different partners and services must not collide. None of the parts contains a line feed.
std::string scopedKey(std::string_view partner, std::string_view service, std::string_view key)
{
    return Text::concat(partner, "\n", service, "\n", key);
}

}

/// State of one call in its handler thread.
struct CallHandler::Call
{
    Net::ServerRequest &request;
    std::string requestId;
    std::shared_ptr<const RuntimeConfig> config = nullptr;
    const ServiceView *service = nullptr;
    const PartnerView *partner = nullptr;
    const Config::Route *route = nullptr;
    std::shared_ptr<CallContext> context = std::make_shared<CallContext>();
    /// Scoped idempotency key that is in flight for this call; empty if there is none.
    std::string key = {};
    /// Whether the request body has been read to its end.
    bool bodyRead = false;
};

std::string_view nameOf(CallFailure failure)
{
    return propertiesOf(failure).name;
}

CallHandler::CallHandler(const Settings &settings, Traffic &traffic, KeyCoordinator &keys)
    : m_settings(settings)
    , m_traffic(traffic)
    , m_keys(keys)
    , m_runId(static_cast<std::uint64_t>(Process::wallNow().count))
{
}

void CallHandler::handle(Net::ServerRequest &request)
{
    if (m_draining) {
        // A caller with an outdated entry list is still served. Closing the connection makes it choose another entry.
        request.closeAfterResponse();
    }
    const auto path = request.path();
    if (path == entriesPath) {
        handleEntries(request);
    } else if (path.starts_with(callPrefix)) {
        // Counted before the check, so that whoever waits for the calls in flight after refuseCalls() waits for this one.
        ++m_counters.inFlight;
        if (m_refusing) {
            Call call{.request = request, .requestId = requestIdOf(request)};
            sendFailure(call, CallFailure::NotRun, nameOf(Dispatch::RefusalReason::Draining));
        } else {
            handleCall(request);
        }
        --m_counters.inFlight;
    } else {
        Call call{.request = request, .requestId = requestIdOf(request)};
        sendFailure(call, CallFailure::UnknownPath, "paths are /v1/entries and /v1/call/SERVICE/PATH");
    }
}

// Uses the caller's request id if it is short and printable. Otherwise generates one from the host, the start time of the
// process and a counter.
std::string CallHandler::requestIdOf(const Net::ServerRequest &request)
{
    const auto callerId = request.header("X-Request-Id");
    if (callerId && !callerId->empty() && callerId->size() <= maxRequestIdLength && isPrintable(*callerId)) {
        return std::string(*callerId);
    }
    return Text::concat(m_settings.host, "-", Text::hex(m_runId), "-", m_nextCallId.fetch_add(1));
}

void CallHandler::handleEntries(Net::ServerRequest &request)
{
    Call call{.request = request, .requestId = requestIdOf(request)};
    const auto config = m_traffic.config();
    const auto *service = config ? config->findService(request.parameter("service")) : nullptr;
    if (service == nullptr) {
        sendFailure(call, config ? CallFailure::UnknownService : CallFailure::NoConfiguration, "name a service: /v1/entries?service=NAME");
        return;
    }
    auto members = dispatchersOf(*service, m_traffic.serving());
    if (!members.empty()) {
        // Callers use the first address, so the list is rotated by one with each answer to spread them over the members.
        const auto rotation = m_entryRotation.fetch_add(1) % members.size();
        std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(rotation), members.end());
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &it : members) {
        entries.push_back({{"address", Config::toString(it.info.entry)}, {"host", it.info.host}, {"domain", it.info.domain}});
    }
    const nlohmann::json body{
        {"service", service->name}, {"revision", config->revision()}, {"ttl_ms", m_settings.entryTtl.count}, {"entries", entries}};
    ++m_counters.entriesAnswered;
    Net::sendResponse(request, {.status = 200, .body = body.dump() + "\n"});
}

void CallHandler::handleCall(Net::ServerRequest &request)
{
    Call call{.request = request, .requestId = requestIdOf(request)};
    if (resolveCall(call) && readBody(call) && prepareCall(call)) {
        runCall(call);
    }
    m_counters.bufferedBytes -= static_cast<std::int64_t>(call.context->body.size());
}

// Finds the partner, service and route of the call. If one is missing or not allowed, answers the call and returns false.
bool CallHandler::resolveCall(Call &call)
{
    call.config = m_traffic.config();
    if (!call.config) {
        sendFailure(call, CallFailure::NoConfiguration, "this host has no configuration yet", 1_s);
        return false;
    }
    const auto rest = call.request.path().substr(callPrefix.size());
    const auto slash = rest.find('/');
    const auto path = slash == std::string_view::npos ? std::string_view("/") : rest.substr(slash);
    const auto credential = call.request.header("Authorization").value_or("");
    call.partner = credential.starts_with("Bearer ") ? call.config->findPartner(credential.substr(7)) : nullptr;
    if (call.partner == nullptr) {
        sendFailure(call, CallFailure::WrongCredential, "send Authorization: Bearer CREDENTIAL");
        return false;
    }
    call.service = call.config->findService(rest.substr(0, slash));
    if (call.service == nullptr) {
        sendFailure(call, CallFailure::UnknownService, "no such service");
        return false;
    }
    if (call.service->service.owner != call.partner->owner) {
        sendFailure(call, CallFailure::NotAllowed, "the service belongs to another owner");
        return false;
    }
    call.route = call.service->findRoute(call.request.method(), path);
    if (call.route == nullptr) {
        sendFailure(call, CallFailure::UnknownRoute, "the service has no such method and path");
        return false;
    }
    auto &context = *call.context;
    context.method = call.request.method();
    context.target = std::string(path);
    if (!call.request.query().empty()) {
        Text::append(context.target, "?", call.request.query());
    }
    for (auto &it : call.request.headers()) {
        if (!isReservedHeader(it.name)) {
            context.headers.push_back(std::move(it));
        }
    }
    return true;
}

// Reads the request body up to the buffer limit; the remaining body is streamed during the attempt. If the body is too large,
// ends early or would exceed the memory limit, answers the call and returns false.
bool CallHandler::readBody(Call &call)
{
    auto &context = *call.context;
    const auto length = call.request.contentLength();
    const auto bufferLimit = m_settings.bufferedBytes;
    context.maxBodyBytes = call.route->maxBodyBytes;
    context.answerBufferLimit = static_cast<std::size_t>(bufferLimit);
    if (length && *length > call.route->maxBodyBytes) {
        sendFailure(call, CallFailure::TooLarge, Text::concat("at most ", call.route->maxBodyBytes, " bytes"));
        return false;
    }
    const std::int64_t expectedBytes = length ? std::min(*length, bufferLimit) : call.request.hasBody() ? bufferLimit : 0;
    if (m_counters.bufferedBytes + expectedBytes > m_settings.memoryBytes) {
        sendFailure(call, CallFailure::NotRun, "no memory for the body", 1_s);
        return false;
    }
    Net::BodyBuffer buf;
    bool ended = !call.request.hasBody();
    while (!ended && static_cast<std::int64_t>(context.body.size()) < bufferLimit) {
        const auto n = call.request.read(buf.writable());
        if (n < 0) {
            sendFailure(call, CallFailure::BadRequest, "the body broke off");
            return false;
        }
        ended = n == 0;
        context.body.append(buf.first(static_cast<std::size_t>(n)));
        m_counters.bufferedBytes += n;
    }
    if (static_cast<std::int64_t>(context.body.size()) > call.route->maxBodyBytes) {
        sendFailure(call, CallFailure::TooLarge, Text::concat("at most ", call.route->maxBodyBytes, " bytes"));
        return false;
    }
    context.bytesIn = context.body.size();
    const bool complete = ended || (length && static_cast<std::int64_t>(context.body.size()) >= *length);
    call.bodyRead = complete;
    if (!complete) {
        context.bodyStream = &call.request;
        context.streamLength = length;
    }
    return true;
}

// Sets up the request for the dispatcher and registers the idempotency key of a call that must not run twice. If the call is
// invalid or its key does not allow it to run, answers the call and returns false.
bool CallHandler::prepareCall(Call &call)
{
    auto &context = *call.context;
    context.requestId = call.requestId;
    const auto now = Process::steadyNow();
    auto timeLimit = call.route->deadline;
    if (const auto requested = millisHeader(call.request, "X-Deadline-Ms")) {
        timeLimit = std::min(timeLimit, *requested);
    }
    context.request = {.id = m_nextCallId.fetch_add(1),
                       .flow = call.partner->flow,
                       .weight = call.partner->weight,
                       .priority = call.route->priority,
                       .idempotent = call.route->idempotent,
                       .resendable = context.bodyStream == nullptr,
                       .deadline = now + timeLimit};
    const auto key = call.request.header("Idempotency-Key");
    if (!key || call.route->idempotent) {
        return true;
    }
    if (key->empty() || key->size() > maxKeyLength || !isPrintable(*key)) {
        sendFailure(call, CallFailure::BadRequest, "Idempotency-Key: 1 to 256 printable characters");
        return false;
    }
    const auto scoped = scopedKey(call.partner->name, call.service->name, *key);
    const auto attempt = Text::parseInteger(call.request.header("X-Attempt").value_or("1"));
    if (!attempt || *attempt < 1) {
        sendFailure(call, CallFailure::BadRequest, "X-Attempt: a number from 1");
        return false;
    }
    RepeatedCall repeat{
        .key = scoped, .previous = {}, .age = millisHeader(call.request, "X-First-Attempt-Age-Ms"), .deadline = context.request.deadline};
    for (const auto it : Text::split(call.request.header("X-Previous-Entries").value_or(""), ',')) {
        const auto address = Config::parseAddress(Text::trim(it));
        if (!address) {
            sendFailure(call, CallFailure::BadRequest, "X-Previous-Entries: IP:PORT, separated by commas");
            return false;
        }
        repeat.previous.push_back(*address);
    }
    const auto verdict = *attempt == 1 ? m_keys.beginFirst(scoped, repeat.deadline) : m_keys.beginRepeat(repeat);
    return std::visit(Overloaded{[&](const Idempotency::Execute &) {
                                     call.key = scoped;
                                     return true;
                                 },
                                 [&](const Idempotency::Answered &it) {
                                     replayAnswer(call, *it.answer);
                                     return false;
                                 },
                                 [&](const Idempotency::ClaimedBy &) {
                                     sendFailure(call, CallFailure::Superseded, "a later attempt of this call has taken it over");
                                     return false;
                                 },
                                 [&](const auto &) {
                                     sendFailure(call, CallFailure::Unknown, "an earlier attempt may have run");
                                     return false;
                                 }},
                      verdict);
}

void CallHandler::runCall(Call &call)
{
    const auto runner = m_traffic.runner(call.service->name);
    const auto result = runner->run(call.context);
    finishKey(call, result);
    recordUsage(call, result);
    sendResult(call, result);
}

// Stores the result of the call under its idempotency key. Called before the answer is sent, so that a repeat which arrives right
// after the answer finds the result.
void CallHandler::finishKey(const Call &call, const CallResult &result)
{
    if (call.key.empty()) {
        return;
    }
    const auto *finished = std::get_if<CallFinished>(&result);
    if (finished != nullptr && finished->disposition == Disposition::Done && finished->answer) {
        const auto &answer = *finished->answer;
        Idempotency::StoredAnswer stored{.status = answer.head.status,
                                         .contentType
                                         = std::string(answer.head.header("Content-Type").value_or("application/octet-stream")),
                                         .body = answer.streamedBody ? std::string() : answer.body,
                                         .bodyDropped = answer.streamedBody != nullptr};
        m_keys.finishAnswered(call.key, std::move(stored));
        return;
    }
    const bool notRun
        = std::holds_alternative<CallRefused>(result) || (finished != nullptr && finished->disposition == Disposition::NotRun);
    if (notRun) {
        m_keys.finishNotRun(call.key);
    } else {
        m_keys.finishUnknown(call.key);
    }
}

void CallHandler::recordUsage(const Call &call, const CallResult &result)
{
    const auto *finished = std::get_if<CallFinished>(&result);
    const bool done = finished != nullptr && finished->disposition == Disposition::Done && finished->answer;
    Usage::UsageCounters usage{.calls = done ? 1U : 0U, .refused = done ? 0U : 1U, .bytesIn = call.context->bytesIn};
    if (done) {
        usage.bytesOut = static_cast<std::uint64_t>(std::max<std::int64_t>(finished->answer->head.contentLength.value_or(0),
                                                                           static_cast<std::int64_t>(finished->answer->body.size())));
    }
    {
        const std::lock_guard lock(call.context->mutex);
        usage.slotMicros = call.context->slotMicros;
    }
    m_traffic.recordUsage({.owner = call.partner->owner, .partner = call.partner->name, .service = call.service->name}, usage);
}

void CallHandler::sendResult(Call &call, const CallResult &result)
{
    std::visit(Overloaded{[&](const CallRefused &it) { sendFailure(call, CallFailure::NotRun, nameOf(it.reason), it.retryAfter); },
                          [&](const CallerBodyFailed &it) {
                              const bool tooLarge = it.error == Net::BodyError::TooLarge;
                              sendFailure(call,
                                          tooLarge ? CallFailure::TooLarge : CallFailure::BadRequest,
                                          tooLarge ? "too large" : "the body broke off");
                          },
                          [&](const CallFinished &it) {
                              if (it.disposition == Disposition::Done && it.answer) {
                                  relayAnswer(call, *it.answer);
                              } else if (it.disposition == Disposition::NotRun) {
                                  sendFailure(call, CallFailure::NotRun, nameOf(Dispatch::RefusalReason::Overloaded), it.retryAfter);
                              } else {
                                  sendFailure(call, CallFailure::Unknown, "no whole answer came; the call may have run");
                              }
                          }},
               result);
}

void CallHandler::relayAnswer(Call &call, UpstreamAnswer &answer)
{
    ++m_counters.done;
    if (answer.streamedBody) {
        relayStreamedAnswer(call, answer);
        return;
    }
    Net::ServerResponse response{.status = answer.head.status, .headers = {}, .body = std::move(answer.body)};
    response.contentType = std::string(answer.head.header("Content-Type").value_or("application/octet-stream"));
    for (const auto &it : answer.head.headers) {
        if (!isReservedHeader(it.name) && !Text::equalsIgnoreCase(it.name, "Content-Type")) {
            response.headers.push_back(it);
        }
    }
    response.headers.push_back({.name = "X-Request-Id", .value = call.requestId});
    response.headers.push_back({.name = "X-Outcome", .value = "done"});
    if (!call.bodyRead) {
        call.request.closeAfterResponse();
    }
    Net::sendResponse(call.request, response);
}

// Streams a long answer to the caller. If the upstream's answer ends early, the connection is closed before the announced
// length or the last chunk has been sent, so that the caller detects that the answer is incomplete.
void CallHandler::relayStreamedAnswer(Call &call, UpstreamAnswer &answer)
{
    auto &streamedBody = *answer.streamedBody;
    const auto length = answer.head.contentLength;
    const Net::ServerResponse head{.status = answer.head.status,
                                   .contentType = std::string(answer.head.header("Content-Type").value_or("application/octet-stream")),
                                   .headers = {{.name = "X-Request-Id", .value = call.requestId}, {.name = "X-Outcome", .value = "done"}},
                                   .body = {}};
    Net::sendHead(call.request, head, length);
    bool complete = Net::sendBodyData(call.request, answer.body, !length);
    Net::BodyBuffer buf;
    while (complete) {
        const auto n = streamedBody.read(buf.writable());
        if (n == 0) {
            break;
        }
        complete = n > 0 && Net::sendBodyData(call.request, buf.first(static_cast<std::size_t>(n)), !length);
    }
    if (complete && !length) {
        complete = Net::sendLastChunk(call.request);
    }
    if (complete) {
        streamedBody.returnConnection();
    } else {
        call.request.closeAfterResponse();
    }
}

void CallHandler::replayAnswer(Call &call, const Idempotency::StoredAnswer &stored)
{
    ++m_counters.replayed;
    Net::ServerResponse response{.status = stored.status, .contentType = stored.contentType, .headers = {}, .body = stored.body};
    response.headers = {{.name = "X-Request-Id", .value = call.requestId},
                        {.name = "X-Outcome", .value = "done"},
                        {.name = "X-Replayed", .value = stored.bodyDropped ? "without-body" : "yes"}};
    Net::sendResponse(call.request, response);
}

void CallHandler::sendFailure(Call &call, CallFailure failure, std::string_view reason, Millis retryAfter)
{
    ++m_counters.failed[static_cast<std::size_t>(failure)];
    const auto &properties = propertiesOf(failure);
    const nlohmann::json body{
        {"failure", properties.name}, {"reason", reason}, {"request_id", call.requestId}, {"outcome", properties.outcome}};
    Net::ServerResponse response{.status = properties.status, .headers = {}, .body = body.dump() + "\n"};
    response.headers.push_back({.name = "X-Request-Id", .value = call.requestId});
    response.headers.push_back({.name = "X-Outcome", .value = std::string(properties.outcome)});
    if (retryAfter.count > 0) {
        response.headers.push_back({.name = "Retry-After", .value = Text::concat(static_cast<int>(std::ceil(retryAfter / 1_s)))});
    }
    if (failure == CallFailure::WrongCredential) {
        response.headers.push_back({.name = "WWW-Authenticate", .value = "Bearer"});
    }
    const bool bodyLeft = call.request.hasBody() && !call.bodyRead;
    if (bodyLeft) {
        call.request.closeAfterResponse();
    }
    Net::sendResponse(call.request, response);
    if (bodyLeft) {
        Net::discardBody(call.request, maxDiscardedBytes);
    }
}

}
