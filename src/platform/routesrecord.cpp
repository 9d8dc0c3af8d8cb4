#include "core/text.h"
#include "platform/fieldreader.h"
#include "platform/records.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Laburnummast::Platform
{
namespace
{

using Json = nlohmann::json;

// Numbers are read as double; integers up to this limit fit in an int.
constexpr double maxCount = 1e9;
// Integers up to these are exact as double.
constexpr double maxVersion = 9e15;
constexpr double maxBytes = 9e15;

void decodeSplit(const Json &parts, FieldReader &fields, Routes::Route &route)
{
    for (const auto &it : parts) {
        if (!it.is_object()) {
            fields.addProblem(RecordError::FieldInvalid, "traffic-split", "objects with service and weight");
            return;
        }
        FieldReader part(it);
        route.weightedServices.push_back({.service = part.text("service"), .weight = part.number("weight", 0, maxCount)});
        for (const auto &problem : part.problems()) {
            fields.addProblem(problem.error, "traffic-split." + problem.field, problem.expected);
        }
    }
    if (parts.empty()) {
        fields.addProblem(RecordError::FieldMissing, "traffic-split", "at least one service");
    }
}

Routes::Route decodeRoute(const std::string &name, const Json &object, ProblemCollector &problems)
{
    Routes::Route route;
    route.name = name;
    if (!object.is_object()) {
        problems.add({.error = RecordError::FieldInvalid, .entry = Routes::ConfigEntry::Route, .name = name, .expected = "an object"});
        return route;
    }
    FieldReader fields(object);
    route.host = fields.text("host");
    route.pathPrefix = fields.text("path-prefix");
    // "safe" may be repeated, "unsafe" and "upload" may not; an upload has a large body.
    const auto kind = fields.text("kind");
    route.timeout = fields.duration("timeout");
    if (fields.has("target-latency")) {
        route.objective = fields.duration("target-latency");
    }
    // As in Route::rank, 0 is the most urgent.
    if (fields.has("priority")) {
        route.rank = static_cast<int>(fields.number("priority", 0, maxCount));
    }
    if (fields.has("max-attempts")) {
        route.maxAttempts = static_cast<int>(fields.number("max-attempts", 1, maxCount));
    }
    if (fields.has("public")) {
        route.isPublic = fields.flag("public");
    }
    if (fields.has("traffic-split")) {
        decodeSplit(object["traffic-split"], fields, route);
    } else {
        route.weightedServices.push_back({.service = fields.text("service"), .weight = 1});
    }
    // Calls of an unknown kind may not be safe to repeat, so they are executed at most once.
    route.idempotent = kind == "safe";
    route.bulk = kind == "upload";
    if (!fields.error() && !route.idempotent && !route.bulk && kind != "unsafe") {
        fields.addProblem(RecordError::UnknownWord, "kind", "safe, unsafe or upload");
    }
    problems.addAll(fields, Routes::ConfigEntry::Route, name, true);
    return route;
}

// A field of a service that cannot be read has its default.
std::vector<Routes::ServiceSpec> decodeServices(const Json &object, ProblemCollector &problems)
{
    std::vector<Routes::ServiceSpec> services;
    for (const auto &[name, it] : object.items()) {
        Routes::ServiceSpec spec{.name = name};
        if (it.is_object()) {
            FieldReader fields(it);
            const auto text = [&](const char *field) { return fields.text(field); };
            const auto duration = [&](const char *field) { return fields.duration(field); };
            fields.update(spec.healthPath, "health-check-path", text);
            fields.update(spec.maxConnections, "max-connections", [&](const char *field) {
                return static_cast<int>(fields.number(field, 1, maxCount));
            });
            fields.update(spec.warmUp, "warmup", duration);
            fields.update(spec.coldCallsPerSecond, "cold-per-s", [&](const char *field) { return fields.number(field, 0, maxCount); });
            problems.addAll(fields, Routes::ConfigEntry::Service, name, false);
        } else {
            problems.add({.error = RecordError::FieldInvalid,
                          .entry = Routes::ConfigEntry::Service,
                          .name = name,
                          .expected = "an object",
                          .rejectsRecord = false});
        }
        services.push_back(std::move(spec));
    }
    return services;
}

// The platform calls a workspace a tenant.
Workspaces::Workspace decodeWorkspace(const std::string &name, const Json &object, ProblemCollector &problems)
{
    Workspaces::Workspace workspace{.name = name};
    if (!object.is_object()) {
        problems.add({.error = RecordError::FieldInvalid, .entry = Routes::ConfigEntry::Workspace, .name = name, .expected = "an object"});
        return workspace;
    }
    FieldReader fields(object);
    if (fields.has("api-keys")) {
        const auto &keys = object["api-keys"];
        if (!keys.is_array() || !std::all_of(keys.begin(), keys.end(), [](const Json &it) { return it.is_string(); })) {
            fields.addProblem(RecordError::FieldInvalid, "api-keys", "a list of strings");
        } else {
            workspace.keys = keys.get<std::vector<std::string>>();
        }
    }
    if (fields.has("priority")) {
        workspace.rank = static_cast<int>(fields.number("priority", 0, maxCount));
    }
    if (fields.has("rate-per-s")) {
        workspace.ratePerSecond = fields.number("rate-per-s", 0, maxCount);
    }
    if (fields.has("burst")) {
        workspace.burst = fields.number("burst", 0, maxCount);
    }
    problems.addAll(fields, Routes::ConfigEntry::Workspace, name, true);
    return workspace;
}

std::shared_ptr<const Workspaces::WorkspaceTable> decodeWorkspaces(const Json &object, ProblemCollector &problems)
{
    if (!object.is_object()) {
        problems.add({.error = RecordError::FieldInvalid, .field = "tenants", .expected = "an object"});
        return nullptr;
    }
    std::vector<Workspaces::Workspace> workspaces;
    for (const auto &[name, it] : object.items()) {
        workspaces.push_back(decodeWorkspace(name, it, problems));
    }
    return std::make_shared<const Workspaces::WorkspaceTable>(std::move(workspaces));
}

// Returns the defaults of all limits if one of them cannot be read.
Routes::CallerLimits decodeLimits(const Json &object, ProblemCollector &problems)
{
    Routes::CallerLimits limits;
    if (!object.is_object()) {
        problems.add(
            {.error = RecordError::FieldInvalid, .entry = Routes::ConfigEntry::Limits, .expected = "an object", .rejectsRecord = false});
        return limits;
    }
    FieldReader fields(object);
    if (fields.has("max-header-bytes")) {
        limits.headerBytes = static_cast<std::uint32_t>(fields.number("max-header-bytes", 1, maxCount));
    }
    if (fields.has("max-body-bytes")) {
        limits.bodyBytes = static_cast<std::uint64_t>(fields.number("max-body-bytes", 1, maxBytes));
    }
    if (fields.has("header-timeout")) {
        limits.headerTimeout = fields.duration("header-timeout");
    }
    if (fields.has("idle-timeout")) {
        limits.idleTimeout = fields.duration("idle-timeout");
    }
    return problems.addAll(fields, Routes::ConfigEntry::Limits, {}, false) ? Routes::CallerLimits{} : limits;
}

Routes::RouteTable decodeTable(const Json &json, ProblemCollector &problems)
{
    FieldReader fields(json);
    const auto version = fields.number("version", 0, maxVersion);
    for (const char *name : {"routes", "services"}) {
        if (!fields.has(name)) {
            fields.addProblem(json.contains(name) ? RecordError::FieldInvalid : RecordError::FieldMissing, name, "an object");
        } else if (!json[name].is_object()) {
            fields.addProblem(RecordError::FieldInvalid, name, "an object");
        }
    }
    // A null table is an error: taken for a missing one, it would let every caller in.
    const bool hasWorkspaces = fields.has("tenants") || json.contains("tenants");
    const bool hasLimits = fields.has("limits");
    if (problems.addAll(fields, Routes::ConfigEntry::Whole, {}, true)) {
        return {};
    }
    std::vector<Routes::Route> routes;
    for (const auto &[name, it] : json["routes"].items()) {
        routes.push_back(decodeRoute(name, it, problems));
    }
    auto workspaces = hasWorkspaces ? decodeWorkspaces(json["tenants"], problems) : nullptr;
    auto services = decodeServices(json["services"], problems);
    const auto limits = hasLimits ? decodeLimits(json["limits"], problems) : Routes::CallerLimits{};
    return {static_cast<std::uint64_t>(version), std::move(routes), std::move(services), limits, std::move(workspaces)};
}

}

std::string_view nameOf(Routes::ConfigField field)
{
    using enum Routes::ConfigField;
    switch (field) {
    case Version:
        return "version";
    case Host:
        return "host";
    case PathPrefix:
        return "path-prefix";
    case Kind:
        return "kind";
    case Timeout:
        return "timeout";
    case Objective:
        return "target-latency";
    case Priority:
        return "priority";
    case MaxAttempts:
        return "max-attempts";
    case Public:
        return "public";
    case Services:
        return "traffic-split";
    case HealthPath:
        return "health-check-path";
    case MaxConnections:
        return "max-connections";
    case WarmUp:
        return "warmup";
    case ColdCallsPerSecond:
        return "cold-per-s";
    case Keys:
        return "api-keys";
    case RatePerSecond:
        return "rate-per-s";
    case Burst:
        return "burst";
    case HeaderBytes:
        return "max-header-bytes";
    case BodyBytes:
        return "max-body-bytes";
    case HeaderTimeout:
        return "header-timeout";
    case IdleTimeout:
        return "idle-timeout";
    case Workspaces:
        return "tenants";
    }
    return "unknown";
}

Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value)
{
    std::vector<RecordProblem> ignored;
    return decodeRoutes(value, ignored);
}

Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value, std::vector<RecordProblem> &problems)
{
    const auto json = parseJson(value);
    if (!json.is_object()) {
        problems.push_back({.error = RecordError::Unreadable, .expected = "a JSON object"});
        return RecordError::Unreadable;
    }
    ProblemCollector collector;
    auto table = decodeTable(json, collector);
    const auto error = collector.error();
    auto found = collector.take();
    problems.insert(problems.end(), std::make_move_iterator(found.begin()), std::make_move_iterator(found.end()));
    if (error) {
        return *error;
    }
    return table;
}

std::vector<RecordProblem> findRepeatedNames(std::string_view value)
{
    struct Level
    {
        std::set<std::string> names;
        std::string current;
    };
    std::vector<Level> levels;
    std::vector<RecordProblem> problems;
    const auto onEvent = [&](int, Json::parse_event_t event, const Json &parsed) {
        if (event == Json::parse_event_t::object_start) {
            levels.emplace_back();
        } else if (event == Json::parse_event_t::object_end) {
            levels.pop_back();
        } else if (event == Json::parse_event_t::key) {
            auto &level = levels.back();
            level.current = parsed.get<std::string>();
            if (!level.names.insert(level.current).second) {
                std::vector<std::string> path;
                path.reserve(levels.size());
                for (const auto &it : levels) {
                    path.push_back(it.current);
                }
                problems.push_back(
                    {.error = RecordError::NameRepeated, .field = Text::join(path, "."), .expected = {}, .rejectsRecord = false});
            }
        }
        return true;
    };
    // A text that is no JSON is reported by decodeRoutes().
    const auto ignored = Json::parse(value.begin(), value.end(), onEvent, false);
    return problems;
}

}
