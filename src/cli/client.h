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

/// Admin address given by --daemon; the metrics address for the command "entry". Prints an error and returns nothing if it is missing or
/// malformed.
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
    /// The parsed body; its is_discarded() is true if the body is not JSON.
    nlohmann::json json;
};

/// Sends a GET request over a new connection; `target` is a path with an optional query.
///
/// Prints no error. Returns nothing if no response header arrived within 3 s, or if the response was incomplete.
std::optional<Response> get(const Net::Address &address, const std::string &target);
/// Sends a POST request with the operator's credential over a new connection; `target` is a path with an optional query.
///
/// Prints no error. Returns nothing if no response header arrived within 20 s, or if the response was incomplete; the request may
/// have taken effect then.
std::optional<Response> post(const Net::Address &address, const std::string &target, std::string_view body, const std::string &credential);

/// Fetches the configuration in force at the daemon given by --daemon.
///
/// Prints an error and returns nothing if the address is missing, the daemon did not respond or its configuration cannot be read.
std::optional<Config::ConfigState> fetchConfig();

/// A daemon as listed by another daemon, whatever its state.
struct DaemonInfo
{
    std::string host;
    /// Failure domain of the host.
    std::string domain;
    /// Name of the membership state: alive, suspect, leaving, left or dead.
    std::string state;
    Net::Address adminAddress;
};

/// Fetches all daemons in the member list of the daemon given by --daemon, sorted by host name.
///
/// Daemons without a valid admin address are left out. Prints an error and returns nothing if the address is missing or there was
/// no valid response.
std::optional<std::vector<DaemonInfo>> fetchDaemons();

}

#endif
