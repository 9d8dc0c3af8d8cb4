#include "core/membership/message.h"

#include "core/boundedarchive.h"
#include "core/keyedhash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace Laburnummast::Membership
{
namespace
{

constexpr std::uint8_t messageFormat = 1;

std::string encodeBody(const Message &message, std::size_t updates)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(messageFormat, message.kind, message.sequence, message.target, message.sender);
    archive(static_cast<std::uint8_t>(updates));
    for (std::size_t i = 0; i < updates; ++i) {
        archive(message.updates[i]);
    }
    return stream.str();
}

bool isValid(const Member &member)
{
    return member.state <= MemberState::Left && !member.info.host.empty();
}

bool isValid(const Message &message)
{
    const auto &updates = message.updates;
    return message.kind <= MessageKind::Gossip && isValid(message.sender)
        && std::all_of(updates.begin(), updates.end(), [](const Member &it) { return isValid(it); });
}

}

std::string_view nameOf(MessageError error)
{
    switch (error) {
    case MessageError::TooLong:
        return "too-long";
    case MessageError::Forged:
        return "forged";
    case MessageError::FutureFormat:
        return "future-format";
    case MessageError::Malformed:
        return "malformed";
    }
    return "unknown";
}

std::string encode(const Message &message, std::string_view key)
{
    auto updates = std::min(message.updates.size(), maxUpdates);
    auto body = encodeBody(message, updates);
    while (body.size() + keyedHashBytes > maxDatagramBytes && updates > 0) {
        body = encodeBody(message, --updates);
    }
    return body + keyedHash(key, body);
}

Result<Message, MessageError> decode(std::string_view bytes, std::string_view key)
{
    if (bytes.size() > maxDatagramBytes) {
        return MessageError::TooLong;
    }
    if (bytes.size() < keyedHashBytes) {
        return MessageError::Malformed;
    }
    const auto body = bytes.substr(0, bytes.size() - keyedHashBytes);
    if (!equalInConstantTime(keyedHash(key, body), bytes.substr(body.size()))) {
        return MessageError::Forged;
    }
    try {
        BoundedInputArchive archive(body);
        std::uint8_t format = 0;
        archive(format);
        if (format != messageFormat) {
            return MessageError::FutureFormat;
        }
        Message message;
        std::uint8_t updates = 0;
        archive(message.kind, message.sequence, message.target, message.sender, updates);
        message.updates.resize(std::min<std::size_t>(updates, maxUpdates));
        for (auto &it : message.updates) {
            archive(it);
        }
        if (!isValid(message)) {
            return MessageError::Malformed;
        }
        return message;
    } catch (const std::exception &) {
        return MessageError::Malformed;
    }
}

}
