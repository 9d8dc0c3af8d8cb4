#ifndef LABURNUMMAST_CLI_COMMAND_H
#define LABURNUMMAST_CLI_COMMAND_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Cli
{

/// Exit code of the program.
enum class ExitCode : int {
    Ok = 0,
    /// The answer is negative: a note was rejected, a configuration has errors, the usage records have faults, or no log line names the
    /// call.
    Refused = 1,
    /// The command line, a file or a note is invalid.
    Usage = 2,
    /// A daemon or the log could not be reached, a daemon gave no verdict, or a note was not in force everywhere in time.
    Unreachable = 3,
    /// The operator's credential is missing or was rejected.
    Denied = 4,
    /// check-routes: the configuration has warnings, but no errors.
    Warnings = 5,
};

/// Positional arguments that follow the command's name.
using Arguments = std::span<const std::string>;

/// A subcommand of the program.
struct Command
{
    std::string_view name;
    /// Syntax of the positional arguments, as shown in the help.
    std::string_view synopsis;
    /// One-line summary, as shown in the help.
    std::string_view description;
    /// Required number of positional arguments; the largest value accepts any number.
    std::size_t argumentCount = 0;
    ExitCode (*run)(Arguments);
};

/// Checks the syntax of a release note without contacting a daemon.
ExitCode checkNote(Arguments arguments);
/// Checks the file of a configuration record without contacting a daemon.
ExitCode checkRoutes(Arguments arguments);
/// Writes the note that turns the configuration in force into the declared one.
ExitCode planNote(Arguments arguments);
/// Publishes a note and waits until it is in force on every live daemon.
ExitCode publishNote(Arguments arguments);
/// Lists the published notes with their verdicts.
ExitCode listNotes(Arguments arguments);
/// Lists the services in force.
ExitCode listServices(Arguments arguments);
/// Lists the state and the configuration offset and hash of every daemon.
ExitCode showStatus(Arguments arguments);
/// Prints the state dump of one daemon.
ExitCode showState(Arguments arguments);
/// Prints the state page of an entry daemon.
ExitCode showEntryState(Arguments arguments);
/// Asks one daemon to drain; does not wait until it has exited.
ExitCode drainHost(Arguments arguments);
/// Prints usage by owner, partner and service: live totals, usage by day, or the result of verifying the usage records in the log.
ExitCode showUsage(Arguments arguments);
/// Prints the log lines that explain the outcome of one call.
ExitCode explainCall(Arguments arguments);

}

#endif
