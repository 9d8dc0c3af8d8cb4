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

/// A partner as traffic needs it.
struct PartnerView
{
    std::string name;
    std::string owner;
    Dispatch::FlowId flow = 0;
    /// Share within its owner times the owner's share.
    double weight = 1;
};

struct UpstreamView
{
    std::string name;
    Config::Upstream upstream;
};

/// A service with what belongs to it.
struct ServiceView
{
    std::string name;
    Config::Service service;
    /// Longest prefix first.
    std::vector<Config::Route> routes;
    std::vector<UpstreamView> upstreams;

    const Config::Route *findRoute(std::string_view method, std::string_view path) const;
};

/// The configuration in force, laid out for traffic; never changes once built.
class RuntimeConfig
{
public:
    explicit RuntimeConfig(const Config::ConfigState &state);

    const ServiceView *findService(std::string_view name) const;
    /// The partner whose credential this is.
    const PartnerView *findPartner(std::string_view credential) const;
    const std::map<std::string, ServiceView, std::less<>> &services() const
    {
        return m_services;
    }
    Config::Offset offset() const
    {
        return m_offset;
    }
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
