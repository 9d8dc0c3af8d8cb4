#ifndef LABURNUMMAST_CORE_ROUTES_CONFIGFINDING_H
#define LABURNUMMAST_CORE_ROUTES_CONFIGFINDING_H

#include "core/routes/configplace.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Laburnummast::Routes
{

enum class Severity : std::uint8_t {
    /// The configuration does what it says, but a part of it has no effect.
    Warning,
    /// Calls would be lost or treated otherwise than the configuration says.
    Error,
};

/// What is wrong with a configuration whose fields are all readable.
enum class ConfigProblem : std::uint8_t {
    VersionNotHigher,
    PrefixWithoutSlashes,
    PrefixNeverSent,
    HostNeverSent,
    RouteShadowed,
    NoPositiveWeight,
    ServiceRepeated,
    ServiceUndefined,
    ObjectiveAboveTimeout,
    TimeoutZero,
    PublicWithoutWorkspaces,
    ServiceUnused,
    HealthPathNeverAnswered,
    ColdLimitWithoutWarmUp,
    NoWorkspace,
    NoKeys,
    KeyRepeated,
    KeyShared,
    KeyNeverSent,
    BurstWithoutRate,
    RateNeverServed,
    LimitZero,
};

struct ConfigFinding
{
    ConfigProblem problem = ConfigProblem::ServiceUnused;
    ConfigPlace place;
    /// The value or the other entry that the problem is about; may be empty. Never a whole key.
    std::string detail;
};

Severity severityOf(ConfigProblem problem);
/// Name of a problem in lower case with hyphens.
std::string_view nameOf(ConfigProblem problem);
/// Sentence part that follows the place and its detail.
std::string_view explanationOf(ConfigProblem problem);

/// Stands for a key in output: the beginning of its hash, too short to find a key by trying, long enough to tell two apart.
std::string keyDigest(std::string_view key);

}

#endif
