#ifndef LABURNUMMAST_NET_PEERMESSAGE_H
#define LABURNUMMAST_NET_PEERMESSAGE_H

#include "core/config/note.h"
#include "core/idempotency/keytable.h"
#include "core/result.h"
#include "core/usage/usageledger.h"
#include "net/logclient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Net
{

/// Requests the receiver's configuration if it is newer than `knownOffset`.
struct FetchConfig
{
    Config::Offset knownOffset = Config::noOffset;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(knownOffset);
    }
};

/// Claims an idempotency key for the sender; the reply states whether the key has been seen.
struct ClaimKey
{
    std::string key;
    /// Host and incarnation of the sender.
    std::string claimant;
    /// Time since the first attempt of the call.
    Millis age;
    /// Host of the member that got the first attempt, if it has left and transferred its keys; otherwise empty.
    std::string departedMember;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, claimant, age, departedMember);
    }
};

/// Transfers the idempotency keys of a leaving member to the receiver.
struct HandOverKeys
{
    std::string from;
    std::vector<Idempotency::TransferredKey> keys;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, keys);
    }
};

/// Usage counters of one source.
struct UsageCopy
{
    Usage::UsageSource source;
    Usage::UsageTable table;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(source, table);
    }
};

/// Sends copies of usage counters to the receiver.
struct ShareUsage
{
    std::vector<UsageCopy> copies;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(copies);
    }
};

/// Informs the receiver that an upstream has announced that it is draining.
struct ReportDraining
{
    std::string service;
    std::string upstream;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, upstream);
    }
};

using PeerRequest = std::variant<FetchConfig, ClaimKey, HandOverKeys, ShareUsage, ReportDraining>;

/// The records that the requester lacks, or a snapshot if they are no longer kept; both empty if there is nothing newer.
struct ConfigReply
{
    std::string snapshot;
    std::vector<LogRecord> records;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(snapshot, records);
    }
};

/// Alternatives of Idempotency::KeyVerdict in wire format.
enum class KeyReplyKind : std::uint8_t {
    Execute,
    InFlight,
    Answered,
    ClaimedBy,
    OutcomeUnknown,
};

/// Reply to ClaimKey.
struct KeyReply
{
    KeyReplyKind kind = KeyReplyKind::OutcomeUnknown;
    /// Set for `ClaimedBy`.
    std::string member;
    /// Set for `Answered`.
    Idempotency::StoredAnswer answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, member, answer);
    }
};

/// Reply to a request that returns no data.
struct Acknowledged
{
    template <class Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

/// Reply to a FetchConfig that needs a large reply while the receiver sends as many of them as it may at once.
struct Busy
{
    template <class Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

using PeerReply = std::variant<Acknowledged, ConfigReply, KeyReply, Busy>;

/// Converts a verdict to its wire format.
KeyReply toReply(const Idempotency::KeyVerdict &verdict);
/// Converts a reply back to the verdict.
Idempotency::KeyVerdict toVerdict(const KeyReply &reply);

/// Why a request to a peer failed or a frame was rejected.
enum class PeerError : std::uint8_t {
    CannotConnect,
    /// No complete reply arrived in time, or the connection was lost.
    TimedOut,
    /// The keyed hash of the frame does not match.
    Forged,
    /// The frame cannot be decoded.
    Malformed,
    /// The frame is longer than `maxFrameBytes`.
    TooLong,
};

/// Name of an error in lower case with hyphens.
std::string_view nameOf(PeerError error);

/// Limit for the payload of a frame.
constexpr std::size_t maxFrameBytes = 32 << 20;
/// Length of the frame header, which holds the payload's length in little-endian order.
constexpr std::size_t frameHeaderBytes = 4;
/// Length of the random value that a server sends first on each connection.
constexpr std::size_t nonceBytes = 16;

/// Direction of a frame on a connection.
///
/// A frame carries a body and a keyed hash over the connection's nonce, the direction and the body. The nonce prevents replay on another
/// connection, the direction prevents reflection of a request as its own reply.
enum class Direction : char {
    Request = 'q',
    Reply = 'r',
};

/// Encodes a request as a frame with header, body and keyed hash.
std::string encodeFrame(const PeerRequest &request, std::string_view key, std::string_view nonce);
/// Encodes a reply as a frame with header, body and keyed hash.
std::string encodeFrame(const PeerReply &reply, std::string_view key, std::string_view nonce);
/// Verifies and decodes the payload of a frame, without its header.
Result<PeerRequest, PeerError> decodeRequest(std::string_view payload, std::string_view key, std::string_view nonce);
/// Verifies and decodes the payload of a frame, without its header.
Result<PeerReply, PeerError> decodeReply(std::string_view payload, std::string_view key, std::string_view nonce);
/// Payload length from a frame header of `frameHeaderBytes` bytes.
std::uint32_t frameLength(std::string_view header);

}

#endif
