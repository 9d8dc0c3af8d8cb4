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

/// Asks for the receiver's configuration if it lies above `have`.
struct FetchConfig
{
    Config::Offset knownOffset = Config::noOffset;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(knownOffset);
    }
};

/// Asks whether a key was seen and claims it for the sender.
struct ClaimKey
{
    std::string key;
    std::string claimant;
    Millis age;
    /// Set if the first attempt went to a member that has left and handed its keys over.
    std::string departedMember;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, claimant, age, departedMember);
    }
};

/// Gives the receiver the keys of a leaving member.
struct HandOverKeys
{
    std::string from;
    std::vector<Idempotency::HandedKey> keys;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, keys);
    }
};

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

/// Gives the receiver copies of usage counters.
struct ShareUsage
{
    std::vector<UsageCopy> copies;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(copies);
    }
};

/// Tells that an upstream said it is draining.
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

/// The records that the asker lacks, or a snapshot if they are no longer kept; neither if there is nothing newer.
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

enum class KeyReplyKind : std::uint8_t {
    RunIt,
    InFlight,
    Answered,
    ClaimedBy,
    CannotSay,
};

struct KeyReply
{
    KeyReplyKind kind = KeyReplyKind::CannotSay;
    std::string member;
    Idempotency::StoredAnswer answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, member, answer);
    }
};

struct Acknowledged
{
    template <class Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

using PeerReply = std::variant<Acknowledged, ConfigReply, KeyReply>;

KeyReply toReply(const Idempotency::KeyVerdict &verdict);
Idempotency::KeyVerdict toVerdict(const KeyReply &reply);

enum class PeerError : std::uint8_t {
    CannotConnect,
    TimedOut,
    Forged,
    Malformed,
    TooLong,
};

std::string_view nameOf(PeerError error);

constexpr std::size_t maxFrameBytes = 32 << 20;
constexpr std::size_t frameHeaderBytes = 4;
constexpr std::size_t nonceBytes = 16;

/// A frame carries its payload and a keyed hash over the connection's nonce, the direction and the payload.
enum class Direction : char {
    Request = 'q',
    Reply = 'r',
};

std::string encodeFrame(const PeerRequest &request, std::string_view key, std::string_view nonce);
std::string encodeFrame(const PeerReply &reply, std::string_view key, std::string_view nonce);
Result<PeerRequest, PeerError> decodeRequest(std::string_view payload, std::string_view key, std::string_view nonce);
Result<PeerReply, PeerError> decodeReply(std::string_view payload, std::string_view key, std::string_view nonce);
/// Length of the payload that a frame header announces.
std::uint32_t frameLength(std::string_view header);

}

#endif
