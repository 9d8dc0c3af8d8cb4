#include "core/dispatch/router.h"

#include "core/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Dispatch
{
namespace
{

constexpr double maxEjectedShare = 1.0 / 3;
constexpr double slowFrom = 2.0;
constexpr Millis trialPause = 500_ms;
// Same domain first, but only between upstreams that are otherwise alike.
constexpr double otherDomainCost = 0.05;
constexpr double tieNoise = 0.02;
constexpr int refreshEvery = 32;
// A choice looks at this many upstreams at most, so that its time does not grow with the service.
constexpr std::size_t maxLookedAt = 64;

}

Router::Router(std::string domain, std::uint64_t seed)
    : m_domain(std::move(domain))
    , m_random(seed)
{
}

void Router::setUpstreams(std::span<const UpstreamSpec> specs, Millis now)
{
    for (auto &it : m_slots) {
        it.present = false;
    }
    for (const auto &spec : specs) {
        const auto same = [&](const Slot &slot) { return slot.spec.name == spec.name; };
        const auto it = std::find_if(m_slots.begin(), m_slots.end(), same);
        if (it != m_slots.end()) {
            it->spec = spec;
            it->load.setSlots(spec.slots);
            it->present = true;
            continue;
        }
        Slot fresh{.spec = spec, .load = Routing::UpstreamLoad(spec.slots, now, m_seeded), .lastProbe = now, .lastTrial = now};
        const auto isFree = [](const Slot &slot) { return !slot.present && slot.load.inFlight() == 0; };
        const auto reusable = std::find_if(m_slots.begin(), m_slots.end(), isFree);
        const bool namedLater = reusable != m_slots.end()
            && std::any_of(specs.begin(), specs.end(), [&](const UpstreamSpec &other) { return other.name == reusable->spec.name; });
        if (reusable != m_slots.end() && !namedLater) {
            *reusable = std::move(fresh);
        } else {
            m_slots.push_back(std::move(fresh));
        }
    }
    // The first list is the service as it stands; whatever is added to it later starts cold.
    m_seeded = m_seeded || !specs.empty();
    assignParts();
}

void Router::setDispatchers(std::span<const std::string> names, std::string_view self)
{
    m_dispatchers.assign(names.begin(), names.end());
    std::sort(m_dispatchers.begin(), m_dispatchers.end());
    m_self = self;
    assignParts();
}

void Router::assignParts()
{
    const auto self = std::find(m_dispatchers.begin(), m_dispatchers.end(), m_self);
    const bool shared = self != m_dispatchers.end();
    std::vector<std::string> names;
    for (const auto &it : m_slots) {
        names.push_back(it.spec.name);
    }
    const auto parts = Routing::balancedParts(names, m_dispatchers);
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        // A dispatcher outside the set serves callers with an old answer: it has no part and only spills.
        m_slots[i].own = m_dispatchers.empty() || (shared && parts[i] == static_cast<std::size_t>(self - m_dispatchers.begin()));
    }
}

void Router::setDraining(std::string_view name, bool draining)
{
    for (auto &it : m_slots) {
        if (it.spec.name == name) {
            it.load.setDraining(draining);
        }
    }
}

bool Router::isCandidate(const Slot &slot, Millis now, bool ignoreEjection) const
{
    return slot.present && !slot.load.draining() && (ignoreEjection || !slot.load.ejected(now));
}

// The least slowness among those that could take a call: what all share is the load or the network, and shuts nobody.
double Router::commonSlowness(Millis now, bool ignoreEjection) const
{
    double least = 0;
    for (const auto &it : m_slots) {
        if (isCandidate(it, now, ignoreEjection)) {
            const double slowness = it.load.slowness(now, m_typical);
            least = least == 0 ? slowness : std::min(least, slowness);
        }
        if (least == 1) {
            break;
        }
    }
    return std::max(1.0, least);
}

bool Router::mayTake(const Slot &slot, PlaceRule rule, double commonSlowness, Millis now) const
{
    const auto &load = slot.load;
    const double warmLimit = std::max(1.0, std::ceil(load.limit() * load.warmth(now)));
    if (load.inFlight() + 1 > warmLimit) {
        return false;
    }
    if (load.onTrial(now) && load.inFlight() > 0) {
        return false;
    }
    if (load.slowness(now, m_typical) >= slowFrom * commonSlowness) {
        // Its idle slots are worth less than a short wait elsewhere; one call now and then tells when it is well again.
        return load.inFlight() == 0 && now - slot.lastTrial >= trialPause;
    }
    return rule == PlaceRule::Anywhere || mayTakeLesser(slot, now);
}

bool Router::mayTakeLesser(const Slot &slot, Millis now) const
{
    const auto &load = slot.load;
    const int lesser = load.inFlight(Priority::Normal) + load.inFlight(Priority::Deferrable);
    const double everybody = load.inFlight() + load.othersInFlight(now);
    if (slot.own) {
        return lesser == 0 || (lesser < load.slots() && everybody < load.slots() + 1);
    }
    return lesser == 0 && everybody < load.slots() - 0.5;
}

std::optional<UpstreamId> Router::choose(PlaceRule rule, std::span<const UpstreamId> excluded, Millis now)
{
    const bool noneUsable = usable(now) == 0;
    const std::size_t looks = std::min(m_slots.size(), maxLookedAt);
    const std::size_t first = m_slots.size() > maxLookedAt ? m_random() % m_slots.size() : 0;
    std::uniform_real_distribution<double> noise(0, tieNoise);
    const double common = commonSlowness(now, noneUsable);
    std::optional<UpstreamId> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < looks; ++i) {
        const auto id = static_cast<UpstreamId>((first + i) % m_slots.size());
        const auto &slot = m_slots[id];
        if (!isCandidate(slot, now, noneUsable) || !mayTake(slot, rule, common, now)) {
            continue;
        }
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            continue;
        }
        const double distance = slot.spec.domain == m_domain ? 0 : otherDomainCost;
        const double cost = slot.load.cost(now, m_typical) + distance + noise(m_random);
        if (!best || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    return best;
}

Routing::AttemptStart Router::start(UpstreamId id, Priority priority, Millis now)
{
    auto &slot = m_slots[id];
    slot.lastTrial = now;
    return slot.load.start(priority, now);
}

void Router::end(UpstreamId id, const Routing::AttemptStart &attempt, const AttemptResult &result, Millis now)
{
    auto &slot = m_slots[id];
    if (result.outcome == AttemptOutcome::Answered) {
        const Millis latency = now - attempt.sentAt;
        m_latencies.add(latency);
        m_unqueuedLatencies.add(latency * (1 / attempt.expectedWaitFactor));
        if (++m_sinceRefresh >= refreshEvery || m_typical.count == 0) {
            refreshTypical();
        }
    }
    slot.load.end(attempt, result.outcome, result.report, m_typical, now);
    ejectIfOutlier(slot, now);
}

void Router::refreshTypical()
{
    m_sinceRefresh = 0;
    m_typical = m_unqueuedLatencies.quantile(0.5);
}

void Router::ejectIfOutlier(Slot &slot, Millis now)
{
    if (!slot.load.isOutlier() || slot.load.ejected(now)) {
        return;
    }
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto &it : m_slots) {
        present += it.present ? 1 : 0;
        ejected += it.present && it.load.ejected(now) ? 1 : 0;
    }
    // Past the cap the fault is more likely shared, and the rest could not carry the load.
    if (static_cast<double>(ejected + 1) <= std::max(1.0, maxEjectedShare * static_cast<double>(present))) {
        slot.load.eject(now);
    }
}

void Router::probed(UpstreamId id, bool healthy, const LoadReport &report, Millis now)
{
    auto &slot = m_slots[id];
    slot.load.probed(healthy, report, now);
    slot.load.setDraining(healthy && report.draining);
    ejectIfOutlier(slot, now);
}

void Router::findStale(Millis now, Millis every, std::vector<UpstreamId> &stale)
{
    for (UpstreamId id = 0; id < m_slots.size(); ++id) {
        auto &slot = m_slots[id];
        const bool quiet = now - slot.load.lastHeard() >= every && now - slot.lastProbe >= every;
        if (slot.present && quiet) {
            slot.lastProbe = now;
            stale.push_back(id);
        }
    }
}

std::size_t Router::usable(Millis now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_slots.begin(), m_slots.end(), [&](const Slot &slot) { return isCandidate(slot, now, false); }));
}

}
