#include "core/config/note.h"

#include "core/text.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>

namespace Laburnummast::Config
{
namespace
{

constexpr std::string_view noteSectionName = "note";
constexpr std::array<std::string_view, 3> actionNames{"added", "changed", "withdrawn"};
constexpr std::string_view allowedNoteHeaders = "[note], [added KIND NAME], [changed KIND NAME], [withdrawn KIND NAME]";
constexpr std::string_view allowedDeclarationHeaders = "[owner NAME], [partner NAME], [service NAME], [upstream NAME], [route NAME]";
constexpr std::size_t maxNameLength = 128;
constexpr Range baseRange{0, std::numeric_limits<std::int64_t>::max()};

bool isNameCharacter(char it)
{
    return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '-' || it == '_' || it == '.' || it == '/';
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::optional<EntityKey> parseKey(std::string_view kind, std::string_view name)
{
    const auto it = std::find(entityKindNames.begin(), entityKindNames.end(), kind);
    if (it == entityKindNames.end() || !isValidName(name)) {
        return std::nullopt;
    }
    return EntityKey{.kind = static_cast<EntityKind>(it - entityKindNames.begin()), .name = std::string(name)};
}

SettingError unknownSectionError(const IniDocument &document, const IniSection &section, std::string_view allowed)
{
    return {.kind = SettingErrorKind::UnknownSection,
            .source = document.source,
            .line = section.line,
            .section = section.name,
            .allowed = std::string(allowed)};
}

// Parsed section header of one change; the index refers to actionNames.
struct ChangeHeader
{
    std::size_t actionIndex = 0;
    EntityKey key;
};

std::optional<ChangeHeader> parseChangeHeader(std::string_view name)
{
    const std::vector<std::string_view> words = Text::split(name, ' ');
    if (words.size() != 3) {
        return std::nullopt;
    }
    const auto action = std::find(actionNames.begin(), actionNames.end(), words[0]);
    auto key = parseKey(words[1], words[2]);
    if (action == actionNames.end() || !key) {
        return std::nullopt;
    }
    return ChangeHeader{.actionIndex = static_cast<std::size_t>(action - actionNames.begin()), .key = *key};
}

Change readChange(const ChangeHeader &header, const IniSection &section, const IniDocument &document, SettingErrors &errors)
{
    SectionReader reader(section, document.source, errors);
    if (header.actionIndex == 0) {
        return AddEntity{.key = header.key, .entity = readEntity(header.key.kind, reader)};
    }
    Offset base = noOffset;
    reader.field("base", base, baseRange, Presence::Required);
    if (header.actionIndex == 1) {
        return ChangeEntity{.key = header.key, .base = base, .entity = readEntity(header.key.kind, reader)};
    }
    reader.rejectUnknownKeys();
    return WithdrawEntity{.key = header.key, .base = base};
}

const IniSection *findSection(const IniDocument &document, std::string_view name)
{
    const auto hasName = [&](const IniSection &section) { return section.name == name; };
    const auto it = std::find_if(document.sections.begin(), document.sections.end(), hasName);
    return it == document.sections.end() ? nullptr : &*it;
}

// The format is read before anything else, because a note in a later format may violate every other rule.
std::optional<FutureFormat> findFutureFormat(const IniSection &section)
{
    for (const auto &it : section.entries) {
        const auto format = it.key == "format" ? Text::parseInteger(it.value) : std::nullopt;
        if (format.value_or(0) > noteFormat) {
            return FutureFormat{.format = *format};
        }
    }
    return std::nullopt;
}

void readNoteHeader(const IniSection &section, const IniDocument &document, Note &note, SettingErrors &errors)
{
    std::int64_t format = 0;
    SectionReader reader(section, document.source, errors);
    reader.field("format", format, Range{1, noteFormat}, Presence::Required);
    reader.field("id", note.id, Presence::Required);
    reader.field("author", note.author, Presence::Optional);
    reader.rejectUnknownKeys();
    if (!note.id.empty() && !isValidName(note.id)) {
        errors.push_back({.kind = SettingErrorKind::NotAllowed,
                          .source = document.source,
                          .line = section.line,
                          .section = section.name,
                          .key = "id",
                          .value = note.id,
                          .allowed = "letters, digits, - _ . /, at most 128"});
    }
}

void appendFields(std::string &text, const Entity &entity)
{
    for (const auto &it : fieldsOf(entity)) {
        Text::append(text, it.key, " = ", it.value, "\n");
    }
}

}

const EntityKey &keyOf(const Change &change)
{
    return std::visit([](const auto &it) -> const EntityKey & { return it.key; }, change);
}

Result<Note, NoteError> parseNote(std::string_view text, std::string_view source)
{
    auto document = parseIni(text, source);
    const auto *header = findSection(document, noteSectionName);
    if (header != nullptr) {
        if (auto future = findFutureFormat(*header)) {
            return NoteError(*future);
        }
    }
    auto errors = std::move(document.errors);
    Note note;
    if (header == nullptr) {
        errors.push_back(
            {.kind = SettingErrorKind::MissingSection, .source = document.source, .line = 1, .section = std::string(noteSectionName)});
    } else {
        readNoteHeader(*header, document, note, errors);
    }
    for (const auto &it : document.sections) {
        if (it.name == noteSectionName) {
            continue;
        }
        const auto change = parseChangeHeader(it.name);
        if (!change) {
            errors.push_back(unknownSectionError(document, it, allowedNoteHeaders));
            continue;
        }
        note.changes.push_back(readChange(*change, it, document, errors));
    }
    if (!errors.empty()) {
        return NoteError(std::move(errors));
    }
    return note;
}

std::string writeNote(const Note &note)
{
    std::string text = Text::concat("[note]\nformat = ", noteFormat, "\nid = ", note.id, "\n");
    if (!note.author.empty()) {
        Text::append(text, "author = ", note.author, "\n");
    }
    for (const auto &change : note.changes) {
        Text::append(text, "\n[", actionNames[change.index()], " ", describe(keyOf(change)), "]\n");
        std::visit(Overloaded{[&](const AddEntity &it) { appendFields(text, it.entity); },
                              [&](const ChangeEntity &it) {
                                  Text::append(text, "base = ", it.base, "\n");
                                  appendFields(text, it.entity);
                              },
                              [&](const WithdrawEntity &it) { Text::append(text, "base = ", it.base, "\n"); }},
                   change);
    }
    return text;
}

Result<Declarations, SettingErrors> parseDeclarations(std::string_view text, std::string_view source)
{
    auto document = parseIni(text, source);
    auto errors = std::move(document.errors);
    Declarations declarations;
    for (const auto &it : document.sections) {
        const std::vector<std::string_view> words = Text::split(it.name, ' ');
        const auto key = words.size() == 2 ? parseKey(words[0], words[1]) : std::nullopt;
        if (!key) {
            errors.push_back(unknownSectionError(document, it, allowedDeclarationHeaders));
            continue;
        }
        SectionReader reader(it, document.source, errors);
        declarations.entities.push_back({.key = *key, .entity = readEntity(key->kind, reader), .line = it.line});
    }
    if (!errors.empty()) {
        return errors;
    }
    return declarations;
}

}
