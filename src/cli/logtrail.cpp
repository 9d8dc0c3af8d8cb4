#include "cli/logtrail.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <set>

namespace Laburnummast::Cli
{
namespace
{

// Events that may explain the outcome of a call although they do not name it. For each process that handled the call, the last
// line of each of these events before the end of the call is shown.
constexpr std::array<std::string_view, 10> contextEvents{"started",
                                                         "draining",
                                                         "reloaded",
                                                         "routes-in-force",
                                                         "store-away",
                                                         "store-back",
                                                         "store-read-failed",
                                                         "lines-left-out",
                                                         "member",
                                                         "members-known"};

bool isContextEvent(const LogLine &line)
{
    return std::find(contextEvents.begin(), contextEvents.end(), line.event) != contextEvents.end();
}

bool isUpstreamEvent(const LogLine &line)
{
    return line.event == "upstream" || line.event == "upstream-removed" || line.event == "upstream-unreadable";
}

// Events that tell why an upstream gets fewer calls of the daemon, or none.
bool isRestrictionEvent(const LogLine &line)
{
    return line.event == "upstream-limit" || line.event == "upstream-leaving" || line.event == "upstream-paused";
}

}

std::optional<std::string> fieldOf(std::string_view line, std::string_view key)
{
    const auto prefix = Text::concat(" ", key, "=");
    const auto position = line.find(prefix);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    auto value = line.substr(position + prefix.size());
    if (value.starts_with('"')) {
        value.remove_prefix(1);
        return std::string(value.substr(0, value.find('"')));
    }
    return std::string(value.substr(0, value.find(' ')));
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    // A log collector may have prepended its own text to the line.
    const auto begin = line.find("time=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = Text::concat(" ", line.substr(begin));
    const auto time = fieldOf(text, "time");
    const auto process = fieldOf(text, "process");
    const auto event = fieldOf(text, "event");
    if (!time || !process || !event) {
        return std::nullopt;
    }
    return LogLine{.time = *time, .process = *process, .event = *event, .text = text.substr(1)};
}

std::vector<std::string> collectLogTrail(std::string_view callId, std::span<const std::string> lines)
{
    std::vector<LogLine> parsed;
    for (const auto &it : lines) {
        if (auto line = parseLogLine(it)) {
            parsed.push_back(std::move(*line));
        }
    }
    std::stable_sort(parsed.begin(), parsed.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    const auto namesCall = [&](const LogLine &it) { return fieldOf(it.text, "id") == callId; };
    std::set<std::string> processes;
    std::set<std::string> upstreams;
    std::set<std::string> refusingServices;
    std::string lastTime;
    for (const auto &it : parsed) {
        if (namesCall(it)) {
            processes.insert(it.process);
            upstreams.insert(fieldOf(it.text, "upstream").value_or(""));
            if (fieldOf(it.text, "end") == "not-run") {
                refusingServices.insert(fieldOf(it.text, "service").value_or(""));
            }
            lastTime = it.time;
        }
    }
    std::set<std::pair<std::string, std::string>> shown;
    std::vector<std::string> trail;
    // Walks backwards, so that the first line met for each event and each upstream is the last one before the end of the call.
    for (auto it = parsed.rbegin(); it != parsed.rend(); ++it) {
        const bool precedesEnd = it->time <= lastTime && processes.contains(it->process);
        const bool isContext = precedesEnd && isContextEvent(*it) && shown.insert({it->process, it->event}).second;
        const auto upstream = fieldOf(it->text, "upstream").value_or("");
        const bool isUpstreamContext
            = precedesEnd && isUpstreamEvent(*it) && upstreams.contains(upstream) && shown.insert({it->process, upstream}).second;
        // A refusal depends on the limits and the availability of all upstreams of the service, another end only on those of the call's
        // own upstream.
        const bool concernsCall = upstreams.contains(upstream) || refusingServices.contains(fieldOf(it->text, "service").value_or(""));
        const bool isRestrictionContext = precedesEnd && isRestrictionEvent(*it) && concernsCall
            && shown.insert({it->process, Text::concat(it->event, " of ", upstream)}).second;
        if (namesCall(*it) || isContext || isUpstreamContext || isRestrictionContext) {
            trail.push_back(it->text);
        }
    }
    std::reverse(trail.begin(), trail.end());
    return trail;
}

}
