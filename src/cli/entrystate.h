#ifndef LABURNUMMAST_CLI_ENTRYSTATE_H
#define LABURNUMMAST_CLI_ENTRYSTATE_H

#include <nlohmann/json.hpp>
#include <string_view>

namespace Laburnummast::Cli
{

/// Converts the state page of an entry daemon to a JSON object.
///
/// A line of two words becomes a member: the first word is its key, the second its value. A line with more words, such as the
/// "topic", "service" and "upstream" lines, becomes an object in the list under its first word; the second word is the object's
/// name, and each KEY=VALUE word one of its members. All values are strings.
nlohmann::json entryStateAsJson(std::string_view page);

}

#endif
