#include "platform/requests.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Laburnummast::Platform
{
namespace
{

constexpr std::string_view requestIdHeader = "Laburnummast-Request-Id";
// How many milliseconds the sender still waits.
constexpr std::string_view deadlineHeader = "Laburnummast-Deadline-Milliseconds";
constexpr std::string_view expectedInstanceHeader = "Laburnummast-Expected-Instance";
constexpr std::string_view instanceIdHeader = "Laburnummast-Instance-Id";
constexpr std::string_view signatureHeader = "Laburnummast-Response-Signature";
// Present where the upstream did not run the request.
constexpr std::string_view notExecutedHeader = "Laburnummast-Not-Executed";
// Running, waiting, slots, and how long work takes at this moment in percent of the usual.
constexpr std::string_view loadHeader = "Laburnummast-Server-Load";

constexpr int misdirected = 421;
constexpr std::array<int, 4> promisesNotRun{408, 421, 429, 503};
constexpr Millis longestPatience = 3600_s;

bool setHere(std::string_view name)
{
    return Text::equalsIgnoreCase(name, deadlineHeader) || Text::equalsIgnoreCase(name, expectedInstanceHeader)
        || Text::equalsIgnoreCase(name, "content-length") || Http::isHopByHop(name);
}

void eraseConnectionHeaders(Http::Headers &headers)
{
    const auto tokens = Http::connectionTokens(headers);
    std::erase_if(headers, [&](const Http::Header &it) {
        return setHere(it.name)
            || std::any_of(tokens.begin(), tokens.end(), [&](const std::string &token) { return Text::equalsIgnoreCase(token, it.name); });
    });
}

std::optional<Placement::LoadReport> decodeLoad(const Http::Headers &headers)
{
    const auto value = Http::find(headers, loadHeader);
    if (!value) {
        return std::nullopt;
    }
    std::array<double, 4> numbers{0, 0, 0, 100};
    std::size_t n = 0;
    for (const auto it : Text::split(*value, ',')) {
        const auto number = Text::parseNumber(Text::trim(it));
        if (n == numbers.size() || !number || *number < 0) {
            break;
        }
        numbers[n++] = *number;
    }
    if (n < 3 || numbers[2] < 1) {
        return std::nullopt;
    }
    return Placement::LoadReport{.running = numbers[0], .waiting = numbers[1], .slots = numbers[2], .slowness = numbers[3] / 100};
}

Entry::AnswerKind kindOf(const Http::Response &response)
{
    if (Http::find(response.headers, notExecutedHeader)) {
        return response.status == misdirected ? Entry::AnswerKind::WrongInstance : Entry::AnswerKind::NotRun;
    }
    if (response.status == misdirected) {
        return Entry::AnswerKind::WrongInstance;
    }
    const bool isSigned = Http::find(response.headers, signatureHeader).has_value();
    const bool encoded = Http::find(response.headers, "Content-Encoding").has_value();
    if (response.status >= 200 && response.status < 300) {
        return isSigned && !encoded ? Entry::AnswerKind::Success : Entry::AnswerKind::Unusable;
    }
    // A status that promises "not run" without the upstream's word for it cannot be passed on.
    const bool promises = std::find(promisesNotRun.begin(), promisesNotRun.end(), response.status) != promisesNotRun.end();
    return promises || encoded || (response.status < 500 && !isSigned) ? Entry::AnswerKind::Unusable : Entry::AnswerKind::Failure;
}

}

Result<Entry::IncomingCall, Entry::CallError> decodeCall(Http::Request request)
{
    const auto host = Http::find(request.headers, "Host");
    const auto id = Http::find(request.headers, requestIdHeader);
    if (!host || host->empty()) {
        return Entry::CallError::NoHost;
    }
    if (!id || id->empty()) {
        return Entry::CallError::NoId;
    }
    Entry::IncomingCall call{.id = std::string(*id), .host = std::string(*host)};
    if (const auto deadline = Http::find(request.headers, deadlineHeader)) {
        const auto number = Text::parseNumber(*deadline);
        if (!number || *number < 0) {
            return Entry::CallError::BadDeadline;
        }
        call.callerTimeout = std::min(longestPatience, Millis{*number});
    }
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    eraseConnectionHeaders(call.headers);
    call.body = std::move(request.body);
    return call;
}

Http::Request encodeAttempt(const Entry::IncomingCall &call, std::string_view upstream, Millis left)
{
    Http::Request request{.method = call.method, .target = call.target, .headers = call.headers, .body = call.body};
    request.headers.push_back(
        {std::string(deadlineHeader), Text::concat(std::max<std::int64_t>(1, static_cast<std::int64_t>(left.count)))});
    request.headers.push_back({std::string(expectedInstanceHeader), std::string(upstream)});
    return request;
}

bool answersCall(const Http::Response &response, std::string_view callId)
{
    if (const auto id = Http::find(response.headers, requestIdHeader)) {
        return *id == callId;
    }
    // A success without an id is a late answer to a probe; refusals may come without one.
    return response.status >= 300;
}

Entry::UpstreamAnswer decodeAnswer(Http::Response response)
{
    Entry::UpstreamAnswer answer{.kind = kindOf(response), .load = decodeLoad(response.headers), .response = {}};
    answer.response = std::move(response);
    eraseConnectionHeaders(answer.response.headers);
    std::erase_if(answer.response.headers, [](const Http::Header &it) { return Text::equalsIgnoreCase(it.name, loadHeader); });
    answer.response.keepAlive = true;
    return answer;
}

Http::Request probeRequest(std::string_view healthPath, std::string_view host)
{
    return {.method = "GET", .target = std::string(healthPath), .headers = {{"Host", std::string(host)}}, .body = {}};
}

bool answersProbe(const Http::Response &response)
{
    return !Http::find(response.headers, requestIdHeader);
}

Placement::ProbeResult decodeProbe(const Http::Response &response, std::string_view upstream)
{
    const auto instance = Http::find(response.headers, instanceIdHeader);
    // A refusal for want of a slot speaks of load, not of health.
    const bool refused = response.status != 200 && Http::find(response.headers, notExecutedHeader).has_value();
    return {.answered = true,
            .healthy = response.status == 200 || refused,
            .wrongInstance = instance && *instance != upstream,
            .refused = refused,
            .load = decodeLoad(response.headers)};
}

Http::Response notRunResponse(std::string_view callId, Millis retryAfter)
{
    auto response = ownResponse(callId, 503);
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.3f", retryAfter.count / 1000);
    response.headers.push_back({"Retry-After", std::string(buf.data(), static_cast<std::size_t>(n))});
    return response;
}

Http::Response ownResponse(std::string_view callId, int status)
{
    Http::Response response{.status = status, .headers = {}, .body = {}};
    if (!callId.empty()) {
        response.headers.push_back({std::string(requestIdHeader), std::string(callId)});
    }
    return response;
}

}
