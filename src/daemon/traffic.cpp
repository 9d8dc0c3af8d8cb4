#include "daemon/traffic.h"

#include "core/routing/rendezvous.h"

namespace Laburnummast::Daemon
{

std::vector<Membership::Member> rendezvousMembers(std::string_view key, const std::vector<Membership::Member> &members, std::size_t count)
{
    std::vector<Routing::Candidate> candidates;
    candidates.reserve(members.size());
    for (const auto &it : members) {
        candidates.push_back({.name = it.info.host, .domain = it.info.domain});
    }
    std::vector<Membership::Member> selected;
    for (const auto it : Routing::rendezvousSet(key, candidates, count)) {
        selected.push_back(members[it]);
    }
    return selected;
}

std::vector<Membership::Member> dispatchersOf(const ServiceView &service, const std::vector<Membership::Member> &serving)
{
    return rendezvousMembers(service.name, serving, static_cast<std::size_t>(service.service.dispatchers));
}

Traffic::Traffic(const Settings &settings, DrainingHandler onDraining, Usage::UsageSource self)
    : m_settings(settings)
    , m_onDraining(std::move(onDraining))
    , m_usage(std::move(self))
    , m_pool(static_cast<std::size_t>(settings.attemptThreads))
{
}

void Traffic::setConfig(std::shared_ptr<const RuntimeConfig> config)
{
    constexpr double percent = 100;
    const ServiceRunnerOptions options{.domain = m_settings.domain,
                                       .probesPerSecond = m_settings.probesPerSecond,
                                       .probeAfter = m_settings.probeAfter,
                                       .hedgeShare = static_cast<double>(m_settings.hedgePercent) / percent,
                                       .connectionDaemons = m_settings.connectionDaemons,
                                       .warmConnections = m_settings.warmConnections,
                                       .connectionIdleTimeout = m_settings.connectionIdleTimeout};
    {
        const std::unique_lock lock(m_mutex);
        m_config = std::move(config);
        for (const auto &[name, view] : m_config->services()) {
            auto &runner = m_runners[name];
            if (!runner) {
                runner = std::make_shared<ServiceRunner>(
                    name,
                    options,
                    m_pool,
                    ServiceRunnerHandlers{.onDraining = m_onDraining,
                                          .onProbed = [this](const std::string &service) { recordProbe(service); }});
            }
            runner->configure(view);
        }
    }
    updateDispatchers();
}

void Traffic::setMembers(std::vector<Membership::Member> serving, std::vector<Membership::Member> all)
{
    {
        const std::unique_lock lock(m_mutex);
        m_serving = std::move(serving);
        m_members = std::move(all);
    }
    updateDispatchers();
}

void Traffic::updateDispatchers()
{
    const std::shared_lock lock(m_mutex);
    if (!m_config) {
        return;
    }
    for (const auto &[name, view] : m_config->services()) {
        std::vector<std::string> names;
        for (const auto &it : dispatchersOf(view, m_serving)) {
            names.push_back(it.info.host);
        }
        m_runners.at(name)->setDispatchers(names, m_settings.host);
    }
}

void Traffic::setUpstreamDraining(std::string_view service, std::string_view upstream)
{
    if (const auto it = runner(service)) {
        it->setDraining(upstream, true);
    }
}

std::shared_ptr<const RuntimeConfig> Traffic::config() const
{
    const std::shared_lock lock(m_mutex);
    return m_config;
}

std::shared_ptr<ServiceRunner> Traffic::runner(std::string_view service) const
{
    const std::shared_lock lock(m_mutex);
    const auto it = m_runners.find(service);
    return it == m_runners.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<ServiceRunner>> Traffic::runners() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<std::shared_ptr<ServiceRunner>> result;
    for (const auto &[name, it] : m_runners) {
        result.push_back(it);
    }
    return result;
}

std::vector<Membership::Member> Traffic::serving() const
{
    const std::shared_lock lock(m_mutex);
    return m_serving;
}

std::vector<Membership::Member> Traffic::allMembers() const
{
    const std::shared_lock lock(m_mutex);
    return m_members;
}

void Traffic::recordProbe(const std::string &service)
{
    const auto current = config();
    const auto *view = current->findService(service);
    if (view != nullptr) {
        recordUsage({.owner = view->service.owner, .partner = std::string(probePartner), .service = service}, {.probes = 1});
    }
}

void Traffic::recordUsage(const Usage::UsageKey &key, const Usage::UsageCounters &counters)
{
    const std::lock_guard lock(m_usageMutex);
    m_usage.add(key, counters);
}

Usage::UsageTable Traffic::ownUsage() const
{
    const std::lock_guard lock(m_usageMutex);
    return m_usage.own();
}

Usage::UsageLedger Traffic::usage() const
{
    const std::lock_guard lock(m_usageMutex);
    return m_usage;
}

void Traffic::mergeUsage(const Usage::UsageSource &source, const Usage::UsageTable &table)
{
    const std::lock_guard lock(m_usageMutex);
    // Copies of this process's usage from peers are ignored, because only the process itself updates it.
    if (source != m_usage.self()) {
        m_usage.merge(source, table);
    }
}

}
