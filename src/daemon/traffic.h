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

/// Stands for no partner in the usage of measuring; no partner's name has brackets.
constexpr std::string_view probePartner = "(measuring)";

/// What control has told traffic: the configuration, the members, and a runner for each service.
class Traffic
{
public:
    using DrainingHandler = std::function<void(const std::string &service, const std::string &upstream)>;

    Traffic(const Settings &settings, DrainingHandler onDraining, Usage::UsageSource self);

    void setConfig(std::shared_ptr<const RuntimeConfig> config);
    void setMembers(std::vector<Membership::Member> serving, std::vector<Membership::Member> all);
    void setUpstreamDraining(std::string_view service, std::string_view upstream);

    std::shared_ptr<const RuntimeConfig> config() const;
    std::shared_ptr<ServiceRunner> runner(std::string_view service) const;
    std::vector<std::shared_ptr<ServiceRunner>> runners() const;
    /// Members that take new callers; this one too unless it leaves.
    std::vector<Membership::Member> serving() const;
    /// Everybody known, the gone included.
    std::vector<Membership::Member> allMembers() const;

    void recordUsage(const Usage::UsageKey &key, const Usage::UsageCounters &counters);
    Usage::UsageTable ownUsage() const;
    Usage::UsageLedger usage() const;
    void mergeUsage(const Usage::UsageSource &source, const Usage::UsageTable &table);

    WorkerPool &pool()
    {
        return m_pool;
    }

private:
    void updateDispatchers();
    /// Measuring is booked on the owner of what is measured.
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
    // Last, so that its threads end before anything they use.
    WorkerPool m_pool;
};

/// Members that rendezvous hashing chooses for a key, spread over failure domains.
std::vector<Membership::Member> rendezvousMembers(std::string_view key, const std::vector<Membership::Member> &members, std::size_t count);

/// Members that dispatch a service's calls, spread over failure domains.
std::vector<Membership::Member> dispatchersOf(const ServiceView &service, const std::vector<Membership::Member> &serving);

}

#endif
