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
        std::string name;
        words >> key >> name;
        std::string field;
        if (!(words >> field)) {
            state[key] = name;
            continue;
        }
        nlohmann::json entry{{"name", name}};
        do {
            const auto split = field.find('=');
            if (split != std::string::npos) {
                entry[field.substr(0, split)] = field.substr(split + 1);
            }
        } while (words >> field);
        state[key].push_back(entry);
    }
    return state;
}

}
