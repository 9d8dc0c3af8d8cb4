#include "cli/entrystate.h"

#include <sstream>
#include <string>

namespace Laburnummast::Cli
{

nlohmann::json entryStateAsJson(std::string_view page)
{
    auto state = nlohmann::json::object();
    std::istringstream lines{std::string(page)};
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string key;
        std::string nameOrValue;
        words >> key >> nameOrValue;
        std::string field;
        if (!(words >> field)) {
            state[key] = nameOrValue;
            continue;
        }
        nlohmann::json entry{{"name", nameOrValue}};
        do {
            const auto separator = field.find('=');
            if (separator != std::string::npos) {
                entry[field.substr(0, separator)] = field.substr(separator + 1);
            }
        } while (words >> field);
        state[key].push_back(entry);
    }
    return state;
}

}
