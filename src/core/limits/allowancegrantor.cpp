#include "core/limits/allowancegrantor.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Limits
{
namespace
{

// Time before the first grant of a new home: until the previous one knows that it no longer is the home and its leases have expired. A
// change of a member is known in a fleet of 104 daemons within about 1 s; in the time that is missing two homes may grant, which the
// overshoot has room for.
constexpr Millis takeOverTime = 700_ms;
// Time for which the daemons must have been reachable before their shares are granted again: until they know of the home, they use their
// own shares.
constexpr Millis regainTime = 1500_ms;
constexpr Millis partUpdateInterval = 100_ms;
// Time after which a silent daemon that is not declared dead is forgotten: an isolated daemon needs 50 s to declare 104 others dead.
constexpr Millis silentLifetime = 60_s;
// Smallest capacity of a bucket, in seconds of the rate: daemons ask at intervals, and a token must not be lost between two of them.
constexpr double minBurstSeconds = 0.1;

}

void AllowanceGrantor::setFleet(const AllowanceFleet &fleet, Millis now)
{
    if (fleet == m_fleet) {
        return;
    }
    m_fleet = fleet;
    for (auto &[name, home] : m_homes) {
        updatePart(home, now);
    }
}

void AllowanceGrantor::setAllowances(std::span<const Allowance> homed, Millis now)
{
    std::set<std::string_view> names;
    for (const auto &it : homed) {
        names.insert(it.workspace);
    }
    std::erase_if(m_homes, [&](const auto &it) { return !names.contains(it.first); });
    for (const auto &it : homed) {
        const auto [entry, isNew] = m_homes.try_emplace(it.workspace);
        auto &home = entry->second;
        if (isNew) {
            home.grantsFrom = std::max(m_firstGrantsAt, now + takeOverTime);
        }
        if (isNew || home.allowance != it) {
            home.allowance = it;
            applyRate(home, std::max(now, home.grantsFrom));
            updatePart(home, now);
        }
    }
}

void AllowanceGrantor::applyRate(Home &home, Millis now)
{
    // Tokens are added at the old rate up to now.
    home.bucket.take(0, now);
    const double rate = home.allowance.perSecond * home.part;
    home.bucket.setRate(rate, std::max({1.0, home.allowance.burst * home.part, rate * minBurstSeconds}));
}

void AllowanceGrantor::updatePart(Home &home, Millis now) const
{
    home.partUpdatedAt = now;
    std::erase_if(home.users, [&](const auto &it) { return now - it.second.heardAt > silentLifetime; });
    const auto mayUseOwnShare = [&](const auto &it) {
        const bool isSilent = now - it.second.heardAt > silentAfter && isWatched(home.allowance);
        return (it.second.usesOwnShare || isSilent) && !m_fleet.dead.contains(it.first);
    };
    const auto unreachable
        = m_fleet.dead.size() + static_cast<std::size_t>(std::count_if(home.users.begin(), home.users.end(), mayUseOwnShare));
    const auto known = std::max<std::size_t>(1, m_fleet.known);
    const auto reachable = m_fleet.isolated ? 1 : known - std::min(known - 1, unreachable);
    const double part = static_cast<double>(reachable) / static_cast<double>(known);
    if (part < home.part) {
        setPart(home, part, now);
    } else if (part == home.part) {
        home.larger.reset();
    } else if (!home.larger) {
        home.larger = LargerPart{.part = part, .since = now};
    } else {
        home.larger->part = std::min(home.larger->part, part);
        if (now - home.larger->since >= regainTime) {
            setPart(home, home.larger->part, now);
        }
    }
}

void AllowanceGrantor::setPart(Home &home, double part, Millis now)
{
    home.part = part;
    home.larger.reset();
    applyRate(home, std::max(now, home.grantsFrom));
}

void AllowanceGrantor::noteUser(Home &home, const AllowanceRequest &request, std::string_view daemon, Millis now) const
{
    auto it = home.users.find(daemon);
    if (request.isLast) {
        if (it != home.users.end()) {
            home.users.erase(it);
        }
        return;
    }
    if (it == home.users.end()) {
        if (home.users.size() >= std::max<std::size_t>(1, m_fleet.known)) {
            return;
        }
        it = home.users.emplace(daemon, User{}).first;
    }
    auto &user = it->second;
    user.heardAt = now;
    // A daemon leaves its own share with the next answer that it gets, so it goes on using it only if it did not get the last one.
    user.usesOwnShare = request.usesOwnShare && user.answered;
    user.answered = now >= home.grantsFrom;
}

AllowanceAnswer AllowanceGrantor::answer(const AllowanceRequest &request, std::string_view daemon, Millis now)
{
    AllowanceAnswer answer{.workspace = request.workspace, .number = request.number, .retryAfter = {}};
    const auto it = m_homes.find(request.workspace);
    if (it == m_homes.end()) {
        return answer;
    }
    auto &home = it->second;
    noteUser(home, request, daemon, now);
    if (now - home.partUpdatedAt >= partUpdateInterval) {
        updatePart(home, now);
    }
    if (now < home.grantsFrom) {
        answer.retryAfter = home.grantsFrom - now;
        return answer;
    }
    const double tokens = std::min(static_cast<double>(request.wanted), std::floor(home.bucket.available(now)));
    home.bucket.take(tokens, now);
    answer.tokens = static_cast<std::uint32_t>(tokens);
    answer.verdict = answer.tokens == request.wanted ? AllowanceVerdict::Granted : AllowanceVerdict::Short;
    if (answer.verdict == AllowanceVerdict::Short) {
        answer.retryAfter = home.bucket.timeUntil(1, now);
    }
    return answer;
}

void AllowanceGrantor::forget(std::string_view daemon)
{
    for (auto &[name, home] : m_homes) {
        if (const auto it = home.users.find(daemon); it != home.users.end()) {
            home.users.erase(it);
        }
    }
}

double AllowanceGrantor::grantedRate(std::string_view workspace) const
{
    const auto it = m_homes.find(workspace);
    return it == m_homes.end() ? 0 : it->second.allowance.perSecond * it->second.part;
}

}
