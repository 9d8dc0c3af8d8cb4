#include "core/membership/message.h"
#include "membership/fakenetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Membership;

namespace
{

const std::string key = "secret";

Message someMessage(std::size_t updates)
{
    Message message{.kind = MessageKind::Ack,
                    .sequence = 9,
                    .target = {"10.0.0.9", 1},
                    .sender = {.info = Tests::FakeNetwork::infoOf(1), .incarnation = 5},
                    .updates = {}};
    for (std::size_t i = 0; i < updates; ++i) {
        message.updates.push_back({.info = Tests::FakeNetwork::infoOf(static_cast<int>(i)), .incarnation = i});
    }
    return message;
}

}

TEST_CASE("A decoded datagram equals the encoded message")
{
    const auto read = decode(encode(someMessage(4), key), key);
    REQUIRE(std::holds_alternative<Message>(read));
    const auto &message = std::get<Message>(read);
    CHECK(message.kind == MessageKind::Ack);
    CHECK(message.sequence == 9);
    CHECK(message.sender.info.host == "host-1");
    CHECK(message.updates.size() == 4);
}

TEST_CASE("A message with too many updates is encoded within the size limit")
{
    const auto bytes = encode(someMessage(100), key);
    CHECK(bytes.size() <= maxDatagramBytes);
    CHECK(std::holds_alternative<Message>(decode(bytes, key)));
}

TEST_CASE("A datagram with another key or a flipped bit is rejected as forged")
{
    auto bytes = encode(someMessage(2), key);
    CHECK(std::get<MessageError>(decode(bytes, "other")) == MessageError::Forged);
    bytes[10] = static_cast<char>(bytes[10] ^ 1);
    CHECK(std::get<MessageError>(decode(bytes, key)) == MessageError::Forged);
}

TEST_CASE("Random bytes are rejected")
{
    rc::check([](const std::string &bytes) { RC_ASSERT(std::holds_alternative<MessageError>(decode(bytes, key))); });
}

TEST_CASE("A datagram truncated at any length is rejected")
{
    const auto bytes = encode(someMessage(2), key);
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        CHECK(std::holds_alternative<MessageError>(decode(std::string_view(bytes).substr(0, i), key)));
    }
}
