#ifndef LABURNUMMAST_ENTRY_ALLOWANCEMESSAGE_H
#define LABURNUMMAST_ENTRY_ALLOWANCEMESSAGE_H

#include "core/limits/allowance.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Laburnummast::Entry
{

/// Request to the home of a workspace, with the host of the daemon that sends it.
struct AllowanceRequestMessage
{
    std::string host;
    Limits::AllowanceRequest request;
};

using AllowanceMessage = std::variant<AllowanceRequestMessage, Limits::AllowanceAnswer>;

/// Why a datagram is no message about allowances.
enum class AllowanceMessageError : std::uint8_t {
    TooLong,
    Malformed,
    UnsupportedFormat,
};

/// Largest message that is read, in bytes; one that would be longer, because of the workspace's name, is not sent.
constexpr std::size_t maxAllowanceMessageBytes = 1400;

std::string encodeAllowanceMessage(const AllowanceMessage &message);
/// Decodes a message; ignores fields that a newer daemon appended.
Result<AllowanceMessage, AllowanceMessageError> decodeAllowanceMessage(std::string_view bytes);

}

#endif
