#ifndef LABURNUMMAST_TESTS_SUPPORT_NOTES_H
#define LABURNUMMAST_TESTS_SUPPORT_NOTES_H

#include "core/config/configstate.h"

#include <string>
#include <variant>

namespace Laburnummast::Tests
{

/// Text of a note with the given sections after its header.
inline std::string noteText(const std::string &id, const std::string &sections)
{
    return "[note]\nformat = 1\nid = " + id + "\n\n" + sections;
}

inline std::string addOwner(const std::string &name, int weight = 1)
{
    return "[added owner " + name + "]\nweight = " + std::to_string(weight) + "\n";
}

inline std::string changeOwner(const std::string &name, Config::Offset base, int weight)
{
    return "[changed owner " + name + "]\nbase = " + std::to_string(base) + "\nweight = " + std::to_string(weight) + "\n";
}

inline std::string withdrawOwner(const std::string &name, Config::Offset base)
{
    return "[withdrawn owner " + name + "]\nbase = " + std::to_string(base) + "\n";
}

inline std::string addService(const std::string &name, const std::string &owner)
{
    return "[added service " + name + "]\nowner = " + owner + "\n";
}

inline bool accepted(const Config::Verdict &verdict)
{
    return std::holds_alternative<Config::Accepted>(verdict);
}

/// The only reason of a rejection.
inline Config::RejectionKind reasonOf(const Config::Verdict &verdict)
{
    return std::get<Config::Rejected>(verdict).reasons.at(0).kind;
}

}

#endif
