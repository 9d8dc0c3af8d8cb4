#include "core/config/inidocument.h"

#include "core/text.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace Laburnummast::Config
{
namespace
{

// inih does not pass line numbers to its handler, so readLine counts them.
struct ParseState
{
    std::string_view remaining;
    int line = 0;
    IniDocument *document = nullptr;
};

char *readLine(char *buf, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    if (state.remaining.empty()) {
        return nullptr;
    }
    const auto end = state.remaining.find('\n');
    const auto length = end == std::string_view::npos ? state.remaining.size() : end + 1;
    const auto n = std::min(length, static_cast<std::size_t>(size - 1));
    std::memcpy(buf, state.remaining.data(), n);
    buf[n] = '\0';
    state.remaining.remove_prefix(length);
    ++state.line;
    return buf;
}

// Adds an entry to the section whose header precedes it most closely; collectSections has found the headers before.
// Returns 0, which inih reports as an error, if no header precedes the entry.
int appendEntry(void *user, const char * /*section*/, const char *key, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    auto &sections = state.document->sections;
    const auto isAbove = [&](const IniSection &it) { return it.line < state.line; };
    const auto it = std::find_if(sections.rbegin(), sections.rend(), isAbove);
    if (it == sections.rend()) {
        return 0;
    }
    it->entries.push_back({.key = key, .value = value == nullptr ? "" : value, .line = state.line});
    return 1;
}

void reportDuplicateSections(IniDocument &document)
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

// inih reports a section only with its first entry, so the headers are read here and each has its own line.
void collectSections(std::string_view text, IniDocument &document)
{
    int line = 0;
    while (!text.empty()) {
        ++line;
        const auto [first, rest] = Text::splitOnce(text, '\n');
        text = rest;
        const auto it = Text::trim(first);
        const auto close = it.find(']');
        if (it.starts_with('[') && close != std::string_view::npos) {
            document.sections.push_back({.name = std::string(it.substr(1, close - 1)), .line = line, .entries = {}});
        }
    }
}

}

IniDocument parseIni(std::string_view text, std::string_view source)
{
    IniDocument document{.source = std::string(source), .sections = {}, .errors = {}};
    collectSections(text, document);
    ParseState state{.remaining = text, .document = &document};
    // appendEntry receives the user pointer and readLine the stream pointer; both point to the same state.
    const int badLine = ini_parse_stream(readLine, &state, appendEntry, &state);
    if (badLine > 0) {
        document.errors.push_back({.kind = SettingErrorKind::Syntax,
                                   .source = document.source,
                                   .line = badLine,
                                   .allowed = "[section], key = value, or a comment after ;"});
    }
    reportDuplicateSections(document);
    return document;
}

}
