#include "core/routes/routetable.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <xxhash.h>

namespace Laburnummast::Routes
{
namespace
{

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// A Host header may contain a port, which plays no part in the selection of a route.
std::string_view stripPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos ? host : host.substr(0, colon);
}

}

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceSpec> services,
                       const CallerLimits &limits,
                       std::shared_ptr<const Workspaces::WorkspaceTable> workspaces)
    : m_version(version)
    , m_limits(limits)
    , m_workspaces(std::move(workspaces))
    , m_routes(std::move(routes))
{
    for (auto &it : services) {
        m_services[it.name] = std::move(it);
    }
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_routesByHost[lowerCase(m_routes[i].host)][m_routes[i].pathPrefix] = i;
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto hostRoutes = m_routesByHost.find(lowerCase(stripPort(host)));
    if (hostRoutes == m_routesByHost.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the parts of the path up to each of its slashes can match; the longest is tried first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto it = hostRoutes->second.find(path.substr(0, slash + 1));
        if (it != hostRoutes->second.end()) {
            return &m_routes[it->second];
        }
    }
    return nullptr;
}

bool RouteTable::isMatchableHost(std::string_view host)
{
    return !host.empty() && stripPort(host) == host;
}

const ServiceSpec *RouteTable::service(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const WeightedService &selectService(const Route &route, std::string_view callId)
{
    const double totalWeight
        = std::accumulate(route.weightedServices.begin(), route.weightedServices.end(), 0.0, [](double sum, const WeightedService &it) {
              return sum + std::max(0.0, it.weight);
          });
    // Number of values of a 64-bit hash.
    constexpr double hashRange = 18446744073709551616.0;
    double remaining = totalWeight * (static_cast<double>(XXH3_64bits(callId.data(), callId.size())) / hashRange);
    const WeightedService *selected = &route.weightedServices.front();
    for (const auto &it : route.weightedServices) {
        if (it.weight <= 0) {
            continue;
        }
        selected = &it;
        remaining -= it.weight;
        if (remaining < 0) {
            break;
        }
    }
    return *selected;
}

}
