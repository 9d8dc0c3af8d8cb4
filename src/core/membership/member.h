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

/// What a member says of itself when it starts.
struct MemberInfo
{
    std::string host;
    std::string domain;
    Address peer;
    Address entry;
    Address admin;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(host, domain, peer, entry, admin);
    }
};

/// States in the order in which one overrides another at the same incarnation.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
    Left,
};

constexpr std::array<std::string_view, 5> memberStateNames{"alive", "suspect", "leaving", "dead", "left"};

constexpr std::string_view nameOf(MemberState state)
{
    return memberStateNames[static_cast<std::size_t>(state)];
}

/// How far a member's configuration has come.
struct ConfigPosition
{
    std::int64_t offset = -1;
    std::uint64_t hash = 0;

    friend bool operator==(const ConfigPosition &, const ConfigPosition &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, hash);
    }
};

/// One member as known at some incarnation.
struct Member
{
    MemberInfo info;
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
