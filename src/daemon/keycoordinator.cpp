#include "daemon/keycoordinator.h"

#include "core/text.h"
#include "net/peerclient.h"
#include "process/wallclock.h"

#include <algorithm>
#include <thread>

namespace Laburnummast::Daemon
{
namespace
{

using Idempotency::Execute;
using Idempotency::KeyVerdict;
using Idempotency::OutcomeUnknown;
using Membership::MemberState;

constexpr Millis inFlightPollInterval = 20_ms;
constexpr Millis peerTimeout = 500_ms;
// Separates host and incarnation in the name of a claimant. The incarnation keeps a restarted process from treating a claim of
// its predecessor as its own.
constexpr char claimantSeparator = '#';

template <class T>
bool holds(const KeyVerdict &verdict)
{
    return std::holds_alternative<T>(verdict);
}

}

KeyCoordinator::KeyCoordinator(const Idempotency::KeyTableOptions &options,
                               const KeyClaimant &identity,
                               std::string peerKey,
                               MembersFunction members)
    : m_host(identity.host)
    , m_claimant(Text::concat(identity.host, std::string(1, claimantSeparator), identity.incarnation))
    , m_peerKey(std::move(peerKey))
    , m_members(std::move(members))
    , m_repeatWindow(options.repeatWindow)
    , m_table(options, m_claimant, Process::steadyNow())
{
}

KeyVerdict KeyCoordinator::beginFirst(std::string_view key, Millis deadline)
{
    KeyVerdict verdict;
    {
        const std::lock_guard lock(m_mutex);
        verdict = m_table.begin(key, Process::steadyNow());
    }
    return awaitLocal(key, std::move(verdict), deadline);
}

// While another attempt of the call is running on this member, waits for its result, which is used for both attempts.
KeyVerdict KeyCoordinator::awaitLocal(std::string_view key, KeyVerdict verdict, Millis deadline)
{
    while (holds<Idempotency::InFlight>(verdict)) {
        if (Process::steadyNow() >= deadline) {
            return OutcomeUnknown{};
        }
        std::this_thread::sleep_for(Process::toChrono(inFlightPollInterval));
        const std::lock_guard lock(m_mutex);
        verdict = m_table.peek(key);
        if (holds<Execute>(verdict)) {
            // The other attempt certainly did not run, so this one may.
            verdict = m_table.begin(key, Process::steadyNow());
        }
    }
    return verdict;
}

KeyVerdict KeyCoordinator::beginRepeat(const RepeatedCall &call)
{
    auto verdict = claimLocal(call);
    while (holds<Idempotency::InFlight>(verdict) && Process::steadyNow() < call.deadline) {
        std::this_thread::sleep_for(Process::toChrono(inFlightPollInterval));
        verdict = claimLocal(call);
    }
    if (!holds<Execute>(verdict)) {
        return holds<Idempotency::InFlight>(verdict) ? OutcomeUnknown{} : verdict;
    }
    const auto targets = membersToClaimAt(call);
    if (!targets) {
        return OutcomeUnknown{};
    }
    for (const auto &it : *targets) {
        verdict = claimAtMember(it, call);
        if (!holds<Execute>(verdict)) {
            return verdict;
        }
    }
    return beginFirst(call.key, call.deadline);
}

// Claims the key on this member. If an earlier attempt was or may have been sent here, the claim has the age of the first attempt,
// so that it fails if the table does not reach back that far. Otherwise the key must merely not be in use here, hence age 0.
KeyVerdict KeyCoordinator::claimLocal(const RepeatedCall &call)
{
    const auto members = m_members();
    const auto isSelf = [this](const Membership::Member &it) { return it.info.host == m_host; };
    const auto self = std::find_if(members.begin(), members.end(), isSelf);
    const bool arrivedHere = call.previous.empty() || self == members.end()
        || std::find(call.previous.begin(), call.previous.end(), self->info.entry) != call.previous.end();
    const std::lock_guard lock(m_mutex);
    const auto age = arrivedHere ? call.age.value_or(m_repeatWindow) : Millis{};
    return m_table.claim(call.key, m_claimant, age, Process::steadyNow());
}

// Members that may have received an earlier attempt; nothing if an address belongs to no known member. If the caller does not name
// the previous entries, that is every other known member, including those that died or left within the repeat window.
std::optional<std::vector<Membership::Member>> KeyCoordinator::membersToClaimAt(const RepeatedCall &call) const
{
    auto members = m_members();
    std::sort(members.begin(), members.end(), [](const auto &a, const auto &b) { return a.info.host < b.info.host; });
    std::vector<Membership::Member> targets;
    if (call.previous.empty()) {
        std::copy_if(
            members.begin(), members.end(), std::back_inserter(targets), [this](const auto &it) { return it.info.host != m_host; });
        return targets;
    }
    for (const auto &address : call.previous) {
        const auto at = [&](const Membership::Member &it) { return it.info.entry == address; };
        const auto member = std::find_if(members.begin(), members.end(), at);
        if (member == members.end()) {
            return std::nullopt;
        }
        if (member->info.host != m_host) {
            targets.push_back(*member);
        }
    }
    return targets;
}

// Claims the key at a member that may have received an earlier attempt. Whether the call ran at a dead member is unknown; the keys
// of a member that has left were transferred to its successors.
KeyVerdict KeyCoordinator::claimAtMember(const Membership::Member &member, const RepeatedCall &call)
{
    if (member.state == MemberState::Dead) {
        return OutcomeUnknown{};
    }
    if (member.state == MemberState::Left) {
        return claimAtSuccessors(member, call);
    }
    const Net::ClaimKey claim{.key = call.key, .claimant = m_claimant, .age = call.age.value_or(m_repeatWindow), .departedMember = {}};
    auto verdict = claimAtAddress(member.info.peer, claim, call.deadline);
    const auto *claimed = std::get_if<Idempotency::ClaimedBy>(&verdict);
    if (claimed == nullptr) {
        return verdict;
    }
    // The member that has claimed the key runs the call, so its answer is the answer of the call.
    const auto members = m_members();
    const auto host = claimed->member.substr(0, claimed->member.find(claimantSeparator));
    const auto isClaimant = [&](const Membership::Member &it) { return it.info.host == host; };
    const auto claimant = std::find_if(members.begin(), members.end(), isClaimant);
    if (claimant == members.end() || claimant->state == MemberState::Dead) {
        return OutcomeUnknown{};
    }
    auto answer = claimAtAddress(claimant->info.peer, claim, call.deadline);
    return holds<Idempotency::Answered>(answer) ? answer : KeyVerdict(OutcomeUnknown{});
}

// Claims the key of a departed member at its successors, which have imported its keys. It is not known which members these are,
// so this one and every member that has not died or left are tried until one of them knows the key.
KeyVerdict KeyCoordinator::claimAtSuccessors(const Membership::Member &departed, const RepeatedCall &call)
{
    const Net::ClaimKey claim{
        .key = call.key, .claimant = m_claimant, .age = call.age.value_or(m_repeatWindow), .departedMember = departed.info.host};
    {
        const std::lock_guard lock(m_mutex);
        auto verdict = m_table.claimTransferred(claim.key, claim.departedMember, m_claimant, Process::steadyNow());
        if (!holds<OutcomeUnknown>(verdict)) {
            return verdict;
        }
    }
    for (const auto &it : m_members()) {
        if (it.info.host == m_host || it.state > MemberState::Leaving) {
            continue;
        }
        auto verdict = claimAtAddress(it.info.peer, claim, call.deadline);
        if (!holds<OutcomeUnknown>(verdict)) {
            return verdict;
        }
    }
    return OutcomeUnknown{};
}

// Sends the claim to a peer, and repeats it while the call is in flight there. OutcomeUnknown at the deadline or if the peer does
// not answer.
KeyVerdict KeyCoordinator::claimAtAddress(const Membership::Address &address, const Net::ClaimKey &claim, Millis deadline)
{
    while (true) {
        const auto remaining = deadline - Process::steadyNow();
        if (remaining.count <= 0) {
            return OutcomeUnknown{};
        }
        const auto reply = Net::askPeer(address, claim, m_peerKey, std::min(remaining, peerTimeout));
        const auto *answer = std::get_if<Net::PeerReply>(&reply);
        const auto *key = answer == nullptr ? nullptr : std::get_if<Net::KeyReply>(answer);
        if (key == nullptr) {
            return OutcomeUnknown{};
        }
        auto verdict = Net::toVerdict(*key);
        if (!holds<Idempotency::InFlight>(verdict)) {
            return verdict;
        }
        std::this_thread::sleep_for(Process::toChrono(inFlightPollInterval));
    }
}

void KeyCoordinator::finishAnswered(std::string_view key, Idempotency::StoredAnswer answer)
{
    const std::lock_guard lock(m_mutex);
    m_table.finishAnswered(key, std::move(answer), Process::steadyNow());
}

void KeyCoordinator::finishNotRun(std::string_view key)
{
    const std::lock_guard lock(m_mutex);
    m_table.finishNotRun(key);
}

void KeyCoordinator::finishUnknown(std::string_view key)
{
    const std::lock_guard lock(m_mutex);
    m_table.finishUnknown(key, Process::steadyNow());
}

KeyVerdict KeyCoordinator::claimForPeer(const Net::ClaimKey &claim)
{
    if (m_keysExported) {
        return OutcomeUnknown{};
    }
    const std::lock_guard lock(m_mutex);
    const auto now = Process::steadyNow();
    if (!claim.departedMember.empty()) {
        return m_table.claimTransferred(claim.key, claim.departedMember, claim.claimant, now);
    }
    return m_table.claim(claim.key, claim.claimant, claim.age, now);
}

void KeyCoordinator::importKeys(const Net::HandOverKeys &keys)
{
    const std::lock_guard lock(m_mutex);
    m_table.importKeys(keys.from, keys.keys, Process::steadyNow());
}

std::vector<Idempotency::TransferredKey> KeyCoordinator::exportKeys()
{
    m_keysExported = true;
    const std::lock_guard lock(m_mutex);
    return m_table.exportKeys(Process::steadyNow());
}

void KeyCoordinator::expire()
{
    const std::lock_guard lock(m_mutex);
    m_table.expire(Process::steadyNow());
}

std::size_t KeyCoordinator::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.size();
}

std::size_t KeyCoordinator::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.bytes();
}

}
