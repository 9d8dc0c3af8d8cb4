#include "core/routes/configdifference.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace Laburnummast::Routes
{
namespace
{

using FieldValues = std::vector<std::pair<ConfigField, std::string>>;
/// All entries of a configuration, each with all its fields as text.
using Entries = std::map<ConfigPlace, FieldValues>;

// The shortest text from which the number can be read back, so that different numbers have different texts.
std::string toText(double value)
{
    std::array<char, 32> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), end};
}

std::string toText(Millis value)
{
    return toText(value.count) + "ms";
}

std::string toText(bool value)
{
    return value ? "true" : "false";
}

std::string kindOf(const Route &route)
{
    if (route.bulk) {
        return "bulk";
    }
    return route.idempotent ? "idempotent" : "not idempotent";
}

std::string describeServices(const Route &route)
{
    std::vector<std::string> parts;
    for (const auto &it : route.weightedServices) {
        parts.push_back(Text::concat(it.service, ":", toText(it.weight)));
    }
    return Text::join(parts, " ");
}

std::string describeKeys(const Workspaces::Workspace &workspace)
{
    std::set<std::string> digests;
    for (const auto &it : workspace.keys) {
        digests.insert(Text::concat("#", keyDigest(it)));
    }
    std::string text = Text::concat(workspace.keys.size(), workspace.keys.size() == 1 ? " key" : " keys");
    for (const auto &it : digests) {
        Text::append(text, " ", it);
    }
    return text;
}

FieldValues fieldsOf(const Route &route)
{
    return {{ConfigField::Host, route.host},
            {ConfigField::PathPrefix, route.pathPrefix},
            {ConfigField::Kind, kindOf(route)},
            {ConfigField::Timeout, toText(route.timeout)},
            {ConfigField::Objective, toText(route.objective)},
            {ConfigField::Priority, Text::concat(route.rank)},
            {ConfigField::MaxAttempts, Text::concat(route.maxAttempts)},
            {ConfigField::Public, toText(route.isPublic)},
            {ConfigField::Services, describeServices(route)}};
}

FieldValues fieldsOf(const ServiceSpec &service)
{
    return {{ConfigField::HealthPath, service.healthPath},
            {ConfigField::MaxConnections, Text::concat(service.maxConnections)},
            {ConfigField::WarmUp, toText(service.warmUp)},
            {ConfigField::ColdCallsPerSecond, toText(service.coldCallsPerSecond)}};
}

FieldValues fieldsOf(const Workspaces::Workspace &workspace)
{
    return {{ConfigField::Keys, describeKeys(workspace)},
            {ConfigField::Priority, Text::concat(workspace.rank)},
            {ConfigField::RatePerSecond, toText(workspace.ratePerSecond)},
            {ConfigField::Burst, toText(workspace.burst)}};
}

FieldValues fieldsOf(const CallerLimits &limits)
{
    return {{ConfigField::HeaderBytes, Text::concat(limits.headerBytes)},
            {ConfigField::BodyBytes, Text::concat(limits.bodyBytes)},
            {ConfigField::HeaderTimeout, toText(limits.headerTimeout)},
            {ConfigField::IdleTimeout, toText(limits.idleTimeout)}};
}

Entries entriesOf(const RouteTable &table)
{
    Entries entries;
    for (const auto &it : table.routes()) {
        entries[{.entry = ConfigEntry::Route, .name = it.name, .field = {}}] = fieldsOf(it);
    }
    for (const auto &[name, it] : table.services()) {
        entries[{.entry = ConfigEntry::Service, .name = name, .field = {}}] = fieldsOf(it);
    }
    if (table.workspaces()) {
        for (const auto &it : table.workspaces()->workspaces()) {
            entries[{.entry = ConfigEntry::Workspace, .name = it.name, .field = {}}] = fieldsOf(it);
        }
    }
    entries[{.entry = ConfigEntry::Limits, .name = {}, .field = {}}] = fieldsOf(table.limits());
    // Whether callers need credentials at all; an empty table of workspaces differs from none.
    entries[{.entry = ConfigEntry::Whole, .name = {}, .field = {}}] = {{ConfigField::Workspaces, table.workspaces() ? "present" : "none"}};
    return entries;
}

}

std::string_view nameOf(ConfigChange change)
{
    switch (change) {
    case ConfigChange::Added:
        return "added";
    case ConfigChange::Removed:
        return "removed";
    case ConfigChange::Changed:
        return "changed";
    }
    return "unknown";
}

std::vector<ConfigDifference> differencesBetween(const RouteTable &inForce, const RouteTable &next)
{
    const auto before = entriesOf(inForce);
    const auto after = entriesOf(next);
    std::vector<ConfigDifference> differences;
    for (const auto &[place, fields] : before) {
        const auto counterpart = after.find(place);
        if (counterpart == after.end()) {
            differences.push_back({.change = ConfigChange::Removed, .place = place, .before = {}, .after = {}});
            continue;
        }
        // Entries of one kind have the same fields in the same order.
        for (std::size_t i = 0; i < fields.size(); ++i) {
            const auto &[field, oldValue] = fields[i];
            const auto &newValue = counterpart->second[i].second;
            if (oldValue != newValue) {
                auto changedPlace = place;
                changedPlace.field = field;
                differences.push_back(
                    {.change = ConfigChange::Changed, .place = std::move(changedPlace), .before = oldValue, .after = newValue});
            }
        }
    }
    for (const auto &[place, fields] : after) {
        if (!before.contains(place)) {
            differences.push_back({.change = ConfigChange::Added, .place = place, .before = {}, .after = {}});
        }
    }
    std::stable_sort(differences.begin(), differences.end(), [](const auto &a, const auto &b) { return a.place < b.place; });
    return differences;
}

std::optional<ConfigFinding> checkVersion(const RouteTable &inForce, const RouteTable &next)
{
    const bool isHigher = next.version() > inForce.version();
    const bool isSame = next.version() == inForce.version() && differencesBetween(inForce, next).empty();
    if (isHigher || isSame) {
        return std::nullopt;
    }
    return ConfigFinding{.problem = ConfigProblem::VersionNotHigher,
                         .place = {.entry = ConfigEntry::Whole, .name = {}, .field = ConfigField::Version},
                         .detail = Text::concat(next.version(), ", in force ", inForce.version())};
}

}
