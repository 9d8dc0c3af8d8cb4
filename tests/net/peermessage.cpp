#include "net/peermessage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Net;

namespace
{

const std::string key = "secret";
const std::string nonce = "0123456789abcdef";

std::string payloadOf(const std::string &frame)
{
    return frame.substr(frameHeaderBytes);
}

}

TEST_CASE("A peer request is unchanged after encoding and decoding")
{
    const PeerRequest request = ClaimKey{.key = "k", .claimant = "a#1", .age = 12_ms, .departedMember = "b"};
    const auto frame = encodeFrame(request, key, nonce);
    CHECK(frameLength(frame) == frame.size() - frameHeaderBytes);
    const auto read = decodeRequest(payloadOf(frame), key, nonce);
    REQUIRE(std::holds_alternative<PeerRequest>(read));
    CHECK(std::get<ClaimKey>(std::get<PeerRequest>(read)).claimant == "a#1");
}

TEST_CASE("A frame replayed on another connection is rejected as forged")
{
    const auto frame = encodeFrame(PeerRequest(FetchConfig{.knownOffset = 3}), key, nonce);
    CHECK(std::get<PeerError>(decodeRequest(payloadOf(frame), key, "fedcba9876543210")) == PeerError::Forged);
}

TEST_CASE("A request reflected as its own reply is rejected as forged")
{
    const auto frame = encodeFrame(PeerRequest(FetchConfig{.knownOffset = 3}), key, nonce);
    CHECK(std::get<PeerError>(decodeReply(payloadOf(frame), key, nonce)) == PeerError::Forged);
}

TEST_CASE("Frames of random bytes are rejected")
{
    rc::check([](const std::string &bytes) { RC_ASSERT(std::holds_alternative<PeerError>(decodeRequest(bytes, key, nonce))); });
}

TEST_CASE("Every key verdict is unchanged after a round trip between peers")
{
    using namespace Idempotency;
    const auto roundTrip = [](const KeyVerdict &verdict) { return toVerdict(toReply(verdict)); };
    CHECK(std::holds_alternative<Execute>(roundTrip(Execute{})));
    CHECK(std::holds_alternative<InFlight>(roundTrip(InFlight{})));
    CHECK(std::holds_alternative<OutcomeUnknown>(roundTrip(OutcomeUnknown{})));
    CHECK(std::get<ClaimedBy>(roundTrip(ClaimedBy{.member = "b"})).member == "b");
    const auto answered = roundTrip(Answered{.answer = std::make_shared<const StoredAnswer>(StoredAnswer{.status = 201, .body = "x"})});
    CHECK(std::get<Answered>(answered).answer->status == 201);
}
