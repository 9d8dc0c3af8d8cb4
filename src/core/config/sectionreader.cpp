#include "core/config/sectionreader.h"

#include "core/text.h"

#include <algorithm>

namespace Laburnummast::Config
{

SectionReader::SectionReader(const IniSection &section, std::string_view source, SettingErrors &errors)
    : m_section(section)
    , m_source(source)
    , m_errors(errors)
{
}

const IniEntry *SectionReader::findEntry(std::string_view key, Presence presence)
{
    m_requestedKeys.push_back(key);
    const auto hasKey = [&](const IniEntry &entry) { return entry.key == key; };
    const auto &entries = m_section.entries;
    const auto it = std::find_if(entries.begin(), entries.end(), hasKey);
    if (it == entries.end()) {
        if (presence == Presence::Required) {
            m_errors.push_back({.kind = SettingErrorKind::MissingKey,
                                .source = std::string(m_source),
                                .line = m_section.line,
                                .section = m_section.name,
                                .key = std::string(key)});
        }
        return nullptr;
    }
    const auto duplicate = std::find_if(it + 1, entries.end(), hasKey);
    if (duplicate != entries.end()) {
        addError(*duplicate, SettingErrorKind::DuplicateKey, "one value");
    }
    return &*it;
}

void SectionReader::addError(const IniEntry &entry, SettingErrorKind kind, std::string allowed)
{
    m_errors.push_back({.kind = kind,
                        .source = std::string(m_source),
                        .line = entry.line,
                        .section = m_section.name,
                        .key = entry.key,
                        .value = entry.value,
                        .allowed = std::move(allowed)});
}

void SectionReader::field(std::string_view key, std::string &value, Presence presence)
{
    const auto *entry = findEntry(key, presence);
    if (entry == nullptr) {
        return;
    }
    if (entry->value.empty() && presence == Presence::Required) {
        addError(*entry, SettingErrorKind::NotAllowed, "a text that is not empty");
    }
    value = entry->value;
}

void SectionReader::field(std::string_view key, std::vector<std::string> &value, Presence presence)
{
    const auto *entry = findEntry(key, presence);
    if (entry == nullptr) {
        return;
    }
    value.clear();
    for (const auto it : Text::split(entry->value, ',')) {
        value.emplace_back(Text::trim(it));
    }
}

void SectionReader::field(std::string_view key, std::int64_t &value, Range range, Presence presence)
{
    const auto *entry = findEntry(key, presence);
    if (entry == nullptr) {
        return;
    }
    const auto allowed = Text::concat(range.lowest, " to ", range.highest);
    const auto number = Text::parseInteger(entry->value);
    if (!number) {
        addError(*entry, SettingErrorKind::NotANumber, allowed);
        return;
    }
    if (*number < range.lowest || *number > range.highest) {
        addError(*entry, SettingErrorKind::OutOfRange, allowed);
        return;
    }
    value = *number;
}

void SectionReader::field(std::string_view key, Millis &value, Range range, Presence presence)
{
    auto number = static_cast<std::int64_t>(value.count);
    field(key, number, range, presence);
    value = {static_cast<double>(number)};
}

void SectionReader::field(std::string_view key, bool &value, Presence presence)
{
    constexpr std::string_view names[] = {"no", "yes"};
    std::uint8_t index = value ? 1 : 0;
    choice(key, index, names, presence);
    value = index == 1;
}

void SectionReader::choice(std::string_view key, std::uint8_t &value, std::span<const std::string_view> names, Presence presence)
{
    const auto *entry = findEntry(key, presence);
    if (entry == nullptr) {
        return;
    }
    const auto it = std::find(names.begin(), names.end(), entry->value);
    if (it == names.end()) {
        addError(*entry, SettingErrorKind::NotAllowed, Text::join(names, ", "));
        return;
    }
    value = static_cast<std::uint8_t>(it - names.begin());
}

void SectionReader::rejectUnknownKeys()
{
    for (const auto &it : m_section.entries) {
        if (std::find(m_requestedKeys.begin(), m_requestedKeys.end(), it.key) == m_requestedKeys.end()) {
            addError(it, SettingErrorKind::UnknownKey, Text::join(m_requestedKeys, ", "));
        }
    }
}

}
