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
std::optional<std::string> operatorKey();
/// Text of a file, or nothing after a message.
std::optional<std::string> readText(const std::string &path);

void complain(std::string_view message);

struct Answer
{
    int status = 0;
    std::string body;
    nlohmann::json json;
};

std::optional<Answer> get(const Net::Address &address, const std::string &target);
std::optional<Answer> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &key);

/// The configuration in force at the daemon, or nothing after a message.
std::optional<Config::ConfigState> fetchConfig();

/// A live daemon as another one names it.
struct DaemonRef
{
    std::string host;
    std::string domain;
    std::string state;
    Net::Address admin;
};

/// Every daemon that the asked one knows, in order of their names; nothing after a message.
std::optional<std::vector<DaemonRef>> fetchDaemons();

}

#endif
