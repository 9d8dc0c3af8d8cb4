#ifndef LABURNUMMAST_CORE_CONFIG_SETTINGERROR_H
#define LABURNUMMAST_CORE_CONFIG_SETTINGERROR_H

#include <cstdint>
#include <string>
#include <vector>

namespace Laburnummast::Config
{

/// What is wrong with one line of an INI text.
enum class SettingErrorKind : std::uint8_t {
    Syntax,
    UnknownSection,
    DuplicateSection,
    UnknownKey,
    DuplicateKey,
    MissingSection,
    MissingKey,
    NotANumber,
    OutOfRange,
    NotAllowed,
};

/// One mistake in an INI text, with its place and what would be allowed.
struct SettingError
{
    SettingErrorKind kind = SettingErrorKind::Syntax;
    std::string source;
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
    std::string allowed;
};

using SettingErrors = std::vector<SettingError>;

/// Short stable name of a kind, as printed and as used in JSON.
std::string nameOf(SettingErrorKind kind);

/// One line for a person: place, mistake, what is allowed.
std::string describe(const SettingError &error);

}

#endif
