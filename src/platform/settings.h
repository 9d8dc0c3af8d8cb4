#ifndef LABURNUMMAST_PLATFORM_SETTINGS_H
#define LABURNUMMAST_PLATFORM_SETTINGS_H

#include "core/result.h"
#include "entry/nodesettings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Platform
{

/// One field of the settings file that is missing or cannot be read.
struct SettingProblem
{
    std::string field;
    std::string value;
};

/// Path of the settings file, as the environment names it.
std::string settingsPath();

/// Decodes the settings file; unknown fields are ignored.
Result<Entry::NodeSettings, std::vector<SettingProblem>> parseSettings(std::string_view text);

/// A number with its unit, `ms` or `s`.
std::optional<Millis> parseDuration(std::string_view text);

}

#endif
