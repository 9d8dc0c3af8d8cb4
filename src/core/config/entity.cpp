#include "core/config/entity.h"

#include "core/text.h"

#include <algorithm>

namespace Laburnummast::Config
{
namespace
{

// Extends a section reader to the value types that only entities use.
class EntityReader
{
public:
    explicit EntityReader(SectionReader &reader)
        : m_reader(reader)
    {
    }

    template <class... Arguments>
    void field(std::string_view key, Arguments &&...arguments)
    {
        m_reader.field(key, std::forward<Arguments>(arguments)...);
    }

    void choice(std::string_view key, std::string &value, std::span<const std::string_view> names, Presence presence)
    {
        const auto it = std::find(names.begin(), names.end(), value);
        auto index = static_cast<std::uint8_t>(it == names.end() ? 0 : it - names.begin());
        m_reader.choice(key, index, names, presence);
        value = names[index];
    }

    void choice(std::string_view key, Priority &value, std::span<const std::string_view> names, Presence presence)
    {
        auto index = static_cast<std::uint8_t>(value);
        m_reader.choice(key, index, names, presence);
        value = static_cast<Priority>(index);
    }

private:
    SectionReader &m_reader;
};

// Collects the fields of an entity in their INI form.
class EntityWriter
{
public:
    explicit EntityWriter(std::vector<FieldText> &fields)
        : m_fields(fields)
    {
    }

    void field(std::string_view key, const std::string &value, Presence /*presence*/)
    {
        addField(key, value);
    }
    void field(std::string_view key, std::int64_t value, Range /*range*/, Presence /*presence*/)
    {
        addField(key, Text::concat(value));
    }
    void field(std::string_view key, Millis value, Range /*range*/, Presence /*presence*/)
    {
        addField(key, Text::concat(static_cast<std::int64_t>(value.count)));
    }
    void field(std::string_view key, bool value, Presence /*presence*/)
    {
        addField(key, value ? "yes" : "no");
    }
    void choice(std::string_view key, const std::string &value, std::span<const std::string_view> /*names*/, Presence /*presence*/)
    {
        addField(key, value);
    }
    void choice(std::string_view key, Priority value, std::span<const std::string_view> names, Presence /*presence*/)
    {
        addField(key, std::string(names[indexOf(value)]));
    }

private:
    void addField(std::string_view key, std::string value)
    {
        m_fields.push_back({.key = std::string(key), .value = std::move(value)});
    }

    std::vector<FieldText> &m_fields;
};

template <class T>
Entity readEntityAs(SectionReader &reader)
{
    T value;
    EntityReader visitor(reader);
    value.visitFields(visitor);
    reader.rejectUnknownKeys();
    return value;
}

}

std::string describe(const EntityKey &key)
{
    return Text::concat(entityKindNames[static_cast<std::size_t>(key.kind)], " ", key.name);
}

Entity readEntity(EntityKind kind, SectionReader &reader)
{
    switch (kind) {
    case EntityKind::Owner:
        return readEntityAs<Owner>(reader);
    case EntityKind::Partner:
        return readEntityAs<Partner>(reader);
    case EntityKind::Service:
        return readEntityAs<Service>(reader);
    case EntityKind::Upstream:
        return readEntityAs<Upstream>(reader);
    case EntityKind::Route:
        return readEntityAs<Route>(reader);
    }
    return Owner{};
}

std::vector<FieldText> fieldsOf(const Entity &entity)
{
    std::vector<FieldText> fields;
    EntityWriter writer(fields);
    std::visit([&](auto value) { value.visitFields(writer); }, entity);
    return fields;
}

Entity entityFromFields(EntityKind kind, const std::vector<FieldText> &fields)
{
    IniSection section;
    for (const auto &it : fields) {
        section.entries.push_back({.key = it.key, .value = it.value});
    }
    SettingErrors errors;
    SectionReader reader(section, {}, errors);
    return readEntity(kind, reader);
}

}
