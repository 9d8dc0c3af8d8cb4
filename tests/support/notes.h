#ifndef LABURNUMMAST_TESTS_SUPPORT_NOTES_H
#define LABURNUMMAST_TESTS_SUPPORT_NOTES_H

#include "core/config/configstate.h"

#include <string>
#include <variant>

namespace Laburnummast::Tests
{

/// Builds the text of a note: the header and then the given sections.
inline std::string noteText(const std::string &id, const std::string &sections)
{
    return "[note]\nformat = 1\nid = " + id + "\n\n" + sections;
}

/// Section that adds an owner.
inline std::string addOwner(const std::string &name, int weight = 1)
{
    return "[added owner " + name + "]\nweight = " + std::to_string(weight) + "\n";
}

/// Section that changes an owner whose revision must be `base`.
inline std::string changeOwner(const std::string &name, Config::Offset base, int weight)
{
    return "[changed owner " + name + "]\nbase = " + std::to_string(base) + "\nweight = " + std::to_string(weight) + "\n";
}

/// Section that withdraws an owner whose revision must be `base`.
inline std::string withdrawOwner(const std::string &name, Config::Offset base)
{
    return "[withdrawn owner " + name + "]\nbase = " + std::to_string(base) + "\n";
}

/// Section that adds a service.
inline std::string addService(const std::string &name, const std::string &owner)
{
    return "[added service " + name + "]\nowner = " + owner + "\n";
}

/// Whether the note was accepted.
inline bool accepted(const Config::Verdict &verdict)
{
    return std::holds_alternative<Config::Accepted>(verdict);
}

/// First reason for the rejection of a note; throws if the verdict is no rejection.
inline Config::RejectionKind reasonOf(const Config::Verdict &verdict)
{
    return std::get<Config::Rejected>(verdict).reasons.at(0).kind;
}

}

#endif
