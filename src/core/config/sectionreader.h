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
/// A key that is absent or has an invalid value leaves the value as it is, so that the initial value of an optional key is its
/// default. A text is stored even if it is empty, which is an error for a required one.
class SectionReader
{
public:
    SectionReader(const IniSection &section, std::string_view source, SettingErrors &errors);

    /// Reads a text; a required one must not be empty.
    void field(std::string_view key, std::string &value, Presence presence);
    /// Reads a list of texts separated by commas, without the spaces around them; empty ones are left out.
    void field(std::string_view key, std::vector<std::string> &value, Presence presence);
    /// Reads an integer within `range`.
    void field(std::string_view key, std::int64_t &value, Range range, Presence presence);
    /// Reads an integer number of milliseconds.
    void field(std::string_view key, Millis &value, Range range, Presence presence);
    /// Reads `yes` or `no`.
    void field(std::string_view key, bool &value, Presence presence);
    /// Reads one of `names` and stores its index.
    void choice(std::string_view key, std::uint8_t &value, std::span<const std::string_view> names, Presence presence);
    /// Appends an error for every key of the section that was not requested before; call it last.
    void rejectUnknownKeys();

private:
    const IniEntry *findEntry(std::string_view key, Presence presence);
    void addError(const IniEntry &entry, SettingErrorKind kind, std::string allowed);

    const IniSection &m_section;
    std::string_view m_source;
    SettingErrors &m_errors;
    /// Keys that were requested so far, whether present or not.
    std::vector<std::string_view> m_requestedKeys;
};

}

#endif
