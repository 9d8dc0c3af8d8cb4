#include "core/routes/configcheck.h"

#include "core/text.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Laburnummast::Routes
{
namespace
{

bool isSpace(char c)
{
    return c == ' ' || (c >= '\t' && c <= '\r');
}

// Whether a header value can carry the key: visible ASCII characters only.
bool canBeSent(std::string_view key, std::size_t maxBytes)
{
    const auto isVisible = [](char c) { return c > ' ' && c < '\x7f'; };
    return !key.empty() && key.size() < maxBytes && std::all_of(key.begin(), key.end(), isVisible);
}

class Checker
{
public:
    Checker(const RouteTable &table, Millis quotaWindow)
        : m_table(table)
        , m_quotaWindow(quotaWindow)
    {
    }

    std::vector<ConfigFinding> run()
    {
        for (const auto &it : m_table.routes()) {
            checkMatching(it);
            checkTargets(it);
            checkRouteLimits(it);
        }
        for (const auto &[name, it] : m_table.services()) {
            checkService(it);
        }
        if (m_table.workspaces()) {
            checkWorkspaces(*m_table.workspaces());
        }
        checkCallerLimits(m_table.limits());
        std::stable_sort(m_findings.begin(), m_findings.end(), [](const auto &a, const auto &b) { return a.place < b.place; });
        return std::move(m_findings);
    }

private:
    void add(ConfigProblem problem, ConfigEntry entry, const std::string &name, std::optional<ConfigField> field, std::string detail = {})
    {
        m_findings.push_back({.problem = problem, .place = {.entry = entry, .name = name, .field = field}, .detail = std::move(detail)});
    }

    void addToRoute(const Route &route, ConfigProblem problem, ConfigField field, std::string detail = {})
    {
        add(problem, ConfigEntry::Route, route.name, field, std::move(detail));
    }

    void checkMatching(const Route &route)
    {
        const auto &prefix = route.pathPrefix;
        const auto isUnusable = [](char c) { return isSpace(c) || c == '?' || c == '#'; };
        if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
            addToRoute(route, ConfigProblem::PrefixWithoutSlashes, ConfigField::PathPrefix, prefix);
        } else if (std::any_of(prefix.begin(), prefix.end(), isUnusable)) {
            addToRoute(route, ConfigProblem::PrefixNeverSent, ConfigField::PathPrefix, prefix);
        }
        // The table itself tells which route of a host and prefix is in force.
        const auto *match = m_table.match(route.host, prefix);
        const bool hasSpace = std::any_of(route.host.begin(), route.host.end(), isSpace);
        if (hasSpace || !RouteTable::isMatchableHost(route.host)) {
            addToRoute(route, ConfigProblem::HostNeverSent, ConfigField::Host, route.host);
        } else if (match && match != &route && match->pathPrefix == prefix) {
            addToRoute(route, ConfigProblem::RouteShadowed, ConfigField::PathPrefix, match->name);
        }
    }

    void checkTargets(const Route &route)
    {
        double total = 0;
        std::set<std::string_view> seen;
        for (const auto &it : route.weightedServices) {
            total += std::max(0.0, it.weight);
            m_usedServices.insert(it.service);
            if (!seen.insert(it.service).second) {
                addToRoute(route, ConfigProblem::ServiceRepeated, ConfigField::Services, it.service);
            } else if (!m_table.service(it.service)) {
                addToRoute(route, ConfigProblem::ServiceUndefined, ConfigField::Services, it.service);
            }
        }
        if (total <= 0) {
            addToRoute(route, ConfigProblem::NoPositiveWeight, ConfigField::Services);
        }
    }

    void checkRouteLimits(const Route &route)
    {
        if (route.timeout <= 0_ms) {
            addToRoute(route, ConfigProblem::TimeoutZero, ConfigField::Timeout);
        } else if (route.objective > route.timeout) {
            addToRoute(route,
                       ConfigProblem::ObjectiveAboveTimeout,
                       ConfigField::Objective,
                       Text::concat(route.objective.count, "ms, timeout ", route.timeout.count, "ms"));
        }
        if (route.isPublic && !m_table.workspaces()) {
            addToRoute(route, ConfigProblem::PublicWithoutWorkspaces, ConfigField::Public);
        }
    }

    void checkService(const ServiceSpec &service)
    {
        const auto &path = service.healthPath;
        if (!m_usedServices.contains(service.name)) {
            add(ConfigProblem::ServiceUnused, ConfigEntry::Service, service.name, std::nullopt);
        }
        if (!path.starts_with('/') || std::any_of(path.begin(), path.end(), isSpace)) {
            add(ConfigProblem::HealthPathNeverAnswered, ConfigEntry::Service, service.name, ConfigField::HealthPath, path);
        }
        if (service.coldCallsPerSecond > 0 && service.warmUp <= 0_ms) {
            add(ConfigProblem::ColdLimitWithoutWarmUp, ConfigEntry::Service, service.name, ConfigField::ColdCallsPerSecond);
        }
    }

    void checkWorkspaces(const Workspaces::WorkspaceTable &table)
    {
        const auto &routes = m_table.routes();
        if (table.workspaces().empty() && std::any_of(routes.begin(), routes.end(), [](const Route &it) { return !it.isPublic; })) {
            add(ConfigProblem::NoWorkspace, ConfigEntry::Whole, {}, ConfigField::Workspaces);
        }
        std::map<std::string_view, std::vector<const Workspaces::Workspace *>> holders;
        for (const auto &it : table.workspaces()) {
            checkAllowance(it);
            checkKeys(it);
            for (const auto &key : std::set<std::string_view>(it.keys.begin(), it.keys.end())) {
                holders[key].push_back(&it);
            }
        }
        for (const auto &[key, workspaces] : holders) {
            for (std::size_t i = 0; workspaces.size() > 1 && i < workspaces.size(); ++i) {
                const auto &other = *workspaces[i == 0 ? 1 : 0];
                add(ConfigProblem::KeyShared,
                    ConfigEntry::Workspace,
                    workspaces[i]->name,
                    ConfigField::Keys,
                    Text::concat("key #", keyDigest(key), ", also held by ", other.name));
            }
        }
    }

    void checkKeys(const Workspaces::Workspace &workspace)
    {
        if (workspace.keys.empty()) {
            add(ConfigProblem::NoKeys, ConfigEntry::Workspace, workspace.name, ConfigField::Keys);
        }
        std::set<std::string_view> seen;
        for (const auto &it : workspace.keys) {
            if (!seen.insert(it).second) {
                add(ConfigProblem::KeyRepeated,
                    ConfigEntry::Workspace,
                    workspace.name,
                    ConfigField::Keys,
                    Text::concat("key #", keyDigest(it)));
            } else if (!canBeSent(it, m_table.limits().headerBytes)) {
                add(ConfigProblem::KeyNeverSent,
                    ConfigEntry::Workspace,
                    workspace.name,
                    ConfigField::Keys,
                    Text::concat("key #", keyDigest(it)));
            }
        }
    }

    void checkAllowance(const Workspaces::Workspace &workspace)
    {
        if (!workspace.isLimited()) {
            if (workspace.burst > 0) {
                add(ConfigProblem::BurstWithoutRate, ConfigEntry::Workspace, workspace.name, ConfigField::Burst);
            }
            return;
        }
        const double callsInWindow = workspace.ratePerSecond * (m_quotaWindow / 1_s) + workspace.burst;
        if (callsInWindow < 1) {
            add(ConfigProblem::RateNeverServed,
                ConfigEntry::Workspace,
                workspace.name,
                ConfigField::RatePerSecond,
                Text::concat(callsInWindow, " calls in ", m_quotaWindow.count, "ms"));
        }
    }

    void checkCallerLimits(const CallerLimits &limits)
    {
        const std::pair<ConfigField, bool> zeros[]{{ConfigField::HeaderBytes, limits.headerBytes == 0},
                                                   {ConfigField::BodyBytes, limits.bodyBytes == 0},
                                                   {ConfigField::HeaderTimeout, limits.headerTimeout <= 0_ms},
                                                   {ConfigField::IdleTimeout, limits.idleTimeout <= 0_ms}};
        for (const auto &[field, isZero] : zeros) {
            if (isZero) {
                add(ConfigProblem::LimitZero, ConfigEntry::Limits, {}, field);
            }
        }
    }

    const RouteTable &m_table;
    Millis m_quotaWindow;
    std::vector<ConfigFinding> m_findings;
    std::set<std::string_view> m_usedServices;
};

}

std::vector<ConfigFinding> checkConfig(const RouteTable &table, Millis quotaWindow)
{
    return Checker(table, quotaWindow).run();
}

}
