#ifndef LABURNUMMAST_CLI_CLIENT_H
#define LABURNUMMAST_CLI_CLIENT_H

#include "cli/command.h"
#include "core/config/configstate.h"
#include "core/result.h"
#include "net/httpclient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// Whether the format flag asks for JSON.
bool wantsJson();

/// Address of the daemon flag, or nothing after a message.
std::optional<Net::Address> daemonAddress();
/// Address of the log flag, or nothing after a message.
std::optional<Net::Address> logAddress();
/// Operator's credential from the key file flag, or nothing after a message.
std::optional<std::string> readOperatorCredential();
/// Text of a file, or nothing after a message.
std::optional<std::string> readTextFile(const std::string &path);

void printError(std::string_view message);

struct Response
{
    int status = 0;
    std::string body;
    nlohmann::json json;
};

std::optional<Response> get(const Net::Address &address, const std::string &target);
std::optional<Response> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &credential);

/// The configuration in force at the daemon, or nothing after a message.
std::optional<Config::ConfigState> fetchConfig();

/// A live daemon as another one names it.
struct DaemonInfo
{
    std::string host;
    std::string domain;
    std::string state;
    Net::Address adminAddress;
};

/// Every daemon that the asked one knows, in order of their names; nothing after a message.
std::optional<std::vector<DaemonInfo>> fetchDaemons();

}

#endif
