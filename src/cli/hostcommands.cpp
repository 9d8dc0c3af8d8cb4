// Commands about hosts and services: services, status, state, drain.

#include "cli/client.h"
#include "cli/entrystate.h"
#include "core/config/address.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <iostream>

namespace Laburnummast::Cli
{
namespace
{

constexpr int statusAccepted = 202;
constexpr int statusDenied = 401;

std::optional<DaemonRef> findDaemon(const std::string &host)
{
    const auto daemons = fetchDaemons();
    if (!daemons) {
        return std::nullopt;
    }
    const auto same = [&](const DaemonRef &it) { return it.host == host; };
    const auto it = std::find_if(daemons->begin(), daemons->end(), same);
    if (it == daemons->end()) {
        complain("no daemon knows host " + host);
        return std::nullopt;
    }
    return *it;
}

}

ExitCode listServices(Arguments /*arguments*/)
{
    const auto state = fetchConfig();
    if (!state) {
        return ExitCode::Unreachable;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, value] : state->entities()) {
        const auto *service = std::get_if<Config::Service>(&value.entity);
        if (service == nullptr) {
            continue;
        }
        int upstreams = 0;
        int routes = 0;
        for (const auto &[other, entity] : state->entities()) {
            const auto *upstream = std::get_if<Config::Upstream>(&entity.entity);
            const auto *route = std::get_if<Config::Route>(&entity.entity);
            upstreams += upstream != nullptr && upstream->service == key.name ? 1 : 0;
            routes += route != nullptr && route->service == key.name ? 1 : 0;
        }
        list.push_back(
            {{"service", key.name}, {"owner", service->owner}, {"revision", value.revision}, {"upstreams", upstreams}, {"routes", routes}});
    }
    if (wantsJson()) {
        std::cout << list.dump(2) << "\n";
        return ExitCode::Ok;
    }
    std::cout << absl::StrFormat("%-24s %-16s %9s %9s %7s\n", "service", "owner", "revision", "upstreams", "routes");
    for (const auto &it : list) {
        std::cout << absl::StrFormat("%-24s %-16s %9d %9d %7d\n",
                                     it["service"].get<std::string>(),
                                     it["owner"].get<std::string>(),
                                     it["revision"].get<int>(),
                                     it["upstreams"].get<int>(),
                                     it["routes"].get<int>());
    }
    return ExitCode::Ok;
}

ExitCode showStatus(Arguments /*arguments*/)
{
    const auto daemons = fetchDaemons();
    if (!daemons) {
        return ExitCode::Unreachable;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &it : *daemons) {
        const auto answer = it.state == "dead" || it.state == "left" ? std::nullopt : get(it.admin, "/v1/status");
        const bool answered = answer && answer->json.is_object();
        list.push_back({{"host", it.host},
                        {"domain", it.domain},
                        {"state", answered ? answer->json.value("state", "") : it.state},
                        {"answered", answered},
                        {"offset", answered ? answer->json.value("offset", -1) : -1},
                        {"hash", answered ? answer->json.value("hash", "") : ""},
                        {"in_flight", answered ? answer->json.value("in_flight", 0) : 0}});
    }
    if (wantsJson()) {
        std::cout << list.dump(2) << "\n";
        return ExitCode::Ok;
    }
    std::cout << absl::StrFormat("%-16s %-16s %-8s %8s %-18s %9s\n", "host", "domain", "state", "offset", "hash", "in flight");
    for (const auto &it : list) {
        std::cout << absl::StrFormat("%-16s %-16s %-8s %8d %-18s %9d\n",
                                     it["host"].get<std::string>(),
                                     it["domain"].get<std::string>(),
                                     it["state"].get<std::string>(),
                                     it["offset"].get<int>(),
                                     it["hash"].get<std::string>(),
                                     it["in_flight"].get<int>());
    }
    return ExitCode::Ok;
}

ExitCode showState(Arguments arguments)
{
    const auto daemon = findDaemon(arguments[0]);
    if (!daemon) {
        return ExitCode::Unreachable;
    }
    const auto answer = get(daemon->admin, "/v1/state");
    if (!answer) {
        complain("the host did not answer");
        return ExitCode::Unreachable;
    }
    std::cout << answer->body;
    return ExitCode::Ok;
}

ExitCode showEntry(Arguments)
{
    const auto address = daemonAddress();
    if (!address) {
        return ExitCode::Usage;
    }
    const auto answer = get(*address, "/state");
    if (!answer) {
        complain("the host did not answer");
        return ExitCode::Unreachable;
    }
    if (wantsJson()) {
        std::cout << entryStateAsJson(answer->body).dump(2) << "\n";
    } else {
        std::cout << answer->body;
    }
    return ExitCode::Ok;
}

ExitCode drainHost(Arguments arguments)
{
    const auto key = operatorKey();
    if (!key) {
        return ExitCode::Denied;
    }
    const auto daemon = findDaemon(arguments[0]);
    if (!daemon) {
        return ExitCode::Unreachable;
    }
    const auto answer = post(daemon->admin, "/v1/drain", "", *key);
    if (!answer) {
        complain("the host did not answer");
        return ExitCode::Unreachable;
    }
    if (answer->status == statusDenied) {
        complain("the operator's credential is wrong");
        return ExitCode::Denied;
    }
    if (answer->status == statusAccepted) {
        std::cout << daemon->host << ": draining\n";
        return ExitCode::Ok;
    }
    return ExitCode::Unreachable;
}

}
