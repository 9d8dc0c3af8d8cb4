#ifndef LABURNUMMAST_CORE_ROUTES_CONFIGDIFFERENCE_H
#define LABURNUMMAST_CORE_ROUTES_CONFIGDIFFERENCE_H

#include "core/routes/configfinding.h"
#include "core/routes/configplace.h"
#include "core/routes/routetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Routes
{

enum class ConfigChange : std::uint8_t {
    Added,
    Removed,
    Changed,
};

/// Name of a change in lower case.
std::string_view nameOf(ConfigChange change);

/// An entry that one of two configurations lacks, or a field whose values differ.
struct ConfigDifference
{
    ConfigChange change = ConfigChange::Changed;
    ConfigPlace place;
    /// Values of a changed field. Keys are given by their number and digests.
    std::string before;
    std::string after;
};

/// Lists what `next` changes of `inForce`, versions excepted; sorted by place.
std::vector<ConfigDifference> differencesBetween(const RouteTable &inForce, const RouteTable &next);

/// Finding about the version of `next`, if daemons that have `inForce` would ignore a change; empty otherwise.
std::optional<ConfigFinding> checkVersion(const RouteTable &inForce, const RouteTable &next);

}

#endif
