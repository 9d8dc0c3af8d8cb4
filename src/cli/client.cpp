#include "cli/client.h"

#include "core/config/address.h"
#include "core/text.h"
#include "process/files.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, daemon, "", "admin address of a daemon, IP:PORT; for the command entry its metrics address");
ABSL_FLAG(std::string, log, "", "address of the log service, IP:PORT");
ABSL_FLAG(std::string, key_file, "", "file that contains the operator's credential");
ABSL_FLAG(std::string, format, "text", "output format: text or json");

namespace Laburnummast::Cli
{
namespace
{

constexpr Millis getTimeout = 3_s;
constexpr Millis postTimeout = 20_s;
constexpr std::size_t maxResponseBytes = 64 << 20;

std::optional<Net::Address> parseAddressFlag(std::string_view flag, const std::string &text)
{
    auto address = Config::parseAddress(text);
    if (!address) {
        printError(Text::concat("--", flag, "=IP:PORT is missing or malformed"));
    }
    return address;
}

std::optional<Response> sendRequest(const Net::Address &address, const Net::ClientRequest &request, Millis timeout)
{
    auto result = Net::fetch(address, request, timeout, maxResponseBytes);
    auto *response = std::get_if<Net::ClientResponse>(&result);
    if (response == nullptr) {
        return std::nullopt;
    }
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    return Response{.status = response->head.status, .body = std::move(response->body), .json = std::move(json)};
}

}

bool wantsJson()
{
    return absl::GetFlag(FLAGS_format) == "json";
}

void printError(std::string_view message)
{
    std::cerr << "laburnummast: " << message << "\n";
}

std::optional<Net::Address> daemonAddress()
{
    return parseAddressFlag("daemon", absl::GetFlag(FLAGS_daemon));
}

std::optional<Net::Address> logAddress()
{
    return parseAddressFlag("log", absl::GetFlag(FLAGS_log));
}

std::optional<std::string> readOperatorCredential()
{
    const auto credential = Process::readKeyFile(absl::GetFlag(FLAGS_key_file));
    if (const auto *failure = std::get_if<Process::FileError>(&credential)) {
        printError(Text::concat("--key_file: ", describe(*failure)));
        return std::nullopt;
    }
    return std::get<std::string>(credential);
}

std::optional<std::string> readTextFile(const std::string &path)
{
    auto text = Process::readFile(path);
    if (const auto *failure = std::get_if<Process::FileError>(&text)) {
        printError(describe(*failure));
        return std::nullopt;
    }
    return std::get<std::string>(text);
}

std::optional<Response> get(const Net::Address &address, const std::string &target)
{
    return sendRequest(address, {.method = "GET", .target = target}, getTimeout);
}

std::optional<Response> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &credential)
{
    const Net::ClientRequest request{
        .method = "POST", .target = target, .headers = {{.name = "Authorization", .value = "Bearer " + credential}}, .body = body};
    return sendRequest(address, request, postTimeout);
}

std::optional<Config::ConfigState> fetchConfig()
{
    const auto address = daemonAddress();
    if (!address) {
        return std::nullopt;
    }
    const auto response = get(*address, "/v1/config");
    if (!response) {
        printError("the daemon did not respond");
        return std::nullopt;
    }
    auto state = Config::ConfigState::readSnapshot(response->body);
    if (const auto *failure = std::get_if<Config::SnapshotError>(&state)) {
        printError(Text::concat("the daemon's configuration cannot be read: ", nameOf(*failure)));
        return std::nullopt;
    }
    return std::get<Config::ConfigState>(std::move(state));
}

std::optional<std::vector<DaemonInfo>> fetchDaemons()
{
    const auto address = daemonAddress();
    if (!address) {
        return std::nullopt;
    }
    const auto response = get(*address, "/v1/status");
    if (!response || !response->json.contains("members")) {
        printError("no valid response from the daemon");
        return std::nullopt;
    }
    std::vector<DaemonInfo> daemons;
    for (const auto &it : response->json["members"]) {
        const auto adminAddress = Config::parseAddress(it.value("admin", ""));
        if (adminAddress) {
            daemons.push_back({.host = it.value("host", ""),
                               .domain = it.value("domain", ""),
                               .state = it.value("state", ""),
                               .adminAddress = *adminAddress});
        }
    }
    std::sort(daemons.begin(), daemons.end(), [](const DaemonInfo &a, const DaemonInfo &b) { return a.host < b.host; });
    return daemons;
}

}
