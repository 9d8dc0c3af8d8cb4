#ifndef LABURNUMMAST_CLI_LOGTRAIL_H
#define LABURNUMMAST_CLI_LOGTRAIL_H

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// One line of a daemon's log.
struct LogLine
{
    std::string time;
    std::string process;
    std::string event;
    std::string text;
};

/// Value of a key in a log line; nothing if it is not there.
std::optional<std::string> fieldOf(std::string_view line, std::string_view key);
/// Nothing if the line is not one of a daemon's log.
std::optional<LogLine> parseLogLine(std::string_view line);

/// What led to the end of one call: its own lines, and what its daemon and its upstreams went through shortly before.
std::vector<std::string> collectLogTrail(std::string_view callId, std::span<const std::string> lines);

}

#endif
