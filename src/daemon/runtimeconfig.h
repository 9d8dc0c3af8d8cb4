#ifndef LABURNUMMAST_DAEMON_RUNTIMECONFIG_H
#define LABURNUMMAST_DAEMON_RUNTIMECONFIG_H

#include "core/config/configstate.h"
#include "core/dispatch/call.h"
#include "core/membership/member.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Laburnummast::Daemon
{

/// A partner, with its values for fair queueing.
struct PartnerView
{
    std::string name;
    std::string owner;
    /// Fair-queueing flow of the partner's calls.
    Dispatch::FlowId flow = 0;
    /// Share of the partner within its owner, multiplied by the weight of the owner.
    double weight = 1;
};

/// An upstream and its name.
struct UpstreamView
{
    std::string name;
    Config::Upstream upstream;
};

/// A service with its routes and upstreams.
struct ServiceView
{
    std::string name;
    Config::Service service;
    /// Sorted by the length of the prefix, longest first.
    std::vector<Config::Route> routes;
    std::vector<UpstreamView> upstreams;

    /// The route with the longest matching prefix; null if there is none.
    const Config::Route *findRoute(std::string_view method, std::string_view path) const;
};

/// Immutable snapshot of the configuration, indexed for call handling.
class RuntimeConfig
{
public:
    explicit RuntimeConfig(const Config::ConfigState &state);

    /// The named service; null if it is unknown.
    const ServiceView *findService(std::string_view name) const;
    /// The partner with this credential; null if there is none.
    const PartnerView *findPartner(std::string_view credential) const;
    const std::map<std::string, ServiceView, std::less<>> &services() const
    {
        return m_services;
    }
    /// Offset in the log up to which the configuration has been applied.
    Config::Offset offset() const
    {
        return m_offset;
    }
    /// Offset of the last accepted note in the configuration.
    Config::Offset revision() const
    {
        return m_revision;
    }

private:
    void addPartners(const Config::ConfigState &state);

    std::map<std::string, ServiceView, std::less<>> m_services;
    std::unordered_map<std::string, PartnerView> m_partnersByCredentialHash;
    Config::Offset m_offset;
    Config::Offset m_revision;
};

}

#endif
