#ifndef LABURNUMMAST_CLI_COMMAND_H
#define LABURNUMMAST_CLI_COMMAND_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// What the program ends with.
enum class ExitCode : int {
    Ok = 0,
    /// The answer is no: a note was rejected, a check failed.
    Refused = 1,
    /// The command line, a file or a note is wrong.
    Usage = 2,
    /// A daemon or the log could not be reached, or gave no verdict in time.
    Unreachable = 3,
    /// The credential is missing or wrong.
    Denied = 4,
};

using Arguments = std::span<const std::string>;

/// One subcommand.
struct Command
{
    std::string_view name;
    std::string_view synopsis;
    std::string_view description;
    std::size_t argumentCount = 0;
    ExitCode (*run)(Arguments);
};

ExitCode checkNote(Arguments arguments);
ExitCode planNote(Arguments arguments);
ExitCode publishNote(Arguments arguments);
ExitCode listNotes(Arguments arguments);
ExitCode listServices(Arguments arguments);
ExitCode showStatus(Arguments arguments);
ExitCode showState(Arguments arguments);
ExitCode showEntryState(Arguments arguments);
ExitCode drainHost(Arguments arguments);
ExitCode reportUsage(Arguments arguments);
ExitCode explainCall(Arguments arguments);

}

#endif
