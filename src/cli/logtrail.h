#ifndef LABURNUMMAST_CLI_LOGTRAIL_H
#define LABURNUMMAST_CLI_LOGTRAIL_H

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// A parsed line of a daemon's log.
struct LogLine
{
    /// Time stamp as written; its format sorts chronologically as text.
    std::string time;
    /// Name of the process that wrote the line.
    std::string process;
    /// Name of the logged event.
    std::string event;
    /// The line from its time field on.
    std::string text;
};

/// Value of the first KEY=VALUE field with this key, without its quotes; nothing if there is none.
///
/// A field is only found after a space, so not at the start of the line.
std::optional<std::string> fieldOf(std::string_view line, std::string_view key);
/// Parses one line; nothing if it is not a line of a daemon's log.
std::optional<LogLine> parseLogLine(std::string_view line);

/// Collects the log lines that explain the outcome of a call, sorted by time: the lines that name the call, and the last changes
/// to its daemons and upstreams before it ended. Empty if no line names the call.
std::vector<std::string> collectLogTrail(std::string_view callId, std::span<const std::string> lines);

}

#endif
