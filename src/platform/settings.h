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

/// A field of the settings file that is missing or has an invalid value.
struct SettingProblem
{
    std::string field;
    /// Text found in the file; empty if the field is missing.
    std::string value;
};

/// Path of the settings file: the value of an environment variable, or a default path if it is not set.
std::string settingsPath();

/// Decodes the text of the settings file; unknown fields are ignored.
///
/// An error lists all required fields that are missing and all fields with an invalid value; invalid ports and seeds are no error.
Result<Entry::NodeSettings, std::vector<SettingProblem>> parseSettings(std::string_view text);

/// Parses a non-negative number with the unit `ms` or `s`; empty if the text is anything else.
std::optional<Millis> parseDuration(std::string_view text);

}

#endif
