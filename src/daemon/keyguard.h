#ifndef LABURNUMMAST_DAEMON_KEYGUARD_H
#define LABURNUMMAST_DAEMON_KEYGUARD_H

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

/// A repeat of a call as its caller describes it.
struct RepeatedCall
{
    std::string key;
    /// Entry addresses that earlier attempts went to; empty if the caller did not say.
    std::vector<Membership::Address> previous;
    /// Time since the first attempt, as the caller says; nothing if it did not.
    std::optional<Millis> age;
    Millis deadline;
};

/// Who asks for keys: a host and one run of its process.
struct KeyGuardIdentity
{
    std::string host;
    std::uint64_t incarnation = 0;
};

/// Decides with the other members whether a call with an idempotency key may run here.
class KeyGuard
{
public:
    using MembersFunction = std::function<std::vector<Membership::Member>()>;

    KeyGuard(const Idempotency::KeyTableOptions &options, const KeyGuardIdentity &identity, std::string peerKey, MembersFunction members);

    /// A first attempt; on RunIt the key is in flight until one of the finish functions.
    Idempotency::KeyVerdict beginFirst(std::string_view key, Millis deadline);
    /// A repeat: asks every member that may have seen an earlier attempt.
    Idempotency::KeyVerdict beginRepeat(const RepeatedCall &call);

    void finishAnswered(std::string_view key, Idempotency::StoredAnswer answer);
    void finishNotRun(std::string_view key);
    void finishUnknown(std::string_view key);

    /// Another member asks.
    Idempotency::KeyVerdict claimForPeer(const Net::ClaimKey &claim);
    void importKeys(const Net::HandOverKeys &keys);
    /// Everything known, for the members that take over; from here on this member vouches for nothing.
    std::vector<Idempotency::TransferredKey> exportKeys();
    void expire();

    std::size_t size() const;
    std::size_t bytes() const;

private:
    Idempotency::KeyVerdict claimLocal(const RepeatedCall &call);
    Idempotency::KeyVerdict awaitLocal(std::string_view key, Idempotency::KeyVerdict verdict, Millis deadline);
    Idempotency::KeyVerdict claimAtMember(const Membership::Member &member, const RepeatedCall &call);
    Idempotency::KeyVerdict claimAtSuccessors(const Membership::Member &departed, const RepeatedCall &call);
    Idempotency::KeyVerdict claimAtAddress(const Membership::Address &address, const Net::ClaimKey &claim, Millis deadline);
    std::optional<std::vector<Membership::Member>> membersToAsk(const RepeatedCall &call) const;

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
