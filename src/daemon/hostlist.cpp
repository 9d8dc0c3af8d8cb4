#include "daemon/hostlist.h"

#include "core/config/address.h"

#include <nlohmann/json.hpp>

namespace Laburnummast::Daemon
{
namespace
{

std::string stringField(const nlohmann::json &json, const char *key)
{
    return json.contains(key) && json[key].is_string() ? json[key].get<std::string>() : std::string();
}

}

HostList parseHostList(std::string_view text)
{
    HostList list;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return list;
    }
    for (const auto &it : json["hosts"]) {
        const auto address = it.is_object() ? Config::parseAddress(stringField(it, "address")) : std::nullopt;
        if (!address) {
            continue;
        }
        const bool leaving = stringField(it, "state") == "leaving";
        const auto kind = stringField(it, "kind");
        if (kind == "daemon" && !leaving) {
            list.liveDaemons.push_back(*address);
        } else if (kind == "upstream" && leaving) {
            list.leavingUpstreams.push_back(*address);
        }
    }
    return list;
}

}
