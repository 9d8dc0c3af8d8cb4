#ifndef LABURNUMMAST_CORE_MEMBERSHIP_MEMBERSHIP_H
#define LABURNUMMAST_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "core/membership/message.h"
#include "core/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Membership
{

/// Identity, initial contacts and timing of a Membership instance.
struct MembershipOptions
{
    MemberInfo self;
    /// Must be at least 1000 higher at every start of the same host; a smaller step counts as a refutation.
    std::uint64_t incarnation = 1;
    /// Peer addresses to contact first.
    std::vector<Address> seeds;
    /// Seeds the random choice of probe targets and gossip receivers.
    std::uint64_t randomSeed = 1;
    Millis probeInterval = 500_ms;
    /// Time without an acknowledgement after which a probe is repeated through other members.
    Millis ackTimeout = 200_ms;
    /// Time after which a suspected member that did not refute is declared dead.
    Millis suspicionTimeout = 3_s;
    /// How long the entry of a dead or left member is kept; until then a dead member is pinged to reconnect.
    Millis tombstoneLifetime = 1200_s;
};

/// Asks the caller to send a message to a peer address.
struct SendMessage
{
    Address to;
    Message message;
};

/// Reports that a member is new, or that its state, incarnation or configuration changed.
struct MemberChanged
{
    Member member;
    /// Empty if the member is new.
    std::optional<MemberState> previousState;
};

using MembershipAction = std::variant<SendMessage, MemberChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// SWIM group membership: direct and indirect probes, suspicion, refutation by incarnation, and gossip piggybacked on probes.
///
/// Does no I/O and reads no clock: every function gets the current time and appends the actions that its caller must carry out.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options);

    /// Handles a message from another member; messages that name this host as their sender are ignored.
    void receive(const Message &message, const Address &from, Millis now, MembershipActions &actions);
    /// Sends due probes and applies timeouts; must be called every few tens of milliseconds.
    void tick(Millis now, MembershipActions &actions);
    /// Adds addresses to contact. Members are never removed because they are missing from the list.
    void addSeeds(std::span<const Address> seeds);
    /// Sets the configuration position of this member and gossips it to some members at once.
    void setConfig(const ConfigPosition &config, MembershipActions &actions);
    /// Marks this member as leaving and gossips it to some members at once.
    void leave(MembershipActions &actions);
    /// Announces to all other members that this process ends; call last.
    void announceLeft(MembershipActions &actions);

    const Member &self() const
    {
        return m_self;
    }
    /// Returns the member on `host`, this one included; null if it is not known.
    const Member *find(std::string_view host) const;
    /// All known members except this one, dead and left ones included. Valid until the next change of a member.
    const std::vector<Member> &others() const
    {
        return lists().others;
    }
    /// Alive and suspected members, this one included while it is alive, sorted by host. Valid until the next change of a member.
    const std::vector<Member> &serving() const
    {
        return lists().serving;
    }
    /// Number that rises with each change of a member, this one included.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    /// How often a member that was declared dead has refuted it.
    std::uint64_t falseDeaths() const
    {
        return m_falseDeaths;
    }

private:
    struct MemberEntry
    {
        Member member;
        /// Time of the last change of state or incarnation.
        Millis changedAt;
        /// How often the entry was sent since its last change.
        int transmissions = 0;
    };

    /// Lists of members as of one revision.
    struct MemberLists
    {
        std::uint64_t revision = 0;
        std::vector<Member> others;
        std::vector<Member> serving;
    };

    /// The outstanding probe.
    struct Probe
    {
        std::string host;
        Millis sentAt;
        bool indirect = false;
    };

    /// A ping sent on behalf of another member, which gets the acknowledgement.
    struct Relay
    {
        Address requester;
        std::uint64_t sequence = 0;
    };

    const MemberLists &lists() const;
    void mergeUpdate(const Member &update, Millis now, MembershipActions &actions);
    void refuteUpdate(const Member &update);
    void setState(MemberEntry &entry, MemberState state, Millis now, MembershipActions &actions);
    void send(const Address &to, MessageKind kind, std::uint64_t sequence, const Address &target, MembershipActions &actions);
    std::vector<Member> selectUpdates();
    void probeNext(Millis now, MembershipActions &actions);
    void checkProbeTimeout(Millis now, MembershipActions &actions);
    void probeIndirectly(const Probe &probe, MembershipActions &actions);
    void suspect(const std::string &host, Millis now, MembershipActions &actions);
    void applyTimeouts(Millis now, MembershipActions &actions);
    void reconnect(MembershipActions &actions);
    void gossip(MembershipActions &actions);
    void sendMemberList(const Member &newMember, MembershipActions &actions);
    std::vector<const MemberEntry *> randomAliveMembers(std::size_t count, std::string_view except);
    int transmissionLimit() const;
    void detectPause(Millis now);

    MembershipOptions m_options;
    Member m_self;
    std::map<std::string, MemberEntry, std::less<>> m_members;
    std::uint64_t m_revision = 1;
    /// Built when they are first wanted after a change.
    mutable MemberLists m_lists;
    std::vector<Address> m_seeds;
    std::vector<std::string> m_probeOrder;
    std::optional<Probe> m_probe;
    std::uint64_t m_probeSequence = 0;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    int m_selfTransmissions = 0;
    std::string m_rotationCursor;
    Millis m_nextProbe{};
    Millis m_nextReconnect{};
    Millis m_lastTick{};
    Millis m_noSuspicionUntil{};
    bool m_hasTicked = false;
    std::uint64_t m_falseDeaths = 0;
    std::mt19937_64 m_random;
};

}

#endif
