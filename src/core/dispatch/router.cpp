#include "core/dispatch/router.h"

#include "core/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Dispatch
{
namespace
{

constexpr double maxEjectedShare = 1.0 / 3;
constexpr double slownessThreshold = 2.0;
constexpr Millis slowTrialInterval = 500_ms;
// Same domain first, but only between upstreams that are otherwise alike.
constexpr double crossDomainCost = 0.05;
constexpr double tieBreakNoise = 0.02;
constexpr int answersPerRefresh = 32;
// A choice looks at this many upstreams at most, so that its time does not grow with the service.
constexpr std::size_t maxInspected = 64;

}

Router::Router(std::string domain, std::uint64_t seed)
    : m_domain(std::move(domain))
    , m_random(seed)
{
}

void Router::setUpstreams(std::span<const UpstreamSpec> specs, Millis now)
{
    for (auto &it : m_upstreams) {
        it.present = false;
    }
    for (const auto &spec : specs) {
        const auto hasSameName = [&](const UpstreamState &upstream) { return upstream.spec.name == spec.name; };
        const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), hasSameName);
        if (it != m_upstreams.end()) {
            it->spec = spec;
            it->load.setSlots(spec.slots);
            it->present = true;
            continue;
        }
        UpstreamState added{
            .spec = spec, .load = Routing::UpstreamLoad(spec.slots, now, m_hasInitialUpstreams), .lastProbe = now, .lastAttempt = now};
        const auto isUnused = [](const UpstreamState &upstream) { return !upstream.present && upstream.load.inFlight() == 0; };
        const auto reusable = std::find_if(m_upstreams.begin(), m_upstreams.end(), isUnused);
        const bool stillListed = reusable != m_upstreams.end()
            && std::any_of(specs.begin(), specs.end(), [&](const UpstreamSpec &other) { return other.name == reusable->spec.name; });
        if (reusable != m_upstreams.end() && !stillListed) {
            *reusable = std::move(added);
        } else {
            m_upstreams.push_back(std::move(added));
        }
    }
    // The first list is the service as it stands; whatever is added to it later starts cold.
    m_hasInitialUpstreams = m_hasInitialUpstreams || !specs.empty();
    assignUpstreams();
}

void Router::setDispatchers(std::span<const std::string> names, std::string_view self)
{
    m_dispatchers.assign(names.begin(), names.end());
    std::sort(m_dispatchers.begin(), m_dispatchers.end());
    m_self = self;
    assignUpstreams();
}

void Router::assignUpstreams()
{
    const auto self = std::find(m_dispatchers.begin(), m_dispatchers.end(), m_self);
    const bool isDispatcher = self != m_dispatchers.end();
    std::vector<std::string> names;
    for (const auto &it : m_upstreams) {
        names.push_back(it.spec.name);
    }
    const auto assignment = Routing::balancedAssignment(names, m_dispatchers);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        // A dispatcher outside the set serves callers with an old answer: it has no part and only spills.
        m_upstreams[i].assigned
            = m_dispatchers.empty() || (isDispatcher && assignment[i] == static_cast<std::size_t>(self - m_dispatchers.begin()));
    }
}

void Router::setDraining(std::string_view name, bool draining)
{
    for (auto &it : m_upstreams) {
        if (it.spec.name == name) {
            it.load.setDraining(draining);
        }
    }
}

bool Router::isCandidate(const UpstreamState &upstream, Millis now, bool ignoreEjection) const
{
    return upstream.present && !upstream.load.draining() && (ignoreEjection || !upstream.load.ejected(now));
}

// The least slowness among those that could take a call: what all share is the load or the network, and shuts nobody.
double Router::baselineSlowness(Millis now, bool ignoreEjection) const
{
    double lowest = 0;
    for (const auto &it : m_upstreams) {
        if (isCandidate(it, now, ignoreEjection)) {
            const double slowness = it.load.slowness(now, m_typicalLatency);
            lowest = lowest == 0 ? slowness : std::min(lowest, slowness);
        }
        if (lowest == 1) {
            break;
        }
    }
    return std::max(1.0, lowest);
}

bool Router::isEligible(const UpstreamState &upstream, SelectionRule rule, double baseline, Millis now) const
{
    const auto &load = upstream.load;
    const double warmLimit = std::max(1.0, std::ceil(load.limit() * load.warmUpFactor(now)));
    if (load.inFlight() + 1 > warmLimit) {
        return false;
    }
    if (load.onTrial(now) && load.inFlight() > 0) {
        return false;
    }
    if (load.slowness(now, m_typicalLatency) >= slownessThreshold * baseline) {
        // Its idle slots are worth less than a short wait elsewhere; one call now and then tells when it is well again.
        return load.inFlight() == 0 && now - upstream.lastAttempt >= slowTrialInterval;
    }
    return rule == SelectionRule::AnyUpstream || hasRoomForNonUrgent(upstream, now);
}

bool Router::hasRoomForNonUrgent(const UpstreamState &upstream, Millis now) const
{
    const auto &load = upstream.load;
    const int nonUrgent = load.inFlight(Priority::Normal) + load.inFlight(Priority::Deferrable);
    const double totalInFlight = load.inFlight() + load.othersInFlight(now);
    if (upstream.assigned) {
        return nonUrgent == 0 || (nonUrgent < load.slots() && totalInFlight < load.slots() + 1);
    }
    return nonUrgent == 0 && totalInFlight < load.slots() - 0.5;
}

std::optional<UpstreamId> Router::choose(SelectionRule rule, std::span<const UpstreamId> excluded, Millis now)
{
    const bool noneUsable = usableCount(now) == 0;
    const std::size_t inspected = std::min(m_upstreams.size(), maxInspected);
    const std::size_t first = m_upstreams.size() > maxInspected ? m_random() % m_upstreams.size() : 0;
    std::uniform_real_distribution<double> noise(0, tieBreakNoise);
    const double baseline = baselineSlowness(now, noneUsable);
    std::optional<UpstreamId> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < inspected; ++i) {
        const auto id = static_cast<UpstreamId>((first + i) % m_upstreams.size());
        const auto &upstream = m_upstreams[id];
        if (!isCandidate(upstream, now, noneUsable) || !isEligible(upstream, rule, baseline, now)) {
            continue;
        }
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            continue;
        }
        const double domainCost = upstream.spec.domain == m_domain ? 0 : crossDomainCost;
        const double cost = upstream.load.cost(now, m_typicalLatency) + domainCost + noise(m_random);
        if (!best || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    return best;
}

Routing::AttemptStart Router::startAttempt(UpstreamId id, Priority priority, Millis now)
{
    auto &upstream = m_upstreams[id];
    upstream.lastAttempt = now;
    return upstream.load.startAttempt(priority, now);
}

void Router::endAttempt(UpstreamId id, const Routing::AttemptStart &attempt, const AttemptResult &result, Millis now)
{
    auto &upstream = m_upstreams[id];
    if (result.outcome == AttemptOutcome::Answered) {
        const Millis latency = now - attempt.sentAt;
        m_latencies.add(latency);
        m_unqueuedLatencies.add(latency * (1 / attempt.expectedWaitFactor));
        if (++m_answersSinceRefresh >= answersPerRefresh || m_typicalLatency.count == 0) {
            refreshTypicalLatency();
        }
    }
    upstream.load.endAttempt(attempt, result.outcome, result.report, m_typicalLatency, now);
    ejectIfOutlier(upstream, now);
}

void Router::refreshTypicalLatency()
{
    m_answersSinceRefresh = 0;
    m_typicalLatency = m_unqueuedLatencies.quantile(0.5);
}

void Router::ejectIfOutlier(UpstreamState &upstream, Millis now)
{
    if (!upstream.load.isOutlier() || upstream.load.ejected(now)) {
        return;
    }
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto &it : m_upstreams) {
        present += it.present ? 1 : 0;
        ejected += it.present && it.load.ejected(now) ? 1 : 0;
    }
    // Past the cap the fault is more likely shared, and the rest could not carry the load.
    if (static_cast<double>(ejected + 1) <= std::max(1.0, maxEjectedShare * static_cast<double>(present))) {
        upstream.load.eject(now);
    }
}

void Router::recordProbe(UpstreamId id, bool healthy, const LoadReport &report, Millis now)
{
    auto &upstream = m_upstreams[id];
    upstream.load.recordProbe(healthy, report, now);
    upstream.load.setDraining(healthy && report.draining);
    ejectIfOutlier(upstream, now);
}

void Router::findDueForProbe(Millis now, Millis interval, std::vector<UpstreamId> &due)
{
    for (UpstreamId id = 0; id < m_upstreams.size(); ++id) {
        auto &upstream = m_upstreams[id];
        const bool silent = now - upstream.load.lastResponse() >= interval && now - upstream.lastProbe >= interval;
        if (upstream.present && silent) {
            upstream.lastProbe = now;
            due.push_back(id);
        }
    }
}

std::size_t Router::usableCount(Millis now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_upstreams.begin(), m_upstreams.end(), [&](const UpstreamState &upstream) { return isCandidate(upstream, now, false); }));
}

}
