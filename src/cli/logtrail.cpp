#include "cli/logtrail.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <set>

namespace Laburnummast::Cli
{
namespace
{

// Lines of a daemon's beliefs that may explain a call; the last one of each kind before the call is shown.
constexpr std::array<std::string_view, 9> beliefs{
    "started", "draining", "reloaded", "routes-in-force", "store-away", "store-back", "store-read-failed", "lines-left-out", "member"};

bool isBelief(const LogLine &line)
{
    return std::find(beliefs.begin(), beliefs.end(), line.event) != beliefs.end();
}

bool isOfUpstream(const LogLine &line)
{
    return line.event == "upstream" || line.event == "upstream-removed" || line.event == "upstream-unreadable";
}

}

std::optional<std::string> fieldOf(std::string_view line, std::string_view key)
{
    const auto marker = Text::concat(" ", key, "=");
    const auto at = line.find(marker);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    auto value = line.substr(at + marker.size());
    if (value.starts_with('"')) {
        value.remove_prefix(1);
        return std::string(value.substr(0, value.find('"')));
    }
    return std::string(value.substr(0, value.find(' ')));
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    // A collector may have put its own words before the line.
    const auto start = line.find("time=");
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = Text::concat(" ", line.substr(start));
    const auto time = fieldOf(text, "time");
    const auto process = fieldOf(text, "process");
    const auto event = fieldOf(text, "event");
    if (!time || !process || !event) {
        return std::nullopt;
    }
    return LogLine{.time = *time, .process = *process, .event = *event, .text = text.substr(1)};
}

std::vector<std::string> trailOf(std::string_view callId, std::span<const std::string> lines)
{
    std::vector<LogLine> parsed;
    for (const auto &it : lines) {
        if (auto line = parseLogLine(it)) {
            parsed.push_back(std::move(*line));
        }
    }
    std::stable_sort(parsed.begin(), parsed.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    const auto isOwn = [&](const LogLine &it) { return fieldOf(it.text, "id") == callId; };
    std::set<std::string> processes;
    std::set<std::string> upstreams;
    std::string last;
    for (const auto &it : parsed) {
        if (isOwn(it)) {
            processes.insert(it.process);
            upstreams.insert(fieldOf(it.text, "upstream").value_or(""));
            last = it.time;
        }
    }
    std::set<std::pair<std::string, std::string>> shown;
    std::vector<std::string> trail;
    for (auto it = parsed.rbegin(); it != parsed.rend(); ++it) {
        const bool before = it->time <= last && processes.contains(it->process);
        const bool belief = before && isBelief(*it) && shown.insert({it->process, it->event}).second;
        const auto upstream = fieldOf(it->text, "upstream").value_or("");
        const bool ofUpstream = before && isOfUpstream(*it) && upstreams.contains(upstream) && shown.insert({it->process, upstream}).second;
        if (isOwn(*it) || belief || ofUpstream) {
            trail.push_back(it->text);
        }
    }
    std::reverse(trail.begin(), trail.end());
    return trail;
}

}
