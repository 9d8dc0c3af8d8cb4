#ifndef LABURNUMMAST_CORE_CONFIG_SETTINGERROR_H
#define LABURNUMMAST_CORE_CONFIG_SETTINGERROR_H

#include <cstdint>
#include <string>
#include <vector>

namespace Laburnummast::Config
{

/// Kind of an error in an INI text.
enum class SettingErrorKind : std::uint8_t {
    /// A line is neither a section header, an entry nor a comment.
    Syntax,
    UnknownSection,
    DuplicateSection,
    UnknownKey,
    DuplicateKey,
    MissingSection,
    MissingKey,
    NotANumber,
    OutOfRange,
    /// The value does not have the form that `SettingError::allowed` states.
    NotAllowed,
};

/// One error in an INI text, with its location and the allowed values.
struct SettingError
{
    SettingErrorKind kind = SettingErrorKind::Syntax;
    /// Name of the text, such as its file name.
    std::string source;
    /// Line in the text, from 1.
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
    /// Allowed values for a person to read; may be empty.
    std::string allowed;
};

using SettingErrors = std::vector<SettingError>;

/// Short stable name of an error kind, used in messages and JSON.
std::string nameOf(SettingErrorKind kind);

/// Formats an error as one line with its location, its kind and the allowed values.
std::string describe(const SettingError &error);

}

#endif
