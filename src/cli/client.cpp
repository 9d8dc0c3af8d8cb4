#include "cli/client.h"

#include "core/config/address.h"
#include "core/text.h"
#include "process/files.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, daemon, "", "admin address of a daemon, IP:PORT");
ABSL_FLAG(std::string, log, "", "address of the log service, IP:PORT");
ABSL_FLAG(std::string, key_file, "", "file with the operator's credential");
ABSL_FLAG(std::string, format, "text", "text or json");

namespace Laburnummast::Cli
{
namespace
{

constexpr Millis getTimeout = 3_s;
constexpr Millis postTimeout = 20_s;
constexpr std::size_t maxAnswer = 64 << 20;

std::optional<Net::Address> addressFlag(std::string_view flag, const std::string &text)
{
    auto address = Config::parseAddress(text);
    if (!address) {
        complain(Text::concat("--", flag, "=IP:PORT is needed"));
    }
    return address;
}

std::optional<Answer> ask(const Net::Address &address, const Net::ClientRequest &request, Millis timeout)
{
    auto answer = Net::fetch(address, request, timeout, maxAnswer);
    auto *response = std::get_if<Net::ClientResponse>(&answer);
    if (response == nullptr) {
        return std::nullopt;
    }
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    return Answer{.status = response->head.status, .body = std::move(response->body), .json = std::move(json)};
}

}

bool wantsJson()
{
    return absl::GetFlag(FLAGS_format) == "json";
}

void complain(std::string_view message)
{
    std::cerr << "laburnummast: " << message << "\n";
}

std::optional<Net::Address> daemonAddress()
{
    return addressFlag("daemon", absl::GetFlag(FLAGS_daemon));
}

std::optional<Net::Address> logAddress()
{
    return addressFlag("log", absl::GetFlag(FLAGS_log));
}

std::optional<std::string> operatorKey()
{
    const auto key = Process::readKeyFile(absl::GetFlag(FLAGS_key_file));
    if (const auto *failure = std::get_if<Process::FileError>(&key)) {
        complain(Text::concat("--key_file: ", describe(*failure)));
        return std::nullopt;
    }
    return std::get<std::string>(key);
}

std::optional<std::string> readText(const std::string &path)
{
    auto text = Process::readFile(path);
    if (const auto *failure = std::get_if<Process::FileError>(&text)) {
        complain(describe(*failure));
        return std::nullopt;
    }
    return std::get<std::string>(text);
}

std::optional<Answer> get(const Net::Address &address, const std::string &target)
{
    return ask(address, {.method = "GET", .target = target}, getTimeout);
}

std::optional<Answer> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &key)
{
    const Net::ClientRequest request{
        .method = "POST", .target = target, .headers = {{.name = "Authorization", .value = "Bearer " + key}}, .body = body};
    return ask(address, request, postTimeout);
}

std::optional<Config::ConfigState> fetchConfig()
{
    const auto address = daemonAddress();
    if (!address) {
        return std::nullopt;
    }
    const auto answer = get(*address, "/v1/config");
    if (!answer) {
        complain("the daemon did not answer");
        return std::nullopt;
    }
    auto state = Config::ConfigState::readSnapshot(answer->body);
    if (const auto *failure = std::get_if<Config::SnapshotError>(&state)) {
        complain(Text::concat("the daemon's configuration cannot be read: ", nameOf(*failure)));
        return std::nullopt;
    }
    return std::get<Config::ConfigState>(std::move(state));
}

std::optional<std::vector<DaemonRef>> fetchDaemons()
{
    const auto address = daemonAddress();
    if (!address) {
        return std::nullopt;
    }
    const auto answer = get(*address, "/v1/status");
    if (!answer || !answer->json.contains("members")) {
        complain("the daemon did not answer");
        return std::nullopt;
    }
    std::vector<DaemonRef> daemons;
    for (const auto &it : answer->json["members"]) {
        const auto admin = Config::parseAddress(it.value("admin", ""));
        if (admin) {
            daemons.push_back(
                {.host = it.value("host", ""), .domain = it.value("domain", ""), .state = it.value("state", ""), .admin = *admin});
        }
    }
    std::sort(daemons.begin(), daemons.end(), [](const DaemonRef &a, const DaemonRef &b) { return a.host < b.host; });
    return daemons;
}

}
