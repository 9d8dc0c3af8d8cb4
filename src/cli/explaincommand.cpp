#include "cli/command.h"
#include "cli/logtrail.h"

#include <iostream>
#include <string>
#include <vector>

namespace Laburnummast::Cli
{

ExitCode explainCall(Arguments arguments)
{
    std::vector<std::string> lines;
    for (std::string line; std::getline(std::cin, line);) {
        lines.push_back(line);
    }
    const auto trail = collectLogTrail(arguments[0], lines);
    if (trail.empty()) {
        std::cerr << "laburnummast: no log line names the call " << arguments[0] << "\n";
        return ExitCode::Refused;
    }
    for (const auto &it : trail) {
        std::cout << it << "\n";
    }
    return ExitCode::Ok;
}

}
