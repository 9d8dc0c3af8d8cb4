#include "daemon/runtimeconfig.h"

#include "core/keyedhash.h"

#include <algorithm>
#include <xxhash.h>

namespace Laburnummast::Daemon
{
namespace
{

// Derived from the name, so that the flow of a partner stays the same when other partners are added or removed.
Dispatch::FlowId flowIdOf(std::string_view partner)
{
    return static_cast<Dispatch::FlowId>(XXH3_64bits(partner.data(), partner.size()));
}

}

const Config::Route *ServiceView::findRoute(std::string_view method, std::string_view path) const
{
    for (const auto &it : routes) {
        if (it.method == method && path.starts_with(it.prefix)) {
            return &it;
        }
    }
    return nullptr;
}

RuntimeConfig::RuntimeConfig(const Config::ConfigState &state)
    : m_offset(state.offset())
    , m_revision(state.revision())
{
    for (const auto &[key, value] : state.entities()) {
        if (const auto *service = std::get_if<Config::Service>(&value.entity)) {
            auto &view = m_services[key.name];
            view.name = key.name;
            view.service = *service;
        } else if (const auto *upstream = std::get_if<Config::Upstream>(&value.entity)) {
            m_services[upstream->service].upstreams.push_back({.name = key.name, .upstream = *upstream});
        } else if (const auto *route = std::get_if<Config::Route>(&value.entity)) {
            m_services[route->service].routes.push_back(*route);
        }
    }
    for (auto &[name, it] : m_services) {
        std::stable_sort(it.routes.begin(), it.routes.end(), [](const Config::Route &a, const Config::Route &b) {
            return a.prefix.size() > b.prefix.size();
        });
    }
    addPartners(state);
}

// An owner's weight is divided among its partners in proportion to their weights.
void RuntimeConfig::addPartners(const Config::ConfigState &state)
{
    std::map<std::string, double> ownerWeights;
    std::map<std::string, double> partnerWeights;
    for (const auto &[key, value] : state.entities()) {
        if (const auto *owner = std::get_if<Config::Owner>(&value.entity)) {
            ownerWeights[key.name] = static_cast<double>(owner->weight);
        } else if (const auto *partner = std::get_if<Config::Partner>(&value.entity)) {
            partnerWeights[partner->owner] += static_cast<double>(partner->weight);
        }
    }
    for (const auto &[key, value] : state.entities()) {
        if (const auto *partner = std::get_if<Config::Partner>(&value.entity)) {
            const double share = static_cast<double>(partner->weight) / partnerWeights[partner->owner];
            m_partnersByCredentialHash[partner->credentialSha256]
                = {.name = key.name, .owner = partner->owner, .flow = flowIdOf(key.name), .weight = share * ownerWeights[partner->owner]};
        }
    }
}

const ServiceView *RuntimeConfig::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const PartnerView *RuntimeConfig::findPartner(std::string_view credential) const
{
    const auto it = m_partnersByCredentialHash.find(sha256Hex(credential));
    return it == m_partnersByCredentialHash.end() ? nullptr : &it->second;
}

}
