#include "core/placement/upstreamset.h"

#include "core/placement/upstreamshares.h"

namespace Laburnummast::Placement
{

void UpstreamSet::update(std::span<const UpstreamSpec> specs)
{
    for (auto &it : m_known) {
        it.present = false;
    }
    for (const auto &spec : specs) {
        const auto known = m_ids.find(spec.id);
        if (known == m_ids.end()) {
            add(spec);
        } else {
            m_known[known->second].view.update(spec);
            m_known[known->second].present = true;
        }
    }
    m_present = specs.size();
    freeAbsent();
}

void UpstreamSet::add(const UpstreamSpec &spec)
{
    auto id = size();
    if (m_free.empty()) {
        m_known.push_back({.view = UpstreamView(spec)});
    } else {
        id = m_free.back();
        m_free.pop_back();
        m_known[id] = {.view = UpstreamView(spec)};
    }
    m_ids.emplace(spec.id, id);
}

void UpstreamSet::freeAbsent()
{
    std::erase_if(m_ids, [&](const auto &it) {
        const auto &upstream = m_known[it.second];
        const bool unused = !upstream.present && !upstream.probing && upstream.view.inFlight() == 0;
        if (unused) {
            m_free.push_back(it.second);
        }
        return unused;
    });
}

void UpstreamSet::shareOut(std::span<const std::string> daemonDomains, std::size_t place)
{
    std::vector<std::string> domains;
    std::vector<KnownUpstream *> listed;
    for (const auto &[name, id] : m_ids) {
        if (m_known[id].present) {
            domains.push_back(m_known[id].view.spec().domain);
            listed.push_back(&m_known[id]);
        }
    }
    const auto preferred = preferredUpstreams(domains, daemonDomains, place);
    for (std::size_t i = 0; i < listed.size(); ++i) {
        listed[i]->own = preferred[i];
    }
}

std::optional<UpstreamId> UpstreamSet::idOf(std::string_view name) const
{
    const auto it = m_ids.find(name);
    return it == m_ids.end() ? std::nullopt : std::optional(it->second);
}

std::vector<OutcomeCount> UpstreamSet::takeOutcomes()
{
    std::vector<OutcomeCount> outcomes;
    for (auto &it : m_known) {
        if (it.good + it.bad > 0) {
            outcomes.push_back({.upstream = it.view.spec().id, .good = it.good, .bad = it.bad});
            it.good = 0;
            it.bad = 0;
        }
    }
    return outcomes;
}

void UpstreamSet::noteOthers(std::span<const OutcomeCount> outcomes, Millis now)
{
    for (const auto &it : outcomes) {
        if (const auto id = idOf(it.upstream)) {
            m_known[*id].view.noteOthers(it.good, it.bad, now);
        }
    }
}

}
