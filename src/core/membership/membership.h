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

struct MembershipOptions
{
    MemberInfo self;
    /// Higher at every start of the same host.
    std::uint64_t incarnation = 1;
    std::vector<Address> seeds;
    std::uint64_t randomSeed = 1;
    Millis probeInterval = 500_ms;
    Millis ackTimeout = 200_ms;
    Millis suspicionTimeout = 3_s;
    /// How long a dead or left member is remembered and looked for.
    Millis tombstoneLifetime = 1200_s;
};

struct SendMessage
{
    Address to;
    Message message;
};

/// A member is new, or its state or configuration changed.
struct MemberChanged
{
    Member member;
    std::optional<MemberState> previousState;
};

using MembershipAction = std::variant<SendMessage, MemberChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// Membership by probing (SWIM): direct and indirect probes, suspicion, refutation by incarnation, piggybacked news.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options);

    void receive(const Message &message, const Address &from, Millis now, MembershipActions &actions);
    /// Due every few tens of milliseconds.
    void tick(Millis now, MembershipActions &actions);
    /// More addresses to look for members at; a hint that never removes anybody.
    void addSeeds(std::span<const Address> seeds);
    /// The configuration has moved on: tell some members at once.
    void setConfig(const ConfigPosition &config, MembershipActions &actions);
    void leave(MembershipActions &actions);
    /// Last word before the process ends.
    void announceLeft(MembershipActions &actions);

    const Member &self() const
    {
        return m_self;
    }
    const Member *find(std::string_view host) const;
    /// Everybody known but this member.
    std::vector<Member> others() const;
    /// This member and the others that may get work, in order of their names.
    std::vector<Member> serving() const;
    std::uint64_t falseDeaths() const
    {
        return m_refutedDeaths;
    }

private:
    struct MemberEntry
    {
        Member member;
        Millis changedAt;
        int transmissions = 0;
    };

    struct Probe
    {
        std::string host;
        Millis sentAt;
        bool indirect = false;
    };

    struct Relay
    {
        Address requester;
        std::uint64_t sequence = 0;
    };

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
    std::uint64_t m_refutedDeaths = 0;
    std::mt19937_64 m_random;
};

}

#endif
