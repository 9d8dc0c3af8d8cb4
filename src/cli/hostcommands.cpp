// Commands for hosts and services: services, status, state, entry, drain.

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
constexpr int statusUnauthorized = 401;

// Finds the daemon on a host. Prints an error and returns nothing if the member list cannot be fetched or does not contain the
// host.
std::optional<DaemonInfo> findDaemon(const std::string &host)
{
    const auto daemons = fetchDaemons();
    if (!daemons) {
        return std::nullopt;
    }
    const auto hasHost = [&](const DaemonInfo &it) { return it.host == host; };
    const auto it = std::find_if(daemons->begin(), daemons->end(), hasHost);
    if (it == daemons->end()) {
        printError("no such host in the member list: " + host);
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
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[key, versioned] : state->entities()) {
        const auto *service = std::get_if<Config::Service>(&versioned.entity);
        if (service == nullptr) {
            continue;
        }
        int upstreamCount = 0;
        int routeCount = 0;
        for (const auto &[otherKey, other] : state->entities()) {
            const auto *upstream = std::get_if<Config::Upstream>(&other.entity);
            const auto *route = std::get_if<Config::Route>(&other.entity);
            upstreamCount += upstream != nullptr && upstream->service == key.name ? 1 : 0;
            routeCount += route != nullptr && route->service == key.name ? 1 : 0;
        }
        rows.push_back({{"service", key.name},
                        {"owner", service->owner},
                        {"revision", versioned.revision},
                        {"upstreams", upstreamCount},
                        {"routes", routeCount}});
    }
    if (wantsJson()) {
        std::cout << rows.dump(2) << "\n";
        return ExitCode::Ok;
    }
    std::cout << absl::StrFormat("%-24s %-16s %9s %9s %7s\n", "service", "owner", "revision", "upstreams", "routes");
    for (const auto &it : rows) {
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
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &it : *daemons) {
        const auto response = it.state == "dead" || it.state == "left" ? std::nullopt : get(it.adminAddress, "/v1/status");
        const bool hasStatus = response && response->json.is_object();
        rows.push_back({{"host", it.host},
                        {"domain", it.domain},
                        {"state", hasStatus ? response->json.value("state", "") : it.state},
                        {"answered", hasStatus},
                        {"offset", hasStatus ? response->json.value("offset", -1) : -1},
                        {"hash", hasStatus ? response->json.value("hash", "") : ""},
                        {"in_flight", hasStatus ? response->json.value("in_flight", 0) : 0}});
    }
    if (wantsJson()) {
        std::cout << rows.dump(2) << "\n";
        return ExitCode::Ok;
    }
    std::cout << absl::StrFormat("%-16s %-16s %-8s %8s %-18s %9s\n", "host", "domain", "state", "offset", "hash", "in flight");
    for (const auto &it : rows) {
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
    const auto response = get(daemon->adminAddress, "/v1/state");
    if (!response) {
        printError("the daemon did not respond");
        return ExitCode::Unreachable;
    }
    std::cout << response->body;
    return ExitCode::Ok;
}

ExitCode showEntryState(Arguments)
{
    const auto address = daemonAddress();
    if (!address) {
        return ExitCode::Usage;
    }
    const auto response = get(*address, "/state");
    if (!response) {
        printError("the daemon did not respond");
        return ExitCode::Unreachable;
    }
    if (wantsJson()) {
        std::cout << entryStateAsJson(response->body).dump(2) << "\n";
    } else {
        std::cout << response->body;
    }
    return ExitCode::Ok;
}

ExitCode drainHost(Arguments arguments)
{
    const auto credential = readOperatorCredential();
    if (!credential) {
        return ExitCode::Denied;
    }
    const auto daemon = findDaemon(arguments[0]);
    if (!daemon) {
        return ExitCode::Unreachable;
    }
    const auto response = post(daemon->adminAddress, "/v1/drain", "", *credential);
    if (!response) {
        printError("the daemon did not respond");
        return ExitCode::Unreachable;
    }
    if (response->status == statusUnauthorized) {
        printError("the operator's credential was rejected");
        return ExitCode::Denied;
    }
    if (response->status == statusAccepted) {
        std::cout << daemon->host << ": draining\n";
        return ExitCode::Ok;
    }
    return ExitCode::Unreachable;
}

}
