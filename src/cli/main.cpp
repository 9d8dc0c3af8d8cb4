// laburnummast: command-line tool for operators.

#include "cli/command.h"

#include "core/text.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <iostream>

namespace Laburnummast::Cli
{
namespace
{

constexpr std::size_t anyArgumentCount = static_cast<std::size_t>(-1);

constexpr std::array<Command, 12> commandTable{{
    {"check", "NOTE", "checks the syntax of a release note without contacting a daemon", 1, checkNote},
    {"check-routes",
     "FILE",
     "checks a configuration record before it is sent, and compares it with the one in force (--in_force, --format)",
     1,
     checkRoutes},
    {"plan",
     "DECLARATIONS",
     "writes the note that turns the configuration in force into the declared one (--daemon, --id, --author)",
     1,
     planNote},
    {"publish",
     "NOTE",
     "publishes a note and waits until it is in force on every live daemon (--daemon, --key_file, --wait_s)",
     1,
     publishNote},
    {"notes", "", "lists the published notes with their verdicts (--daemon)", 0, listNotes},
    {"services", "", "lists the services in force (--daemon)", 0, listServices},
    {"status", "", "shows the state and the configuration offset and hash of every daemon (--daemon)", 0, showStatus},
    {"state", "HOST", "prints the state of one daemon as JSON (--daemon)", 1, showState},
    {"entry", "", "shows the state of a daemon that runs on the platform (--daemon: its metrics address)", 0, showEntryState},
    {"drain", "HOST", "drains a daemon, which then exits (--daemon, --key_file)", 1, drainHost},
    {"usage",
     "[live|report|verify]",
     "shows usage by owner: live from the daemons (--daemon), or by day or verified from the log (--log)",
     anyArgumentCount,
     showUsage},
    {"explain", "ID", "reads daemon logs from standard input and shows the lines that explain the outcome of one call", 1, explainCall},
}};

std::string usageText()
{
    std::string text = "laburnummast COMMAND [ARGUMENT] [flags]\n\ncommands:\n";
    for (const auto &it : commandTable) {
        Text::append(text, absl::StrFormat("  %-12s %-21s %s\n", it.name, it.synopsis, it.description));
    }
    Text::append(text,
                 "\nflags: --daemon=IP:PORT --log=IP:PORT --key_file=FILE --format=text|json\n"
                 "exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 denied, 5 warnings\n");
    return text;
}

const Command *findCommand(std::string_view name)
{
    const auto hasName = [&](const Command &it) { return it.name == name; };
    const auto *it = std::find_if(commandTable.begin(), commandTable.end(), hasName);
    return it == commandTable.end() ? nullptr : it;
}

// Handles help requests before the flag library does: its own help lists the flags of every linked file, while operators
// need the help of the command they named. Returns whether help was printed.
bool printHelpIfRequested(std::span<char *const> args)
{
    const auto isHelpRequest = [](std::string_view it) { return it == "--help" || it == "-h" || it == "help"; };
    if (std::none_of(args.begin() + 1, args.end(), isHelpRequest)) {
        return false;
    }
    for (const std::string_view it : args.subspan(1)) {
        if (const auto *command = findCommand(it)) {
            std::cout << "laburnummast " << command->name << " " << command->synopsis << "\n  " << command->description << "\n";
            return true;
        }
    }
    std::cout << usageText();
    return true;
}

ExitCode run(const std::vector<char *> &args)
{
    const auto *command = args.size() > 1 ? findCommand(args[1]) : nullptr;
    const std::vector<std::string> arguments(args.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(args.size())),
                                             args.end());
    if (command == nullptr) {
        std::cerr << usageText();
        return ExitCode::Usage;
    }
    if (command->argumentCount != anyArgumentCount && command->argumentCount != arguments.size()) {
        std::cerr << "laburnummast " << command->name << " " << command->synopsis << "\n";
        return ExitCode::Usage;
    }
    return command->run(arguments);
}

}

}

int main(int argc, char **argv)
{
    if (Laburnummast::Cli::printHelpIfRequested({argv, static_cast<std::size_t>(argc)})) {
        return 0;
    }
    absl::SetProgramUsageMessage("laburnummast COMMAND [ARGUMENT] [flags]");
    return static_cast<int>(Laburnummast::Cli::run(absl::ParseCommandLine(argc, argv)));
}
