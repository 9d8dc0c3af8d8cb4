#ifndef LABURNUMMAST_CLI_ENTRYSTATE_H
#define LABURNUMMAST_CLI_ENTRYSTATE_H

#include <nlohmann/json.hpp>
#include <string_view>

namespace Laburnummast::Cli
{

/// The state page of an entry daemon as JSON.
///
/// Each line is a word and its value; "topic", "service" and "upstream" lines become lists of objects, one field a KEY=VALUE.
nlohmann::json entryStateAsJson(std::string_view page);

}

#endif
