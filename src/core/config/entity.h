#ifndef LABURNUMMAST_CORE_CONFIG_ENTITY_H
#define LABURNUMMAST_CORE_CONFIG_ENTITY_H

#include "core/config/sectionreader.h"
#include "core/millis.h"
#include "core/priority.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Config
{

/// A party that shares the system and its cost.
struct Owner
{
    /// Name to show to people.
    std::string display;
    /// Share of capacity relative to other owners.
    std::int64_t weight = 1;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        visitor.field("display", display, Presence::Optional);
        visitor.field("weight", weight, Range{1, 1000}, Presence::Optional);
    }
};

/// A caller that belongs to an owner and is identified by the hash of its credential.
struct Partner
{
    std::string owner;
    std::string credentialSha256;
    /// Share of the owner's capacity relative to its other partners.
    std::int64_t weight = 1;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        visitor.field("owner", owner, Presence::Required);
        visitor.field("credential_sha256", credentialSha256, Presence::Required);
        visitor.field("weight", weight, Range{1, 1000}, Presence::Optional);
    }
};

/// A set of upstreams that answer the same calls.
struct Service
{
    std::string owner;
    /// Number of daemons that dispatch the calls of the service.
    std::int64_t dispatchers = 4;
    /// Calls of one priority that may wait at one dispatcher.
    std::int64_t queueLimit = 2000;
    /// Retries allowed per 100 calls.
    std::int64_t retryPercent = 10;
    /// Times within which a call of each priority should be answered.
    Millis urgentTarget{500};
    Millis normalTarget{2000};
    Millis deferrableTarget{30000};
    /// Minimum shares of the dispatches for the lower priorities, however many more urgent calls wait.
    std::int64_t normalFloorPercent = 8;
    std::int64_t deferrableFloorPercent = 4;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        constexpr Range targetRange{1, 600000};
        constexpr Range percentRange{0, 50};
        visitor.field("owner", owner, Presence::Required);
        visitor.field("dispatchers", dispatchers, Range{1, 64}, Presence::Optional);
        visitor.field("queue_limit", queueLimit, Range{1, 100000}, Presence::Optional);
        visitor.field("retry_percent", retryPercent, percentRange, Presence::Optional);
        visitor.field("urgent_target_ms", urgentTarget, targetRange, Presence::Optional);
        visitor.field("normal_target_ms", normalTarget, targetRange, Presence::Optional);
        visitor.field("deferrable_target_ms", deferrableTarget, targetRange, Presence::Optional);
        visitor.field("normal_floor_percent", normalFloorPercent, percentRange, Presence::Optional);
        visitor.field("deferrable_floor_percent", deferrableFloorPercent, percentRange, Presence::Optional);
    }
};

/// One server that answers calls of a service.
struct Upstream
{
    std::string service;
    std::string host;
    std::int64_t port = 0;
    /// Failure domain.
    std::string domain;
    /// Calls that the upstream runs at the same time.
    std::int64_t slots = 3;
    /// Connections that the upstream accepts from all daemons together.
    std::int64_t connections = 250;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        visitor.field("service", service, Presence::Required);
        visitor.field("host", host, Presence::Required);
        visitor.field("port", port, Range{1, 65535}, Presence::Required);
        visitor.field("domain", domain, Presence::Required);
        visitor.field("slots", slots, Range{1, 1024}, Presence::Optional);
        visitor.field("connections", connections, Range{1, 65535}, Presence::Optional);
    }
};

/// Settings of a service for the calls with one method and path prefix.
struct Route
{
    std::string service;
    std::string method = "GET";
    /// Prefix of the paths that the route matches; the longest one wins.
    std::string prefix = "/";
    Priority priority = Priority::Normal;
    /// Whether a call may be executed more than once.
    bool idempotent = true;
    /// Time for a call; a caller may ask for a shorter one.
    Millis deadline{2000};
    /// Longest request body in bytes.
    std::int64_t maxBodyBytes = 1 << 20;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        constexpr Range deadlineRange{1, 600000};
        constexpr Range bodyRange{0, 64LL << 20};
        visitor.field("service", service, Presence::Required);
        visitor.choice("method", method, methodNames, Presence::Required);
        visitor.field("prefix", prefix, Presence::Required);
        visitor.choice("priority", priority, priorityNames, Presence::Required);
        visitor.field("idempotent", idempotent, Presence::Required);
        visitor.field("deadline_ms", deadline, deadlineRange, Presence::Optional);
        visitor.field("max_body_bytes", maxBodyBytes, bodyRange, Presence::Optional);
    }

    static constexpr std::array<std::string_view, 4> methodNames{"GET", "POST", "PUT", "DELETE"};
};

/// An entity of any kind.
using Entity = std::variant<Owner, Partner, Service, Upstream, Route>;

/// Kind of an entity; its value is the index of the type in `Entity`.
enum class EntityKind : std::uint8_t {
    Owner,
    Partner,
    Service,
    Upstream,
    Route,
};

/// Names of the kinds in section headers, indexed by `EntityKind`.
constexpr std::array<std::string_view, 5> entityKindNames{"owner", "partner", "service", "upstream", "route"};

/// Identifies an entity by its kind and name.
struct EntityKey
{
    EntityKind kind = EntityKind::Owner;
    std::string name;

    friend auto operator<=>(const EntityKey &, const EntityKey &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, name);
    }
};

/// Formats a key as `kind name`, as in a section header.
std::string describe(const EntityKey &key);

/// One field of an entity in its INI form.
struct FieldText
{
    std::string key;
    std::string value;

    friend bool operator==(const FieldText &, const FieldText &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, value);
    }
};

/// Reads an entity of `kind`; the reader collects the errors of its section.
Entity readEntity(EntityKind kind, SectionReader &reader);

/// Returns all fields of an entity in declaration order; `entityFromFields` restores the entity from them.
std::vector<FieldText> fieldsOf(const Entity &entity);

/// Restores an entity from the fields that `fieldsOf` returned; errors in them are not reported.
Entity entityFromFields(EntityKind kind, const std::vector<FieldText> &fields);

/// An entity of a declaration file and the line of its section.
struct DeclaredEntity
{
    EntityKey key;
    Entity entity;
    int line = 0;
};

}

#endif
