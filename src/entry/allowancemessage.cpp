#include "entry/allowancemessage.h"

#include "core/boundedarchive.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cmath>
#include <sstream>

namespace Laburnummast::Entry
{
namespace
{

using Limits::AllowanceAnswer;
using Limits::AllowanceVerdict;

constexpr std::uint8_t messageFormat = 1;

enum class MessageKind : std::uint8_t {
    Request,
    Answer,
};

// A home with a rate of one call in an hour has a longer time, but a daemon asks again much earlier anyway.
constexpr Millis maxRetryAfter = 3600_s;

template <class Archive, class Request>
void archiveRequest(Archive &archive, Request &message)
{
    auto &it = message.request;
    archive(message.host, it.workspace, it.number, it.wanted, it.usesOwnShare, it.isLast);
}

template <class Archive, class Answer>
void archiveAnswer(Archive &archive, Answer &answer)
{
    archive(answer.workspace, answer.number, answer.verdict, answer.tokens, answer.retryAfter);
}

bool isValid(const AllowanceAnswer &answer)
{
    return answer.verdict <= AllowanceVerdict::NotServing && std::isfinite(answer.retryAfter.count) && answer.retryAfter >= 0_ms
        && answer.retryAfter <= maxRetryAfter;
}

}

std::string encodeAllowanceMessage(const AllowanceMessage &message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(messageFormat);
    std::visit(Overloaded{[&](const AllowanceRequestMessage &it) {
                              archive(MessageKind::Request);
                              archiveRequest(archive, it);
                          },
                          [&](AllowanceAnswer it) {
                              it.retryAfter = std::min(it.retryAfter, maxRetryAfter);
                              archive(MessageKind::Answer);
                              archiveAnswer(archive, it);
                          }},
               message);
    return stream.str();
}

Result<AllowanceMessage, AllowanceMessageError> decodeAllowanceMessage(std::string_view bytes)
{
    if (bytes.size() > maxAllowanceMessageBytes) {
        return AllowanceMessageError::TooLong;
    }
    // The archive reports truncated bytes and lengths beyond their end only by exceptions.
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t format = 0;
        MessageKind kind{};
        archive(format);
        if (format != messageFormat) {
            return AllowanceMessageError::UnsupportedFormat;
        }
        archive(kind);
        if (kind == MessageKind::Request) {
            AllowanceRequestMessage message;
            archiveRequest(archive, message);
            return AllowanceMessage(std::move(message));
        }
        AllowanceAnswer answer;
        if (kind == MessageKind::Answer) {
            archiveAnswer(archive, answer);
        }
        if (kind != MessageKind::Answer || !isValid(answer)) {
            return AllowanceMessageError::Malformed;
        }
        return AllowanceMessage(std::move(answer));
    } catch (const std::exception &) {
        return AllowanceMessageError::Malformed;
    }
}

}
