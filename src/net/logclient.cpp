#include "net/logclient.h"

#include "core/text.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace Laburnummast::Net
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxPageBytes = 64 << 20;
// Time for the response in addition to the wait that the request states.
constexpr Millis responseMargin = 2_s;
constexpr int statusOk = 200;
// The stream ends before the offset of the request.
constexpr int statusGone = 410;
constexpr const char *eraHeader = "Store-Era";

// Era that a response states; 0 from a log without eras. Empty if the value is invalid.
std::optional<std::int64_t> eraOf(const ResponseHead &head)
{
    const auto text = head.header(eraHeader);
    const auto era = text ? Text::parseInteger(*text) : 0;
    return era && *era >= 0 && *era <= Config::maxEra ? era : std::nullopt;
}

bool isOffset(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_integer() && json[name].get<Offset>() >= 0
        && json[name].get<Offset>() < Config::firstOffsetOf(1);
}

bool parseRecord(const Json &json, Offset firstOfEra, LogPage &page)
{
    if (!json.is_object() || !isOffset(json, "offset") || !json.contains("data") || !json["data"].is_string()) {
        return false;
    }
    auto data = Text::fromBase64(json["data"].get_ref<const std::string &>());
    if (!data) {
        return false;
    }
    page.records.push_back({.offset = firstOfEra + json["offset"].get<Offset>(), .data = std::move(*data)});
    return true;
}

Result<LogPage, LogError> parsePage(std::string_view text, std::int64_t era)
{
    const auto firstOfEra = Config::firstOffsetOf(era);
    const auto json = Json::parse(text, nullptr, false);
    const bool wellFormed
        = json.is_object() && isOffset(json, "first") && isOffset(json, "next") && json.contains("records") && json["records"].is_array();
    if (!wellFormed) {
        return LogError::Malformed;
    }
    LogPage page{.first = firstOfEra + json["first"].get<Offset>(), .next = firstOfEra + json["next"].get<Offset>(), .records = {}};
    for (const auto &it : json["records"]) {
        if (!parseRecord(it, firstOfEra, page)) {
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
    const auto era = eraOf(response.head);
    if (!json.is_object() || !isOffset(json, "offset") || !era) {
        return LogError::Ambiguous;
    }
    return Config::firstOffsetOf(*era) + json["offset"].get<Offset>();
}

Result<LogPage, LogError> LogClient::read(std::string_view stream, Offset from, int maxRecords, Millis wait) const
{
    const auto target = Text::concat("/v1/streams/",
                                     stream,
                                     "/records?from=",
                                     Config::streamOffsetOf(from),
                                     "&max=",
                                     maxRecords,
                                     "&wait_ms=",
                                     static_cast<int>(wait.count));
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
    if (response.head.status != statusOk && response.head.status != statusGone) {
        return LogError::Refused;
    }
    const auto era = eraOf(response.head);
    return era ? parsePage(response.body, *era) : Result<LogPage, LogError>(LogError::Malformed);
}

}
