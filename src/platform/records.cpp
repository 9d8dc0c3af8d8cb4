#include "platform/records.h"

#include "core/config/address.h"
#include "platform/settings.h"

#include <boost/asio/ip/address_v4.hpp>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace Laburnummast::Platform
{
namespace
{

using Json = nlohmann::json;

// Returns a discarded value, which is not an object, if the text is not JSON.
Json parseJson(std::string_view text)
{
    return Json::parse(text.begin(), text.end(), nullptr, false);
}

// Reads typed fields of a JSON object. A read that fails returns a default value, and error() holds the first failure.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : m_object(object)
    {
    }

    std::string text(const char *name)
    {
        const auto *value = find(name);
        if (!value || !value->is_string()) {
            return fail<std::string>(value);
        }
        return value->get<std::string>();
    }

    double number(const char *name, double minimum, double maximum)
    {
        const auto *value = find(name);
        if (!value || !value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
            return fail<double>(value);
        }
        return value->get<double>();
    }

    bool flag(const char *name)
    {
        const auto *value = find(name);
        return value && value->is_boolean() ? value->get<bool>() : fail<bool>(value);
    }

    Millis duration(const char *name)
    {
        const auto *value = find(name);
        const auto parsed = value && value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
        return parsed ? *parsed : fail<Millis>(value);
    }

    // Whether an optional field is present; null counts as missing.
    bool has(const char *name) const
    {
        return m_object.contains(name) && !m_object[name].is_null();
    }

    const std::optional<RecordError> &error() const
    {
        return m_error;
    }

private:
    const Json *find(const char *name) const
    {
        const auto it = m_object.find(name);
        return it == m_object.end() ? nullptr : &*it;
    }

    template <class T>
    T fail(const Json *value)
    {
        if (!m_error) {
            m_error = value ? RecordError::FieldInvalid : RecordError::FieldMissing;
        }
        return {};
    }

    const Json &m_object;
    std::optional<RecordError> m_error;
};

// Numbers are read as double; integers up to these limits fit in an int.
constexpr double maxSlots = 1e6;
constexpr double maxCount = 1e9;

// An address that can be connected to; empty if the text is none.
std::optional<Membership::Address> decodeAddress(std::string_view text)
{
    auto address = Config::parseAddress(text);
    boost::system::error_code ec;
    const bool usable = address && address->port > 0 && boost::asio::ip::make_address_v4(address->ip, ec).to_uint() != 0 && !ec;
    return usable ? address : std::nullopt;
}

Result<Routes::Route, RecordError> decodeRoute(const std::string &name, const Json &object)
{
    if (!object.is_object()) {
        return RecordError::FieldInvalid;
    }
    FieldReader fields(object);
    Routes::Route route;
    route.name = name;
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
        for (const auto &it : object["traffic-split"]) {
            if (!it.is_object()) {
                return RecordError::FieldInvalid;
            }
            FieldReader splitPart(it);
            route.weightedServices.push_back({.service = splitPart.text("service"), .weight = splitPart.number("weight", 0, maxCount)});
            if (splitPart.error()) {
                return *splitPart.error();
            }
        }
    } else {
        route.weightedServices.push_back({.service = fields.text("service"), .weight = 1});
    }
    if (fields.error()) {
        return *fields.error();
    }
    if (route.weightedServices.empty()) {
        return RecordError::FieldMissing;
    }
    // Calls of an unknown kind may not be safe to repeat, so they are executed at most once.
    route.idempotent = kind == "safe";
    route.bulk = kind == "upload";
    return route;
}

std::vector<Routes::ServiceSpec> decodeServices(const Json &object)
{
    std::vector<Routes::ServiceSpec> services;
    for (const auto &[name, it] : object.items()) {
        Routes::ServiceSpec spec{.name = name};
        if (it.is_object()) {
            FieldReader fields(it);
            spec.healthPath = fields.has("health-check-path") ? fields.text("health-check-path") : spec.healthPath;
            spec.maxConnections
                = fields.has("max-connections") ? static_cast<int>(fields.number("max-connections", 1, maxCount)) : spec.maxConnections;
            spec.warmUp = fields.has("warmup") ? fields.duration("warmup") : spec.warmUp;
            spec.coldCallsPerSecond = fields.has("cold-per-s") ? fields.number("cold-per-s", 0, maxCount) : spec.coldCallsPerSecond;
        }
        services.push_back(std::move(spec));
    }
    return services;
}

// The platform calls a workspace a tenant.
Result<Workspaces::Workspace, RecordError> decodeWorkspace(const std::string &name, const Json &object)
{
    if (!object.is_object()) {
        return RecordError::FieldInvalid;
    }
    FieldReader fields(object);
    Workspaces::Workspace workspace{.name = name};
    if (fields.has("api-keys")) {
        if (!object["api-keys"].is_array()) {
            return RecordError::FieldInvalid;
        }
        for (const auto &it : object["api-keys"]) {
            if (!it.is_string()) {
                return RecordError::FieldInvalid;
            }
            workspace.keys.push_back(it.get<std::string>());
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
    if (fields.error()) {
        return *fields.error();
    }
    return workspace;
}

Result<std::shared_ptr<const Workspaces::WorkspaceTable>, RecordError> decodeWorkspaces(const Json &object)
{
    if (!object.is_object()) {
        return RecordError::FieldInvalid;
    }
    std::vector<Workspaces::Workspace> workspaces;
    for (const auto &[name, it] : object.items()) {
        auto workspace = decodeWorkspace(name, it);
        if (const auto *error = std::get_if<RecordError>(&workspace)) {
            return *error;
        }
        workspaces.push_back(std::move(std::get<Workspaces::Workspace>(workspace)));
    }
    return std::make_shared<const Workspaces::WorkspaceTable>(std::move(workspaces));
}

// Returns the defaults of all limits if one of them cannot be read.
Routes::CallerLimits decodeLimits(const Json &object)
{
    Routes::CallerLimits limits;
    if (!object.is_object()) {
        return limits;
    }
    FieldReader fields(object);
    if (fields.has("max-header-bytes")) {
        limits.headerBytes = static_cast<std::uint32_t>(fields.number("max-header-bytes", 1, maxCount));
    }
    if (fields.has("max-body-bytes")) {
        limits.bodyBytes = static_cast<std::uint64_t>(fields.number("max-body-bytes", 1, std::numeric_limits<double>::max()));
    }
    if (fields.has("header-timeout")) {
        limits.headerTimeout = fields.duration("header-timeout");
    }
    if (fields.has("idle-timeout")) {
        limits.idleTimeout = fields.duration("idle-timeout");
    }
    return fields.error() ? Routes::CallerLimits{} : limits;
}

}

std::string_view nameOf(RecordError error)
{
    switch (error) {
    case RecordError::Unreadable:
        return "unreadable";
    case RecordError::FieldMissing:
        return "field-missing";
    case RecordError::FieldInvalid:
        return "field-of-other-type";
    case RecordError::UnknownWord:
        return "unknown-word";
    }
    return "unknown";
}

// The platform calls the record of the routes config.
std::string_view routesKey()
{
    return "config";
}

std::optional<std::string_view> evacuatedDomain(std::string_view key)
{
    constexpr std::string_view prefix = "evacuate/";
    return key.starts_with(prefix) && key.size() > prefix.size() ? std::optional(key.substr(prefix.size())) : std::nullopt;
}

Result<Fleet::UpstreamRecord, RecordError> decodeUpstream(std::string_view key, std::string_view value)
{
    const auto json = parseJson(value);
    if (!json.is_object()) {
        return RecordError::Unreadable;
    }
    FieldReader fields(json);
    Fleet::UpstreamRecord record;
    record.id = key;
    record.service = fields.text("service");
    const auto address = decodeAddress(fields.text("address"));
    // The platform calls a failure domain a zone.
    record.domain = fields.text("zone");
    record.slots = static_cast<int>(fields.number("slots", 1, maxSlots));
    const auto state = fields.text("state");
    // In this record the version is that of the upstream's software, not of the record.
    if (fields.has("version")) {
        record.softwareVersion = fields.text("version");
    }
    // Remaining warm-up time as of the record.
    if (fields.has("cold-remaining")) {
        record.warmUpRemaining = fields.duration("cold-remaining");
    }
    // Unix time in milliseconds at which the upstream that wrote the record started, not the time of the record.
    if (fields.has("born")) {
        record.startedAt = static_cast<std::int64_t>(fields.number("born", 0, 1e15));
    }
    if (fields.error()) {
        return *fields.error();
    }
    if (!address) {
        return RecordError::FieldInvalid;
    }
    if (state != "ready" && state != "draining") {
        return RecordError::UnknownWord;
    }
    record.address = *address;
    record.draining = state == "draining";
    return record;
}

Result<Routes::RouteTable, RecordError> decodeRoutes(std::string_view value)
{
    const auto json = parseJson(value);
    if (!json.is_object()) {
        return RecordError::Unreadable;
    }
    FieldReader fields(json);
    const auto version = fields.number("version", 0, 9e15);
    if (fields.error()) {
        return *fields.error();
    }
    if (!json.contains("routes") || !json.contains("services")) {
        return RecordError::FieldMissing;
    }
    if (!json["routes"].is_object() || !json["services"].is_object()) {
        return RecordError::FieldInvalid;
    }
    std::vector<Routes::Route> routes;
    for (const auto &[name, it] : json["routes"].items()) {
        auto route = decodeRoute(name, it);
        if (const auto *error = std::get_if<RecordError>(&route)) {
            return *error;
        }
        routes.push_back(std::move(std::get<Routes::Route>(route)));
    }
    std::shared_ptr<const Workspaces::WorkspaceTable> workspaces;
    if (fields.has("tenants")) {
        auto decoded = decodeWorkspaces(json["tenants"]);
        if (const auto *error = std::get_if<RecordError>(&decoded)) {
            return *error;
        }
        workspaces = std::move(std::get<std::shared_ptr<const Workspaces::WorkspaceTable>>(decoded));
    }
    return Routes::RouteTable(static_cast<std::uint64_t>(version),
                              std::move(routes),
                              decodeServices(json["services"]),
                              json.contains("limits") ? decodeLimits(json["limits"]) : Routes::CallerLimits{},
                              std::move(workspaces));
}

}
