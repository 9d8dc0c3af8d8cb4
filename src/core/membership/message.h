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

/// Purpose of a message.
enum class MessageKind : std::uint8_t {
    /// Requests an Ack with the same sequence number.
    Ping,
    Ack,
    /// Asks the receiver to ping `target` and to relay its Ack.
    PingRequest,
    /// Carries updates and requests no answer.
    Gossip,
};

/// One datagram between members.
struct Message
{
    MessageKind kind = MessageKind::Ping;
    /// Matches an Ack to its Ping or PingRequest; 0 for Gossip.
    std::uint64_t sequence = 0;
    /// Set only for PingRequest.
    Address target;
    Member sender;
    /// Piggybacked states of other members.
    std::vector<Member> updates;
};

/// Size limit of a datagram, in bytes, when sending and receiving.
constexpr std::size_t maxDatagramBytes = 1400;
/// Number of updates that one message can carry.
constexpr std::size_t maxUpdates = 16;

/// Why a datagram was rejected.
enum class MessageError : std::uint8_t {
    TooLong,
    /// The keyed hash does not match.
    Forged,
    /// The format version is not supported.
    FutureFormat,
    Malformed,
};

constexpr std::size_t messageErrorCount = 4;

/// Name of the error as used in logs and metrics.
std::string_view nameOf(MessageError error);

/// Serializes a message and appends its keyed hash; trailing updates that exceed maxUpdates or maxDatagramBytes are dropped.
std::string encode(const Message &message, std::string_view key);

/// Verifies and parses a datagram; updates beyond maxUpdates are dropped.
Result<Message, MessageError> decode(std::string_view bytes, std::string_view key);

}

#endif
