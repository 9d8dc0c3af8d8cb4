#include "core/config/address.h"

#include "core/text.h"

#include <limits>

namespace Laburnummast::Config
{

std::optional<Membership::Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = Text::parseInteger(text.substr(colon + 1));
    if (!port || *port < 0 || *port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    const auto ip = text.substr(0, colon);
    if (ip.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string_view::npos) {
        return std::nullopt;
    }
    return Membership::Address{.ip = std::string(ip), .port = static_cast<std::uint16_t>(*port)};
}

std::string toString(const Membership::Address &address)
{
    return Text::concat(address.ip, ":", address.port);
}

}
