#ifndef LABURNUMMAST_CORE_CONFIG_SECTIONREADER_H
#define LABURNUMMAST_CORE_CONFIG_SECTIONREADER_H

#include "core/config/inidocument.h"
#include "core/millis.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Config
{

/// Whether a key must be present.
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/// Allowed range of an integer; both bounds are inclusive.
struct Range
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Reads the keys of one section into typed values and appends every error to a list.
///
/// An absent key leaves the value as it is, so that the initial value of an optional key is its default.
class SectionReader
{
public:
    SectionReader(const IniSection &section, std::string_view source, SettingErrors &errors);

    void field(std::string_view key, std::string &value, Presence presence);
    /// Reads a list that is separated by commas.
    void field(std::string_view key, std::vector<std::string> &value, Presence presence);
    void field(std::string_view key, std::int64_t &value, Range range, Presence presence);
    /// Reads an integer number of milliseconds.
    void field(std::string_view key, Millis &value, Range range, Presence presence);
    /// Reads `yes` or `no`.
    void field(std::string_view key, bool &value, Presence presence);
    /// Reads one of `names` and stores its index.
    void choice(std::string_view key, std::uint8_t &value, std::span<const std::string_view> names, Presence presence);
    /// Reports every key of the section that was not read.
    void rejectUnknownKeys();

private:
    const IniEntry *findEntry(std::string_view key, Presence presence);
    void addError(const IniEntry &entry, SettingErrorKind kind, std::string allowed);

    const IniSection &m_section;
    std::string_view m_source;
    SettingErrors &m_errors;
    std::vector<std::string_view> m_requestedKeys;
};

}

#endif
