#include "net/logclient.h"

#include "core/text.h"

#include <nlohmann/json.hpp>

namespace Laburnummast::Net
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxPageBytes = 64 << 20;
// Time for the response in addition to the wait that the request states.
constexpr Millis responseMargin = 2_s;
constexpr int statusOk = 200;

bool parseRecord(const Json &json, LogPage &page)
{
    if (!json.is_object() || !json.contains("offset") || !json["offset"].is_number_integer() || !json.contains("data")
        || !json["data"].is_string()) {
        return false;
    }
    auto data = Text::fromBase64(json["data"].get_ref<const std::string &>());
    if (!data) {
        return false;
    }
    page.records.push_back({.offset = json["offset"].get<Offset>(), .data = std::move(*data)});
    return true;
}

Result<LogPage, LogError> parsePage(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    const bool wellFormed = json.is_object() && json.contains("first") && json["first"].is_number_integer() && json.contains("next")
        && json["next"].is_number_integer() && json.contains("records") && json["records"].is_array();
    if (!wellFormed) {
        return LogError::Malformed;
    }
    LogPage page{.first = json["first"].get<Offset>(), .next = json["next"].get<Offset>(), .records = {}};
    for (const auto &it : json["records"]) {
        if (!parseRecord(it, page)) {
            return LogError::Malformed;
        }
    }
    return page;
}

}

std::string_view nameOf(LogError error)
{
    switch (error) {
    case LogError::Unreachable:
        return "unreachable";
    case LogError::Ambiguous:
        return "ambiguous";
    case LogError::Refused:
        return "refused";
    case LogError::Malformed:
        return "malformed";
    }
    return "unknown";
}

LogClient::LogClient(Address address)
    : m_address(std::move(address))
{
}

Result<Offset, LogError> LogClient::append(std::string_view stream, std::string_view record, Millis timeout) const
{
    const ClientRequest request{.method = "POST",
                                .target = Text::concat("/v1/streams/", stream, "/records"),
                                .headers = {{.name = "Content-Type", .value = "application/octet-stream"}},
                                .body = record};
    const auto result = fetch(m_address, request, timeout, maxPageBytes);
    if (const auto *failure = std::get_if<HttpError>(&result)) {
        return *failure == HttpError::CannotConnect ? LogError::Unreachable : LogError::Ambiguous;
    }
    const auto &response = std::get<ClientResponse>(result);
    if (response.head.status != statusOk) {
        return LogError::Refused;
    }
    const auto json = Json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("offset") || !json["offset"].is_number_integer()) {
        return LogError::Ambiguous;
    }
    return json["offset"].get<Offset>();
}

Result<LogPage, LogError> LogClient::read(std::string_view stream, Offset from, int maxRecords, Millis wait) const
{
    const auto target
        = Text::concat("/v1/streams/", stream, "/records?from=", from, "&max=", maxRecords, "&wait_ms=", static_cast<int>(wait.count));
    return readPage(target, wait + responseMargin);
}

Result<LogPage, LogError> LogClient::readLast(std::string_view stream, int maxRecords) const
{
    return readPage(Text::concat("/v1/streams/", stream, "/records?last=", maxRecords), responseMargin);
}

Result<LogPage, LogError> LogClient::readPage(const std::string &target, Millis timeout) const
{
    const auto result = fetch(m_address, {.method = "GET", .target = target}, timeout, maxPageBytes);
    if (std::holds_alternative<HttpError>(result)) {
        return LogError::Unreachable;
    }
    const auto &response = std::get<ClientResponse>(result);
    return response.head.status == statusOk ? parsePage(response.body) : Result<LogPage, LogError>(LogError::Refused);
}

}
