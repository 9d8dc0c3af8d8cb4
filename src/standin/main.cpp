// laburnummast-standin: stand-ins for the external systems, for demos and tests with real processes.

#include "process/signals.h"
#include "standin/standin.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <iostream>
#include <string_view>

namespace
{

struct Command
{
    std::string_view name;
    int (*run)();
};

constexpr std::array<Command, 4> commands{{
    {"log", Laburnummast::Standin::runLog},
    {"hosts", Laburnummast::Standin::runHosts},
    {"upstream", Laburnummast::Standin::runUpstream},
    {"caller", Laburnummast::Standin::runCaller},
}};

}

int main(int argc, char **argv)
{
    constexpr int exitUsage = 2;
    absl::SetProgramUsageMessage("laburnummast-standin log|hosts|upstream|caller [flags]");
    const auto args = absl::ParseCommandLine(argc, argv);
    Laburnummast::Process::blockSignals();
    const std::string_view name = args.size() > 1 ? args[1] : "";
    for (const auto &it : commands) {
        if (it.name == name) {
            return it.run();
        }
    }
    std::cerr << "laburnummast-standin: expected one of log, hosts, upstream, caller\n";
    return exitUsage;
}
