#include "core/dispatch/router.h"

#include "core/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Dispatch
{
namespace
{

constexpr double maxEjectedShare = 1.0 / 3;
// An upstream counts as slow from this multiple of the lowest slowness, and then gets one trial call per interval.
constexpr double slownessThreshold = 2.0;
constexpr Millis slowTrialInterval = 500_ms;
// Small enough that the dispatcher's own failure domain is preferred only between upstreams that are otherwise alike.
constexpr double crossDomainCost = 0.05;
constexpr double tieBreakNoise = 0.02;
// Answers after which the typical latency is computed again.
constexpr int answersPerRefresh = 32;
// Most upstreams inspected for one choice, so that its cost does not grow with the service.
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
        it.listed = false;
    }
    for (const auto &spec : specs) {
        const auto hasSameName = [&](const UpstreamState &upstream) { return upstream.spec.name == spec.name; };
        const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), hasSameName);
        if (it != m_upstreams.end()) {
            it->spec = spec;
            it->load.setSlots(spec.slots);
            it->listed = true;
            continue;
        }
        UpstreamState added{
            .spec = spec, .load = Routing::UpstreamLoad(spec.slots, now, m_hasInitialUpstreams), .lastProbe = now, .lastAttempt = now};
        const auto isUnused = [](const UpstreamState &upstream) { return !upstream.listed && upstream.load.inFlight() == 0; };
        const auto reusable = std::find_if(m_upstreams.begin(), m_upstreams.end(), isUnused);
        const bool stillListed = reusable != m_upstreams.end()
            && std::any_of(specs.begin(), specs.end(), [&](const UpstreamSpec &other) { return other.name == reusable->spec.name; });
        if (reusable != m_upstreams.end() && !stillListed) {
            *reusable = std::move(added);
        } else {
            m_upstreams.push_back(std::move(added));
        }
    }
    // Upstreams in the first list are already in service; only those added later need to warm up.
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
        // A dispatcher outside the set still gets calls from callers with an outdated list of dispatchers. It has no
        // assigned upstreams, so its non-urgent calls use only idle slots.
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

bool Router::isUsable(const UpstreamState &upstream, Millis now, bool ignoreEjection) const
{
    return upstream.listed && !upstream.load.draining() && (ignoreEjection || !upstream.load.ejected(now));
}

// Returns the lowest slowness among the candidates. Slowness that all of them share is caused by the load or the network
// and must not exclude any of them.
double Router::baselineSlowness(Millis now, bool ignoreEjection) const
{
    double lowest = 0;
    for (const auto &it : m_upstreams) {
        if (isUsable(it, now, ignoreEjection)) {
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
        // A short wait for another upstream is better than an idle slot of a slow one. An occasional trial call detects
        // its recovery.
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
        if (!isUsable(upstream, now, noneUsable) || !isEligible(upstream, rule, baseline, now)) {
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
    std::size_t listed = 0;
    std::size_t ejected = 0;
    for (const auto &it : m_upstreams) {
        listed += it.listed ? 1 : 0;
        ejected += it.listed && it.load.ejected(now) ? 1 : 0;
    }
    // Beyond this share the fault is more likely a common one, and the remaining upstreams could not carry the load.
    if (static_cast<double>(ejected + 1) <= std::max(1.0, maxEjectedShare * static_cast<double>(listed))) {
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
        if (upstream.listed && silent) {
            upstream.lastProbe = now;
            due.push_back(id);
        }
    }
}

std::size_t Router::usableCount(Millis now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_upstreams.begin(), m_upstreams.end(), [&](const UpstreamState &upstream) { return isUsable(upstream, now, false); }));
}

}
