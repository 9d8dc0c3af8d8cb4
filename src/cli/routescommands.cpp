// Command for configuration records: check-routes.

#include "cli/client.h"
#include "cli/routescheck.h"
#include "core/text.h"
#include "platform/records.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, in_force, "", "check-routes: file with the configuration record in force, to compare with");

namespace Laburnummast::Cli
{
namespace
{

// Prints an error and returns nothing if the file cannot be read or its record is rejected by the daemons.
std::optional<Routes::RouteTable> readTable(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return std::nullopt;
    }
    auto decoded = Platform::decodeRoutes(*text);
    if (const auto *error = std::get_if<Platform::RecordError>(&decoded)) {
        printError(Text::concat(path, ": ", Platform::nameOf(*error)));
        return std::nullopt;
    }
    return std::get<Routes::RouteTable>(std::move(decoded));
}

}

ExitCode checkRoutes(Arguments arguments)
{
    const auto inForcePath = absl::GetFlag(FLAGS_in_force);
    const auto text = readTextFile(arguments[0]);
    const auto inForce = text && !inForcePath.empty() ? readTable(inForcePath) : std::nullopt;
    if (!text || inForce.has_value() == inForcePath.empty()) {
        return ExitCode::Usage;
    }
    const auto check = checkRoutesRecord(*text, inForce ? &*inForce : nullptr);
    std::cout << (wantsJson() ? toJson(check).dump(2) + "\n" : toText(check));
    if (check.count(Routes::Severity::Error) > 0) {
        return ExitCode::Refused;
    }
    return check.count(Routes::Severity::Warning) > 0 ? ExitCode::Warnings : ExitCode::Ok;
}

}
