#include "platform/requests.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace Laburnummast::Platform
{
namespace
{

// Identifies the call, in requests and responses.
constexpr std::string_view requestIdHeader = "Laburnummast-Request-Id";
// Milliseconds for which the sender still waits for the response.
constexpr std::string_view deadlineHeader = "Laburnummast-Deadline-Milliseconds";
// Id of the upstream for which an attempt is meant.
constexpr std::string_view expectedInstanceHeader = "Laburnummast-Expected-Instance";
// Credential of the caller: the scheme and the key of a workspace.
constexpr std::string_view authorizationHeader = "Authorization";
constexpr std::string_view credentialScheme = "Token";
// Name of the caller's workspace, which the platform calls a tenant; only this daemon may set it.
constexpr std::string_view workspaceHeader = "Laburnummast-Tenant-Name";
// Id of the upstream that sent the response.
constexpr std::string_view instanceIdHeader = "Laburnummast-Instance-Id";
// Marks a response as the upstream's own; only its presence is checked.
constexpr std::string_view signatureHeader = "Laburnummast-Response-Signature";
// Present if the upstream did not run the request.
constexpr std::string_view notExecutedHeader = "Laburnummast-Not-Executed";
// Running calls, queued calls, slots, and the current duration of work in percent of the usual one, separated by commas. The
// last number is optional.
constexpr std::string_view loadHeader = "Laburnummast-Server-Load";

// Calls per second that the upstream accepts from all daemons together, as a decimal number, in each response while that holds.
constexpr std::string_view limitHeader = "Server-Limit";

// "1" in each response of an upstream that is leaving.
constexpr std::string_view leavingHeader = "Server-Leaving";
// In a refusal of an upstream: seconds, with fractions, for which it wants no requests from this daemon.
constexpr std::string_view retryAfterHeader = "Retry-After";

// In a response to a probe: milliseconds for which the upstream is still cold; 0 if it is warm.
constexpr std::string_view coldHeader = "Laburnummast-Cold-Milliseconds";

constexpr int unauthorized = 401;
constexpr int serviceUnavailable = 503;
constexpr int tooManyRequests = 429;
constexpr int misdirectedRequest = 421;
// Statuses from which a caller concludes that its call was not run.
constexpr std::array<int, 4> notRunStatuses{408, 421, 429, 503};
// A longer warm-up time in a response is reduced to this.
constexpr Millis maxColdTime = 3600_s;
// A longer deadline in a request is reduced to this.
constexpr Millis maxCallerWait = 3600_s;
// Longest credential that is looked up.
constexpr std::size_t maxCredentialBytes = 512;

// These headers are never forwarded: they concern one connection only, or this daemon sets them itself.
bool isStrippedHeader(std::string_view name)
{
    return Text::equalsIgnoreCase(name, deadlineHeader) || Text::equalsIgnoreCase(name, expectedInstanceHeader)
        || Text::equalsIgnoreCase(name, "content-length") || Http::isHopByHop(name);
}

// Whether a header name is `name` in any spelling; some servers treat an underscore as a hyphen.
bool isSpellingOf(std::string_view name, std::string_view headerName)
{
    std::string spelled(headerName);
    std::replace(spelled.begin(), spelled.end(), '_', '-');
    return Text::equalsIgnoreCase(spelled, name);
}

// Removes headers that are never forwarded, and those that the sender's `Connection` header names.
void stripHeaders(Http::Headers &headers)
{
    const auto tokens = Http::connectionTokens(headers);
    std::erase_if(headers, [&](const Http::Header &it) {
        return isStrippedHeader(it.name)
            || std::any_of(tokens.begin(), tokens.end(), [&](const std::string &token) { return Text::equalsIgnoreCase(token, it.name); });
    });
}

// Converts a target in absolute form. Its authority replaces the Host header; RFC 9112, section 3.2.2.
void toOriginForm(Entry::IncomingCall &call)
{
    const auto [scheme, rest] = Text::splitOnce(call.target, ':');
    if (!rest.starts_with("//") || !(Text::equalsIgnoreCase(scheme, "http") || Text::equalsIgnoreCase(scheme, "https"))) {
        return;
    }
    const auto afterSlashes = rest.substr(2);
    const auto authorityEnd = std::min(afterSlashes.find_first_of("/?"), afterSlashes.size());
    call.host = afterSlashes.substr(0, authorityEnd);
    for (auto &it : call.headers) {
        if (Text::equalsIgnoreCase(it.name, "host")) {
            it.value = call.host;
        }
    }
    const auto pathAndQuery = afterSlashes.substr(authorityEnd);
    call.target = pathAndQuery.starts_with('/') ? std::string(pathAndQuery) : Text::concat("/", pathAndQuery);
}

// The body with the memory that is reserved for it, which stays reserved as long as anyone uses the body.
std::shared_ptr<const std::string> holdBody(Http::Request &&request)
{
    struct HeldBody
    {
        std::string bytes;
        std::shared_ptr<BufferReservation> reservation;
    };
    const auto held = std::make_shared<HeldBody>(HeldBody{.bytes = std::move(request.body), .reservation = std::move(request.reservation)});
    return {held, &held->bytes};
}

// Returns nothing unless the first three numbers are valid and there is at least one slot.
std::optional<Placement::LoadReport> decodeLoadReport(const Http::Headers &headers)
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

std::optional<Millis> decodeColdRemaining(const Http::Headers &headers)
{
    const auto value = Http::find(headers, coldHeader);
    const auto number = value ? Text::parseNumber(Text::trim(*value)) : std::nullopt;
    return number && *number >= 0 ? std::optional(std::min(Millis{*number}, maxColdTime)) : std::nullopt;
}

// Whether the response comes from another upstream than the request was meant for.
bool isFromOtherUpstream(const Http::Response &response, std::string_view upstream)
{
    const auto instance = Http::find(response.headers, instanceIdHeader);
    return response.status == misdirectedRequest || (instance && *instance != upstream);
}

// Returns nothing if the text is not a number of seconds.
std::optional<Millis> parseRetryAfter(std::string_view text)
{
    const auto seconds = Text::parseNumber(Text::trim(text));
    return seconds && *seconds >= 0 ? std::optional(1_s * *seconds) : std::nullopt;
}

Entry::AnswerKind answerKindOf(const Http::Response &response)
{
    // Nothing else in such a response is reliable, a header that it was not executed included.
    if (!Http::isValidStatus(response.status)) {
        return Entry::AnswerKind::Unusable;
    }
    if (Http::find(response.headers, notExecutedHeader)) {
        return response.status == misdirectedRequest ? Entry::AnswerKind::WrongInstance : Entry::AnswerKind::NotRun;
    }
    if (response.status == misdirectedRequest) {
        return Entry::AnswerKind::WrongInstance;
    }
    const bool isSigned = Http::find(response.headers, signatureHeader).has_value();
    const bool isEncoded = Http::find(response.headers, "Content-Encoding").has_value();
    if (response.status >= 200 && response.status < 300) {
        return isSigned && !isEncoded ? Entry::AnswerKind::Success : Entry::AnswerKind::Unusable;
    }
    // Without the not-executed header the call may have run, so a status that implies the opposite must not reach the caller.
    const bool impliesNotRun = std::find(notRunStatuses.begin(), notRunStatuses.end(), response.status) != notRunStatuses.end();
    return impliesNotRun || isEncoded || (response.status < 500 && !isSigned) ? Entry::AnswerKind::Unusable : Entry::AnswerKind::Failure;
}

// Response to a call that was not run.
Http::Response refusal(std::string_view callId, int status, Millis retryAfter)
{
    auto response = localResponse(callId, status);
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.3f", retryAfter.count / 1000);
    response.headers.push_back({std::string(retryAfterHeader), std::string(buf.data(), static_cast<std::size_t>(n))});
    return response;
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
        call.callerTimeout = std::min(maxCallerWait, Millis{*number});
    }
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    toOriginForm(call);
    stripHeaders(call.headers);
    call.body = holdBody(std::move(request));
    return call;
}

Result<std::string, Workspaces::CredentialError> takeCredential(Entry::IncomingCall &call)
{
    using Workspaces::CredentialError;
    std::vector<std::string> credentials;
    std::erase_if(call.headers, [&](const Http::Header &it) {
        const bool isCredential = isSpellingOf(authorizationHeader, it.name);
        if (isCredential) {
            credentials.push_back(it.value);
        }
        return isCredential || isSpellingOf(workspaceHeader, it.name);
    });
    if (credentials.size() != 1) {
        return credentials.empty() ? CredentialError::Missing : CredentialError::Repeated;
    }
    const auto [scheme, rest] = Text::splitOnce(Text::trim(credentials.front()), ' ');
    if (!Text::equalsIgnoreCase(scheme, credentialScheme)) {
        return CredentialError::UnsupportedScheme;
    }
    const auto key = Text::trim(rest);
    if (key.empty() || key.size() > maxCredentialBytes) {
        return CredentialError::Malformed;
    }
    return std::string(key);
}

Http::Request attemptHead(const Entry::IncomingCall &call, std::string_view upstream, Millis remaining)
{
    Http::Request request{.method = call.method, .target = call.target, .headers = call.headers, .body = {}};
    request.headers.push_back(
        {std::string(deadlineHeader), Text::concat(std::max<std::int64_t>(1, static_cast<std::int64_t>(remaining.count)))});
    request.headers.push_back({std::string(expectedInstanceHeader), std::string(upstream)});
    if (!call.workspace.empty()) {
        request.headers.push_back({std::string(workspaceHeader), call.workspace});
    }
    return request;
}

bool isResponseToCall(const Http::Response &response, std::string_view callId)
{
    // Responses to calls repeat the id. One without it answers a probe or an earlier request, maybe for a second time, and says nothing
    // about whether this call runs.
    return Http::find(response.headers, requestIdHeader) == callId;
}

Entry::UpstreamAnswer decodeAnswer(Http::Response response)
{
    Entry::UpstreamAnswer answer{.kind = answerKindOf(response), .load = decodeLoadReport(response.headers), .response = {}};
    answer.response = std::move(response);
    stripHeaders(answer.response.headers);
    std::erase_if(answer.response.headers, [](const Http::Header &it) { return Text::equalsIgnoreCase(it.name, loadHeader); });
    answer.response.keepAlive = true;
    return answer;
}

Result<std::optional<double>, Entry::LimitError> namedLimit(const Http::Response &response, std::string_view upstream)
{
    if (isFromOtherUpstream(response, upstream)) {
        return Entry::LimitError::NotStated;
    }
    const auto value = Http::find(response.headers, limitHeader);
    if (!value && !Http::find(response.headers, signatureHeader)) {
        return Entry::LimitError::NotStated;
    }
    if (!value) {
        return std::optional<double>();
    }
    const auto number = Text::parseNumber(Text::trim(*value));
    if (!number || !std::isfinite(*number) || *number < 0) {
        return Entry::LimitError::NotARate;
    }
    return std::optional(*number);
}

Placement::AvailabilityNotice availabilityNotice(const Http::Response &response, std::string_view upstream)
{
    if (isFromOtherUpstream(response, upstream)) {
        return {};
    }
    Placement::AvailabilityNotice notice;
    const auto leaving = Http::find(response.headers, leavingHeader);
    notice.leaving = leaving && Text::trim(*leaving) == "1";
    const auto retryAfter = Http::find(response.headers, retryAfterHeader);
    if (response.status == serviceUnavailable && retryAfter) {
        notice.pause = parseRetryAfter(*retryAfter);
    }
    return notice;
}

bool hasUnreadableRetryAfter(const Http::Response &response)
{
    const auto retryAfter = Http::find(response.headers, retryAfterHeader);
    return response.status == serviceUnavailable && retryAfter && !parseRetryAfter(*retryAfter);
}

Http::Request probeRequest(std::string_view healthPath, std::string_view host)
{
    return {.method = "GET", .target = std::string(healthPath), .headers = {{"Host", std::string(host)}}, .body = {}};
}

bool isResponseToProbe(const Http::Response &response)
{
    return !Http::find(response.headers, requestIdHeader);
}

Placement::ProbeResult decodeProbeResponse(const Http::Response &response, std::string_view upstream)
{
    const auto instance = Http::find(response.headers, instanceIdHeader);
    // A refusal for lack of a free slot is a matter of load; the upstream is healthy.
    const bool refused
        = Http::isValidStatus(response.status) && response.status != 200 && Http::find(response.headers, notExecutedHeader).has_value();
    return {.answered = true,
            .healthy = response.status == 200 || refused,
            .wrongInstance = instance && *instance != upstream,
            .refused = refused,
            .load = decodeLoadReport(response.headers),
            .coldRemaining = decodeColdRemaining(response.headers)};
}

Http::Response notRunResponse(std::string_view callId, Millis retryAfter)
{
    return refusal(callId, serviceUnavailable, retryAfter);
}

Http::Response overAllowanceResponse(std::string_view callId, Millis retryAfter)
{
    return refusal(callId, tooManyRequests, retryAfter);
}

Http::Response unauthorizedResponse(std::string_view callId)
{
    auto response = localResponse(callId, unauthorized);
    // Required of a 401 by RFC 9110, section 11.6.1.
    response.headers.push_back({"WWW-Authenticate", std::string(credentialScheme)});
    return response;
}

Http::Response localResponse(std::string_view callId, int status)
{
    Http::Response response{.status = status, .headers = {}, .body = {}};
    if (!callId.empty()) {
        response.headers.push_back({std::string(requestIdHeader), std::string(callId)});
    }
    return response;
}

}
