#ifndef LABURNUMMAST_DAEMON_TRAFFIC_H
#define LABURNUMMAST_DAEMON_TRAFFIC_H

#include "core/membership/member.h"
#include "core/usage/usageledger.h"
#include "daemon/runtimeconfig.h"
#include "daemon/servicerunner.h"
#include "daemon/settings.h"
#include "daemon/workerpool.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

/// Partner name under which probes are counted in the usage. It cannot collide with a real partner, whose name has no parentheses.
constexpr std::string_view probePartner = "(measuring)";

/// Shared state of call handling: the configuration in force, the members, a runner for each service, and usage.
///
/// Safe to use from several threads.
class Traffic
{
public:
    /// Called when an upstream reports that it drains.
    using DrainingHandler = std::function<void(const std::string &service, const std::string &upstream)>;

    Traffic(const Settings &settings, DrainingHandler onDraining, Usage::UsageSource self);

    /// Puts a configuration in force and updates the runners.
    void setConfig(std::shared_ptr<const RuntimeConfig> config);
    /// Sets the members that take new callers, and all known members.
    void setMembers(std::vector<Membership::Member> serving, std::vector<Membership::Member> all);
    /// Marks the upstream as draining, so that it gets no new calls of the service; does nothing if the service is unknown.
    void setUpstreamDraining(std::string_view service, std::string_view upstream);

    /// The configuration in force; null before the first one.
    std::shared_ptr<const RuntimeConfig> config() const;
    /// The runner of the service; null if the service is unknown.
    std::shared_ptr<ServiceRunner> runner(std::string_view service) const;
    /// The runners of all services.
    std::vector<std::shared_ptr<ServiceRunner>> runners() const;
    /// Members that take new callers, including this one unless it is leaving.
    std::vector<Membership::Member> serving() const;
    /// All known members, including those that are dead or have left.
    std::vector<Membership::Member> allMembers() const;

    /// Adds to the usage of this process.
    void recordUsage(const Usage::UsageKey &key, const Usage::UsageCounters &counters);
    /// Usage of this process.
    Usage::UsageTable ownUsage() const;
    /// Usage of this process and of those whose copies were received.
    Usage::UsageLedger usage() const;
    /// Merges a copy of the usage of another process; ignores one of this process.
    void mergeUsage(const Usage::UsageSource &source, const Usage::UsageTable &table);

    /// Threads that run attempts, probes and cancellations.
    WorkerPool &pool()
    {
        return m_pool;
    }

private:
    void updateDispatchers();
    /// Records a probe in the usage of the service's owner.
    void recordProbe(const std::string &service);

    Settings m_settings;
    DrainingHandler m_onDraining;
    mutable std::shared_mutex m_mutex;
    std::shared_ptr<const RuntimeConfig> m_config;
    std::map<std::string, std::shared_ptr<ServiceRunner>, std::less<>> m_runners;
    std::vector<Membership::Member> m_serving;
    std::vector<Membership::Member> m_members;
    mutable std::mutex m_usageMutex;
    Usage::UsageLedger m_usage;
    // Declared last, so that its threads end before the members that they use are destroyed.
    WorkerPool m_pool;
};

/// At most `count` members that rendezvous hashing selects for `key`, spread over failure domains.
std::vector<Membership::Member> rendezvousMembers(std::string_view key, const std::vector<Membership::Member> &members, std::size_t count);

/// Serving members that dispatch the calls of `service`, spread over failure domains.
std::vector<Membership::Member> dispatchersOf(const ServiceView &service, const std::vector<Membership::Member> &serving);

}

#endif
