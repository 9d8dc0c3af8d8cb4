#ifndef LABURNUMMAST_CORE_ROUTES_ROUTETABLE_H
#define LABURNUMMAST_CORE_ROUTES_ROUTETABLE_H

#include "core/routes/route.h"
#include "core/workspaces/workspacetable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Routes
{

/// Immutable table of the routes and services of one version.
class RouteTable
{
public:
    RouteTable() = default;
    /// `workspaces` is null if callers need no credential.
    RouteTable(std::uint64_t version,
               std::vector<Route> routes,
               std::vector<ServiceSpec> services,
               const CallerLimits &limits,
               std::shared_ptr<const Workspaces::WorkspaceTable> workspaces = nullptr);

    std::uint64_t version() const
    {
        return m_version;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }
    /// Null if callers need no credential on any route.
    const std::shared_ptr<const Workspaces::WorkspaceTable> &workspaces() const
    {
        return m_workspaces;
    }
    /// Finds the route of `host` with the longest prefix of `path`; null if none matches.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Finds a service by name; null if it is not in the table.
    const ServiceSpec *service(std::string_view name) const;
    const std::map<std::string, ServiceSpec, std::less<>> &services() const
    {
        return m_services;
    }
    const std::vector<Route> &routes() const
    {
        return m_routes;
    }
    /// Whether a route of this host can match: requests are looked up by their host without its port.
    static bool isMatchableHost(std::string_view host);
    std::size_t routeCount() const
    {
        return m_routes.size();
    }

private:
    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::shared_ptr<const Workspaces::WorkspaceTable> m_workspaces;
    std::vector<Route> m_routes;
    std::map<std::string, ServiceSpec, std::less<>> m_services;
    /// Indices into `m_routes` by lower-case host, then by path prefix.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_routesByHost;
};

/// Selects the service for a call in proportion to the weights; the same call id always selects the same service.
///
/// `route` must have at least one service.
const WeightedService &selectService(const Route &route, std::string_view callId);

}

#endif
