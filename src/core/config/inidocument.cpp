#include "core/config/inidocument.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace Laburnummast::Config
{
namespace
{

// The library does not pass line numbers to its handler, so the line reader counts them.
struct ParseState
{
    std::string_view rest;
    int line = 0;
    int sectionLine = 0;
    IniDocument *document = nullptr;
};

char *readLine(char *buf, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    if (state.rest.empty()) {
        return nullptr;
    }
    const auto end = state.rest.find('\n');
    const auto length = end == std::string_view::npos ? state.rest.size() : end + 1;
    const auto n = std::min(length, static_cast<std::size_t>(size - 1));
    std::memcpy(buf, state.rest.data(), n);
    buf[n] = '\0';
    state.rest.remove_prefix(length);
    ++state.line;
    return buf;
}

int takeEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    auto &sections = state.document->sections;
    if (sections.empty() || sections.back().name != section) {
        sections.push_back({.name = section, .line = state.line, .entries = {}});
    }
    sections.back().entries.push_back({.key = key, .value = value == nullptr ? "" : value, .line = state.line});
    return 1;
}

void findDuplicateSections(IniDocument &document)
{
    std::vector<std::string_view> seen;
    for (const auto &it : document.sections) {
        if (std::find(seen.begin(), seen.end(), it.name) != seen.end()) {
            document.errors.push_back(
                {.kind = SettingErrorKind::DuplicateSection, .source = document.source, .line = it.line, .section = it.name});
        }
        seen.push_back(it.name);
    }
}

// A section without entries never reaches the handler, so headers are read once more by themselves.
void addEmptySections(std::string_view text, IniDocument &document)
{
    int line = 0;
    while (!text.empty()) {
        ++line;
        const auto end = std::min(text.find('\n'), text.size());
        auto it = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto close = it.find(']');
        if (it.empty() || it.front() != '[' || close == std::string_view::npos) {
            continue;
        }
        const std::string name(it.substr(1, close - 1));
        const auto same = [&](const IniSection &section) { return section.name == name; };
        auto &sections = document.sections;
        if (std::find_if(sections.begin(), sections.end(), same) == sections.end()) {
            sections.push_back({.name = name, .line = line, .entries = {}});
        }
    }
}

}

IniDocument parseIni(std::string_view text, std::string_view source)
{
    IniDocument document{.source = std::string(source), .sections = {}, .errors = {}};
    ParseState state{.rest = text, .document = &document};
    // The handler gets the parser's own user pointer, the reader gets the stream: both are the same state.
    const int badLine = ini_parse_stream(readLine, &state, takeEntry, &state);
    if (badLine > 0) {
        document.errors.push_back({.kind = SettingErrorKind::Syntax,
                                   .source = document.source,
                                   .line = badLine,
                                   .allowed = "[section], key = value, or a comment after ;"});
    }
    addEmptySections(text, document);
    findDuplicateSections(document);
    return document;
}

}
