#include "core/config/inidocument.h"

#include "core/text.h"

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

// The sections are known by then; an entry belongs to the last header above it.
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

// The library tells of a section only with its first entry; headers are read here, so that each has its own line.
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
    // The handler gets the parser's own user pointer, the reader gets the stream: both are the same state.
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
