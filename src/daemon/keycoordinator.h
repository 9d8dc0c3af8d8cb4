#ifndef LABURNUMMAST_DAEMON_KEYCOORDINATOR_H
#define LABURNUMMAST_DAEMON_KEYCOORDINATOR_H

#include "core/idempotency/keytable.h"
#include "core/membership/member.h"
#include "net/peermessage.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

/// A repeated attempt of a call, as described by the headers of its caller.
struct RepeatedCall
{
    /// Idempotency key, scoped by partner and service.
    std::string key;
    /// Entry addresses that earlier attempts were sent to; empty if unknown.
    std::vector<Membership::Address> previous;
    /// Time since the first attempt; empty if unknown.
    std::optional<Millis> age;
    /// Steady time until which the repeat may wait for other members.
    Millis deadline;
};

/// Identity under which this member claims keys: its host and the incarnation of its process.
struct KeyClaimant
{
    std::string host;
    std::uint64_t incarnation = 0;
};

/// Decides, together with the other members, whether a call with an idempotency key may run here.
///
/// Safe to use from several threads. Where a method takes a deadline, it may block until then.
class KeyCoordinator
{
public:
    /// Returns all known members, including those that are dead or have left.
    using MembersFunction = std::function<std::vector<Membership::Member>()>;

    /// `peerKey` authenticates requests to other members.
    KeyCoordinator(const Idempotency::KeyTableOptions &options, const KeyClaimant &identity, std::string peerKey, MembersFunction members);

    /// Registers a first attempt, and waits while another attempt of the call runs here, until the deadline. On Execute the key is in
    /// flight until one of the finish functions is called.
    Idempotency::KeyVerdict beginFirst(std::string_view key, Millis deadline);
    /// Registers a repeat after claiming its key at every member that may have received an earlier attempt.
    /// OutcomeUnknown if one of these members is unknown or dead, or does not answer in time.
    /// On Execute the key is in flight until one of the finish functions is called.
    Idempotency::KeyVerdict beginRepeat(const RepeatedCall &call);

    /// The call ran; keeps its answer for repeats.
    void finishAnswered(std::string_view key, Idempotency::StoredAnswer answer);
    /// The call certainly did not run; the key may be used again.
    void finishNotRun(std::string_view key);
    /// The call may have run; repeats get OutcomeUnknown.
    void finishUnknown(std::string_view key);

    /// Handles a claim by another member; OutcomeUnknown once the keys have been exported.
    Idempotency::KeyVerdict claimForPeer(const Net::ClaimKey &claim);
    /// Adds the keys that a leaving member exported.
    void importKeys(const Net::HandOverKeys &keys);
    /// All keys, for the successors of this member. From then on claims by other members get OutcomeUnknown.
    std::vector<Idempotency::TransferredKey> exportKeys();
    /// Removes finished keys that are older than the repeat window.
    void expire();

    /// Number of keys stored here.
    std::size_t size() const;
    /// Estimated memory of all keys and their stored answers, in bytes.
    std::size_t bytes() const;

private:
    Idempotency::KeyVerdict claimLocal(const RepeatedCall &call);
    Idempotency::KeyVerdict awaitLocal(std::string_view key, Idempotency::KeyVerdict verdict, Millis deadline);
    Idempotency::KeyVerdict claimAtMember(const Membership::Member &member, const RepeatedCall &call);
    Idempotency::KeyVerdict claimAtSuccessors(const Membership::Member &departed, const RepeatedCall &call);
    Idempotency::KeyVerdict claimAtAddress(const Membership::Address &address, const Net::ClaimKey &claim, Millis deadline);
    std::optional<std::vector<Membership::Member>> membersToClaimAt(const RepeatedCall &call) const;

    std::string m_host;
    std::string m_claimant;
    std::string m_peerKey;
    MembersFunction m_members;
    Millis m_repeatWindow;
    mutable std::mutex m_mutex;
    Idempotency::KeyTable m_table;
    std::atomic<bool> m_keysExported = false;
};

}

#endif
