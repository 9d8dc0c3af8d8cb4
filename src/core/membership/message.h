#ifndef LABURNUMMAST_CORE_MEMBERSHIP_MESSAGE_H
#define LABURNUMMAST_CORE_MEMBERSHIP_MESSAGE_H

#include "core/membership/member.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Membership
{

enum class MessageKind : std::uint8_t {
    Ping,
    Ack,
    /// Asks the receiver to ping `target` and to pass its answer on.
    PingRequest,
    /// Tells news without asking for an answer.
    Gossip,
};

/// One datagram between members.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    std::uint64_t sequence = 0;
    Address target;
    Member sender;
    std::vector<Member> updates;
};

/// Largest datagram that is sent or read, in bytes.
constexpr std::size_t maxDatagramBytes = 1400;
constexpr std::size_t maxUpdates = 16;

enum class MessageError : std::uint8_t {
    TooLong,
    Forged,
    FutureFormat,
    Malformed,
};

constexpr std::size_t messageErrorCount = 4;

std::string_view nameOf(MessageError error);

/// Bytes of a message, its keyed hash last; updates that do not fit are left out.
std::string encode(const Message &message, std::string_view key);

Result<Message, MessageError> decode(std::string_view bytes, std::string_view key);

}

#endif
