#include "net/peermessage.h"

#include "core/boundedarchive.h"
#include "core/keyedhash.h"
#include "core/text.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace Laburnummast::Net
{
namespace
{

constexpr std::uint8_t frameFormat = 1;
constexpr int bitsPerByte = 8;

std::string frameHash(std::string_view key, std::string_view nonce, Direction direction, std::string_view body)
{
    return keyedHash(key, Text::concat(nonce, std::string(1, static_cast<char>(direction)), body));
}

template <class T>
std::string encodeAs(const T &value, std::string_view key, std::string_view nonce, Direction direction)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(frameFormat, value);
    const auto body = stream.str();
    const auto length = static_cast<std::uint32_t>(body.size() + keyedHashBytes);
    std::string frame;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        frame.push_back(static_cast<char>((length >> (bitsPerByte * i)) & 0xff));
    }
    return Text::concat(frame, body, frameHash(key, nonce, direction, body));
}

template <class T>
Result<T, PeerError> decodeAs(std::string_view payload, std::string_view key, std::string_view nonce, Direction direction)
{
    if (payload.size() < keyedHashBytes) {
        return PeerError::Malformed;
    }
    const auto body = payload.substr(0, payload.size() - keyedHashBytes);
    if (!equalInConstantTime(frameHash(key, nonce, direction, body), payload.substr(body.size()))) {
        return PeerError::Forged;
    }
    try {
        BoundedInputArchive archive(body);
        std::uint8_t format = 0;
        archive(format);
        if (format != frameFormat) {
            return PeerError::Malformed;
        }
        T value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return PeerError::Malformed;
    }
}

}

std::string_view nameOf(PeerError error)
{
    switch (error) {
    case PeerError::CannotConnect:
        return "cannot-connect";
    case PeerError::TimedOut:
        return "timed-out";
    case PeerError::Forged:
        return "forged";
    case PeerError::Malformed:
        return "malformed";
    case PeerError::TooLong:
        return "too-long";
    }
    return "unknown";
}

KeyReply toReply(const Idempotency::KeyVerdict &verdict)
{
    return std::visit(
        Overloaded{
            [](const Idempotency::Execute &) { return KeyReply{.kind = KeyReplyKind::Execute}; },
            [](const Idempotency::InFlight &) { return KeyReply{.kind = KeyReplyKind::InFlight}; },
            [](const Idempotency::Answered &it) { return KeyReply{.kind = KeyReplyKind::Answered, .member = {}, .answer = *it.answer}; },
            [](const Idempotency::ClaimedBy &it) { return KeyReply{.kind = KeyReplyKind::ClaimedBy, .member = it.member}; },
            [](const Idempotency::OutcomeUnknown &) { return KeyReply{.kind = KeyReplyKind::OutcomeUnknown}; }},
        verdict);
}

Idempotency::KeyVerdict toVerdict(const KeyReply &reply)
{
    switch (reply.kind) {
    case KeyReplyKind::Execute:
        return Idempotency::Execute{};
    case KeyReplyKind::InFlight:
        return Idempotency::InFlight{};
    case KeyReplyKind::Answered:
        return Idempotency::Answered{.answer = std::make_shared<const Idempotency::StoredAnswer>(reply.answer)};
    case KeyReplyKind::ClaimedBy:
        return Idempotency::ClaimedBy{.member = reply.member};
    case KeyReplyKind::OutcomeUnknown:
        break;
    }
    return Idempotency::OutcomeUnknown{};
}

std::string encodeFrame(const PeerRequest &request, std::string_view key, std::string_view nonce)
{
    return encodeAs(request, key, nonce, Direction::Request);
}

std::string encodeFrame(const PeerReply &reply, std::string_view key, std::string_view nonce)
{
    return encodeAs(reply, key, nonce, Direction::Reply);
}

Result<PeerRequest, PeerError> decodeRequest(std::string_view payload, std::string_view key, std::string_view nonce)
{
    return decodeAs<PeerRequest>(payload, key, nonce, Direction::Request);
}

Result<PeerReply, PeerError> decodeReply(std::string_view payload, std::string_view key, std::string_view nonce)
{
    return decodeAs<PeerReply>(payload, key, nonce, Direction::Reply);
}

std::uint32_t frameLength(std::string_view header)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(header[i])) << (bitsPerByte * i);
    }
    return length;
}

}
