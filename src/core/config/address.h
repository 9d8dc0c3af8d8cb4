#ifndef LABURNUMMAST_CORE_CONFIG_ADDRESS_H
#define LABURNUMMAST_CORE_CONFIG_ADDRESS_H

#include "core/membership/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Config
{

/// Parses `IP:PORT`; empty if the text has another form. Of the IP only the characters are checked.
std::optional<Membership::Address> parseAddress(std::string_view text);

/// Formats an address as `IP:PORT`.
std::string toString(const Membership::Address &address);

}

#endif
