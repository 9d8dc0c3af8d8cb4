#include "core/placement/upstreamset.h"

#include "core/placement/preferredupstreams.h"
#include "core/routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Laburnummast::Placement
{
namespace
{

// Reports that repeat a changed limit. Where reports go to some daemons only, each of these passes the change on as often.
constexpr int limitChangeReports = 2;
// How long further answers confirm the end of a limit to other daemons, which ignore a report that seems older than what they know.
constexpr Millis endConfirmationTime = 5_s;
// Upstreams that are no longer listed whose availability is remembered.
constexpr std::size_t maxRemembered = 4096;

}

double UpstreamEntry::share(Millis now) const
{
    if (limit.perSecond(now) && cold.isCold(now)) {
        return std::min(limit.share(), cold.share());
    }
    return cold.isCold(now) ? cold.share() : limit.share();
}

std::optional<Millis> UpstreamEntry::nextCallAt(Millis now) const
{
    const auto limitAllowsAt = limit.nextCallAt(now);
    const auto coldAllowsAt = cold.nextCallAt(now);
    return limitAllowsAt && coldAllowsAt ? std::optional(std::max(*limitAllowsAt, *coldAllowsAt)) : std::nullopt;
}

void UpstreamSet::update(std::span<const UpstreamSpec> specs)
{
    for (auto &it : m_entries) {
        it.listed = false;
    }
    for (const auto &spec : specs) {
        const auto found = m_ids.find(spec.id);
        if (found == m_ids.end()) {
            add(spec);
        } else {
            auto &entry = m_entries[found->second];
            if (entry.view.spec().startedAt != spec.startedAt) {
                entry.limit = {};
                entry.cold = {};
                entry.limitReportsDue = 0;
                entry.availability = {};
            }
            entry.view.update(spec);
            entry.listed = true;
            entry.cold.configure(spec.coldCallsPerSecond, spec.warmUpEnd);
            assignColdShare(entry, {});
        }
    }
    m_listedCount = specs.size();
    releaseUnlisted();
}

void UpstreamSet::add(const UpstreamSpec &spec)
{
    auto id = size();
    if (m_freeIds.empty()) {
        m_entries.push_back({.view = UpstreamView(spec)});
    } else {
        id = m_freeIds.back();
        m_freeIds.pop_back();
        m_entries[id] = {.view = UpstreamView(spec)};
    }
    m_entries[id].availability = takeRemembered(spec);
    m_entries[id].cold.configure(spec.coldCallsPerSecond, spec.warmUpEnd);
    assignColdShare(m_entries[id], {});
    m_ids.emplace(spec.id, id);
}

UpstreamAvailability UpstreamSet::takeRemembered(const UpstreamSpec &spec)
{
    const auto it = std::find_if(
        m_remembered.begin(), m_remembered.end(), [&](const RememberedAvailability &known) { return known.upstream == spec.id; });
    if (it == m_remembered.end()) {
        return {};
    }
    const auto availability = it->startedAt == spec.startedAt ? it->availability : UpstreamAvailability{};
    m_remembered.erase(it);
    return availability;
}

void UpstreamSet::releaseUnlisted()
{
    std::erase_if(m_ids, [&](const auto &it) {
        const auto &upstream = m_entries[it.second];
        const bool unused = !upstream.listed && !upstream.probing && upstream.view.inFlight() == 0;
        if (unused) {
            m_freeIds.push_back(it.second);
            if (upstream.availability.isRestricted()) {
                m_remembered.push_back(
                    {.upstream = it.first, .startedAt = upstream.view.spec().startedAt, .availability = upstream.availability});
            }
        }
        return unused;
    });
    while (m_remembered.size() > maxRemembered) {
        m_remembered.pop_front();
    }
}

void UpstreamSet::assignPreferred(std::span<const std::string> daemonDomains, std::size_t daemonIndex)
{
    std::vector<std::string> domains;
    std::vector<UpstreamEntry *> listedEntries;
    for (const auto &[name, id] : m_ids) {
        if (m_entries[id].listed) {
            domains.push_back(m_entries[id].view.spec().domain);
            listedEntries.push_back(&m_entries[id]);
        }
    }
    const auto preferred = preferredUpstreams(domains, daemonDomains, daemonIndex);
    for (std::size_t i = 0; i < listedEntries.size(); ++i) {
        listedEntries[i]->preferred = preferred[i];
    }
}

void UpstreamSet::assignAffinity(std::string_view host)
{
    std::vector<std::pair<std::uint64_t, UpstreamEntry *>> order;
    for (const auto &[name, id] : m_ids) {
        if (m_entries[id].listed) {
            order.emplace_back(Routing::rendezvousScore(host, name), &m_entries[id]);
        }
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i].second->affinityRank = i;
    }
}

std::optional<UpstreamId> UpstreamSet::idOf(std::string_view name) const
{
    const auto it = m_ids.find(name);
    return it == m_ids.end() ? std::nullopt : std::optional(it->second);
}

void UpstreamSet::assignLimitPool(const std::shared_ptr<const Limits::LimitPool> &pool, const Limits::ColdBound &coldBound, Millis now)
{
    const bool samePool = m_limitPool == pool || (m_limitPool && pool && *m_limitPool == *pool);
    const bool unchanged = samePool && m_coldBound == coldBound;
    m_limitPool = pool;
    m_coldBound = coldBound;
    if (unchanged) {
        return;
    }
    for (auto &it : m_entries) {
        assignLimitShare(it, now);
        assignColdShare(it, now);
    }
}

void UpstreamSet::assignLimitShare(UpstreamEntry &entry, Millis now) const
{
    entry.limit.assignShare(shareOf(entry, entry.limit.perSecond(now).value_or(0)), now);
}

void UpstreamSet::assignColdShare(UpstreamEntry &entry, Millis now) const
{
    // Assigned before the upstream turns cold, as it may do so at any time.
    entry.cold.assignShare(shareOf(entry, Limits::dividedColdRate(entry.cold.perSecond(), m_coldBound)), now);
}

double UpstreamSet::shareOf(const UpstreamEntry &entry, double perSecond) const
{
    const auto &spec = entry.view.spec();
    return m_limitPool && perSecond > 0 ? Limits::limitShare({.id = spec.id, .domain = spec.domain, .perSecond = perSecond}, *m_limitPool)
                                        : 0;
}

Limits::LimitChange UpstreamSet::observeLimit(UpstreamId id, const Limits::LimitObservation &observation, bool isOwn, Millis now)
{
    auto &entry = m_entries[id];
    const bool wasLimited = entry.limit.perSecond(now).has_value();
    const auto change = entry.limit.observe(observation, now);
    if (change != Limits::LimitChange::None) {
        assignLimitShare(entry, now);
    }
    if (entry.limit.perSecond(now).has_value() != wasLimited) {
        entry.limitReportsDue = limitChangeReports;
        entry.limitChanged = true;
        entry.limitChangedAt = now;
    } else if (isOwn && entry.limit.latest() && (observation.perSecond || now - entry.limitChangedAt <= endConfirmationTime)) {
        entry.limitReportsDue = std::max(entry.limitReportsDue, 1);
    }
    return change;
}

AvailabilityChange UpstreamSet::observeAvailability(UpstreamId id, std::int64_t startedAt, const AvailabilityNotice &notice, Millis now)
{
    auto &entry = m_entries[id];
    return entry.view.spec().startedAt == startedAt ? entry.availability.apply(notice, now) : AvailabilityChange::None;
}

std::size_t UpstreamSet::unavailableCount(Millis now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [&](const UpstreamEntry &it) { return it.listed && !it.availability.accepts(now); }));
}

std::vector<NamedLimit> UpstreamSet::takeNamedLimits()
{
    std::vector<NamedLimit> limits;
    for (auto &it : m_entries) {
        if (it.limitReportsDue > 0 && it.limit.latest()) {
            --it.limitReportsDue;
            limits.push_back(
                {.upstream = it.view.spec().id, .observation = *it.limit.latest(), .isChange = std::exchange(it.limitChanged, false)});
        }
    }
    return limits;
}

std::size_t UpstreamSet::coldCount(Millis now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const UpstreamEntry &it) { return it.listed && it.cold.isCold(now); }));
}

std::size_t UpstreamSet::limitedCount(Millis now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const UpstreamEntry &it) { return it.listed && it.limit.perSecond(now); }));
}

std::vector<OutcomeCount> UpstreamSet::takeOutcomes()
{
    std::vector<OutcomeCount> outcomes;
    for (auto &it : m_entries) {
        if (it.successes + it.failures > 0) {
            outcomes.push_back({.upstream = it.view.spec().id, .successes = it.successes, .failures = it.failures});
            it.successes = 0;
            it.failures = 0;
        }
    }
    return outcomes;
}

void UpstreamSet::recordPeerOutcomes(std::span<const OutcomeCount> outcomes, Millis now)
{
    for (const auto &it : outcomes) {
        if (const auto id = idOf(it.upstream)) {
            m_entries[*id].view.recordOutcomes(it.successes, it.failures, now);
        }
    }
}

}
