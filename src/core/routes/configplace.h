#ifndef LABURNUMMAST_CORE_ROUTES_CONFIGPLACE_H
#define LABURNUMMAST_CORE_ROUTES_CONFIGPLACE_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Laburnummast::Routes
{

/// Kind of an entry of a configuration.
enum class ConfigEntry : std::uint8_t {
    /// The configuration as a whole.
    Whole,
    Route,
    Service,
    Workspace,
    /// Limits for the requests of callers.
    Limits,
};

/// Field of an entry.
enum class ConfigField : std::uint8_t {
    Version,
    Host,
    PathPrefix,
    Kind,
    Timeout,
    Objective,
    Priority,
    MaxAttempts,
    Public,
    Services,
    HealthPath,
    MaxConnections,
    WarmUp,
    ColdCallsPerSecond,
    Keys,
    RatePerSecond,
    Burst,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
    Workspaces,
};

/// An entry of a configuration, or a field of one.
struct ConfigPlace
{
    ConfigEntry entry = ConfigEntry::Whole;
    /// Name of a route, service or workspace; otherwise empty.
    std::string name;
    /// Empty for the entry as a whole.
    std::optional<ConfigField> field;

    friend auto operator<=>(const ConfigPlace &, const ConfigPlace &) = default;
};

}

#endif
