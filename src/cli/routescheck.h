#ifndef LABURNUMMAST_CLI_ROUTESCHECK_H
#define LABURNUMMAST_CLI_ROUTESCHECK_H

#include "core/routes/configdifference.h"
#include "core/routes/configfinding.h"
#include "core/routes/routetable.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// One line of a report, with the names that the configuration record uses.
struct CheckedPlace
{
    Routes::Severity severity = Routes::Severity::Error;
    Routes::ConfigEntry entry = Routes::ConfigEntry::Whole;
    /// Name of a route, service or workspace; otherwise empty.
    std::string name;
    /// Empty for the entry as a whole.
    std::string field;
    /// Name of the problem in lower case with hyphens.
    std::string problem;
    std::string explanation;
    std::string detail;
};

/// Result of checking a configuration record.
struct RoutesCheck
{
    std::vector<CheckedPlace> findings;
    /// Empty if there was nothing to compare with, or if the record is rejected as a whole.
    std::optional<std::vector<Routes::ConfigDifference>> differences;

    std::size_t count(Routes::Severity severity) const;
};

/// Checks the text of a configuration record, and compares it with the version in force unless that is null.
RoutesCheck checkRoutesRecord(std::string_view text, const Routes::RouteTable *inForce);

/// One line for each finding and difference, and a last line with their numbers.
std::string toText(const RoutesCheck &check);
/// Object with `errors`, `warnings`, `findings` and `differences`; the latter is null if nothing was compared.
nlohmann::json toJson(const RoutesCheck &check);

}

#endif
