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

/// One of the parties that share the system and its bill.
struct Owner
{
    std::string display;
    std::int64_t weight = 1;

    template <class Visitor>
    void visitFields(Visitor &visitor)
    {
        visitor.field("display", display, Presence::Optional);
        visitor.field("weight", weight, Range{1, 1000}, Presence::Optional);
    }
};

/// A caller of an owner, known by the hash of its credential.
struct Partner
{
    std::string owner;
    std::string credentialSha256;
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
    std::int64_t dispatchers = 4;
    std::int64_t queueLimit = 2000;
    std::int64_t retryPercent = 10;
    Millis urgentTarget{500};
    Millis normalTarget{2000};
    Millis deferrableTarget{30000};
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
    std::string domain;
    std::int64_t slots = 3;
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

/// What a service promises for the calls of one method and path prefix.
struct Route
{
    std::string service;
    std::string method = "GET";
    std::string prefix = "/";
    Priority priority = Priority::Normal;
    bool idempotent = true;
    Millis deadline{2000};
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

/// Anything that declarations can declare.
using Entity = std::variant<Owner, Partner, Service, Upstream, Route>;

/// Kind of an entity; the value is the index in `Entity`.
enum class EntityKind : std::uint8_t {
    Owner,
    Partner,
    Service,
    Upstream,
    Route,
};

constexpr std::array<std::string_view, 5> entityKindNames{"owner", "partner", "service", "upstream", "route"};

/// Identity of an entity: its kind and its name.
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

/// `kind name`, as in a section header.
std::string describe(const EntityKey &key);

/// One field of an entity as written in INI.
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

/// Reads an entity of `kind` from a section; notes mistakes in `errors`.
Entity readEntity(EntityKind kind, SectionReader &reader);

/// Every field of an entity in its declared order; reading them back gives the same entity.
std::vector<FieldText> fieldsOf(const Entity &entity);

/// Builds an entity from fields written by `fieldsOf`.
Entity entityFromFields(EntityKind kind, const std::vector<FieldText> &fields);

/// An entity read from a declaration or a note, with its place.
struct DeclaredEntity
{
    EntityKey key;
    Entity entity;
    int line = 0;
};

}

#endif
