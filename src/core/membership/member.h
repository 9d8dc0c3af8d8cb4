#ifndef LABURNUMMAST_CORE_MEMBERSHIP_MEMBER_H
#define LABURNUMMAST_CORE_MEMBERSHIP_MEMBER_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Laburnummast::Membership
{

/// An IP address and a port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ip, port);
    }
};

/// Identity and addresses of a member, fixed for one run of its process.
struct MemberInfo
{
    /// Identifies the member: one process runs per host.
    std::string host;
    /// Failure domain of the host.
    std::string domain;
    /// Receives messages and requests of other members.
    Address peer;
    /// Accepts calls.
    Address entry;
    /// Serves the admin interface.
    Address admin;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(host, domain, peer, entry, admin);
    }
};

/// State of a member. At the same incarnation, a later enumerator overrides an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    /// Did not answer a probe; becomes Dead unless it refutes the suspicion in time.
    Suspect,
    /// Shutting down: takes no new calls.
    Leaving,
    /// Stopped without announcing it, or unreachable.
    Dead,
    /// Announced that its process ends.
    Left,
};

/// Names of the states, indexed by MemberState.
constexpr std::array<std::string_view, 5> memberStateNames{"alive", "suspect", "leaving", "dead", "left"};

constexpr std::string_view nameOf(MemberState state)
{
    return memberStateNames[static_cast<std::size_t>(state)];
}

/// The configuration that a member has in force.
struct ConfigPosition
{
    /// Offset in the log up to which the configuration is in force; -1 if there is none.
    std::int64_t offset = -1;
    /// Hash of the resulting configuration.
    std::uint64_t hash = 0;

    friend bool operator==(const ConfigPosition &, const ConfigPosition &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, hash);
    }
};

/// State of one member at an incarnation, as exchanged between members.
struct Member
{
    MemberInfo info;
    /// Raised by the member itself to refute outdated states; a higher incarnation overrides a lower one.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    ConfigPosition config;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(info, incarnation, state, config);
    }
};

}

#endif
