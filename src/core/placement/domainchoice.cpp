#include "core/placement/domainchoice.h"

#include <algorithm>

namespace Laburnummast::Placement
{
namespace
{

// Calls sent after a change have to show in the load reports before the next one.
constexpr Millis updateInterval = 200_ms;
// Calls per slot above which calls leave, and how far the load has to fall below that until they return. Bulk calls leave later.
constexpr double fullLoad = 0.85;
constexpr double bulkFullLoad = 0.95;
constexpr double hysteresis = 0.15;
// Another domain is filled up to this load only, which leaves it room for its own bursts.
constexpr double maxForeignLoad = 0.75;
// Change of the share per update, relative to the excess or lack of load, and the largest change. Steps down are smaller: calls that return
// too early fill the own domain again.
constexpr double stepUpFactor = 0.25;
constexpr double stepDownFactor = 0.15;
constexpr double maxStep = 0.1;
// Part of the share that is kept in an update without room elsewhere.
constexpr double keptWithoutRoom = 0.7;
// Weight of a new measurement of room.
constexpr double roomWeight = 0.3;

double loadOf(const DomainLoad &domain)
{
    return domain.slots > 0 ? domain.calls / domain.slots : 0;
}

}

DomainChoice::DomainChoice(const DomainPrices &prices)
    : m_kinds{Kind{.price = prices.normal, .fullLoad = fullLoad, .room = {}},
              Kind{.price = prices.bulk, .fullLoad = bulkFullLoad, .room = {}}}
{
}

bool DomainChoice::isDue(Millis now) const
{
    return !m_updatedAt || now - *m_updatedAt >= updateInterval;
}

void DomainChoice::update(std::string_view home, std::span<const DomainLoad> loads, Millis now)
{
    if (!isDue(now)) {
        return;
    }
    m_updatedAt = now;
    const auto own = std::find_if(loads.begin(), loads.end(), [&](const DomainLoad &it) { return it.domain == home; });
    const DomainLoad none{.domain = home};
    for (auto &it : m_kinds) {
        updateKind(it, own == loads.end() ? none : *own, loads);
    }
}

void DomainChoice::updateKind(Kind &kind, const DomainLoad &home, std::span<const DomainLoad> loads)
{
    std::map<std::string, double, std::less<>> room;
    double totalRoom = 0;
    bool paysOff = false;
    for (const auto &it : loads) {
        if (it.domain == home.domain) {
            continue;
        }
        const double measured = std::max(0.0, it.slots * maxForeignLoad - it.calls);
        const auto known = kind.room.find(it.domain);
        const double smoothed = known == kind.room.end() ? measured : known->second + roomWeight * (measured - known->second);
        room.emplace(it.domain, smoothed);
        totalRoom += measured > 0 ? smoothed : 0;
        paysOff = paysOff || (measured > 0 && home.wait > it.wait + it.extraRoundTrip + kind.price);
    }
    kind.room = std::move(room);
    if (home.slots <= 0) {
        kind.awayShare = 1;
        return;
    }
    const double load = loadOf(home);
    const double excess = load - kind.fullLoad;
    if (totalRoom <= 0) {
        // Calls that no domain has room for are as well off at home.
        kind.awayShare *= keptWithoutRoom;
    } else if (excess > 0 || paysOff) {
        kind.awayShare += std::min(maxStep, stepUpFactor * std::max(excess, 0.05));
    } else if (excess < -hysteresis) {
        kind.awayShare -= std::min(maxStep, stepDownFactor * (-hysteresis - excess));
    }
    kind.awayShare = std::clamp(kind.awayShare, 0.0, 1.0);
}

std::optional<std::string_view> DomainChoice::choose(bool bulk, double draw) const
{
    const auto &kind = m_kinds[bulk ? 1 : 0];
    double total = 0;
    for (const auto &[domain, room] : kind.room) {
        total += room;
    }
    if (draw >= kind.awayShare || total <= 0) {
        return std::nullopt;
    }
    // The draw is uniform below the share, so it also selects one of the domains by their room.
    double position = draw / kind.awayShare * total;
    for (const auto &[domain, room] : kind.room) {
        if (position < room) {
            return domain;
        }
        position -= room;
    }
    return std::nullopt;
}

}
