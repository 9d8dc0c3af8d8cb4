#include "platform/directory.h"

#include "core/text.h"

#include <nlohmann/json.hpp>

namespace Laburnummast::Platform
{
namespace
{

// Callers use at most this many addresses of a list.
constexpr std::size_t maxAddresses = 64;

}

bool isEntryListRequest(std::string_view target)
{
    return Http::pathOf(target) == "/laburnummast/resolution";
}

// The platform calls a failure domain a zone.
std::string callerDomain(std::string_view target)
{
    return Http::queryParameter(target, "zone").value_or(std::string());
}

Http::Response entryListResponse(std::span<const std::string> addresses, Millis maxAge)
{
    if (addresses.empty()) {
        return {.status = 503, .headers = {}, .body = {}};
    }
    nlohmann::json body;
    body["addresses"] = nlohmann::json::array();
    for (const auto &it : addresses.first(std::min(addresses.size(), maxAddresses))) {
        body["addresses"].push_back(it);
    }
    // How long the caller may keep the list.
    body["ttl"] = Text::concat(static_cast<std::int64_t>(maxAge.count), "ms");
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

bool isReadinessRequest(std::string_view target)
{
    return Http::pathOf(target) == "/laburnummast/readiness";
}

Http::Response readinessResponse(bool ready)
{
    return {.status = ready ? 200 : 503, .headers = {}, .body = {}};
}

}
