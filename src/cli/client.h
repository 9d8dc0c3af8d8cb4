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

/// Whether --format=json was given.
bool wantsJson();

/// Address given by --daemon. Prints an error and returns nothing if it is missing or malformed.
std::optional<Net::Address> daemonAddress();
/// Address given by --log. Prints an error and returns nothing if it is missing or malformed.
std::optional<Net::Address> logAddress();
/// Operator's credential from the file given by --key_file. Prints an error and returns nothing if the file cannot be read.
std::optional<std::string> readOperatorCredential();
/// Contents of a text file. Prints an error and returns nothing if the file cannot be read.
std::optional<std::string> readTextFile(const std::string &path);

/// Prints a message to standard error, prefixed with the program's name.
void printError(std::string_view message);

/// HTTP response of a daemon.
struct Response
{
    /// HTTP status code.
    int status = 0;
    std::string body;
    /// The parsed body; a discarded value if the body is not JSON.
    nlohmann::json json;
};

/// Sends a GET request over a new connection. Returns nothing, without a message, if there was no complete response within 3 s.
std::optional<Response> get(const Net::Address &address, const std::string &target);
/// Sends a POST request with the operator's credential over a new connection.
///
/// Returns nothing, without a message, if there was no complete response within 20 s; the request may have taken effect.
std::optional<Response> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &credential);

/// Fetches the configuration in force at the daemon given by --daemon.
///
/// Prints an error and returns nothing if the daemon did not respond or its configuration cannot be read.
std::optional<Config::ConfigState> fetchConfig();

/// A daemon as listed by another daemon, whatever its state.
struct DaemonInfo
{
    std::string host;
    /// Failure domain of the host.
    std::string domain;
    /// Membership state, such as alive, suspect, leaving, left or dead.
    std::string state;
    Net::Address adminAddress;
};

/// Fetches all members known to the daemon given by --daemon, sorted by host name.
///
/// Members without a valid admin address are left out. Prints an error and returns nothing if there was no valid response.
std::optional<std::vector<DaemonInfo>> fetchDaemons();

}

#endif
