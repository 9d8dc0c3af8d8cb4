#include "core/config/configstate.h"

#include "core/text.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <set>
#include <sstream>
#include <xxhash.h>

namespace Laburnummast::Config
{
namespace
{

// After a lost answer a note is repeated within minutes; this many outcomes cover more than half a day of changes.
constexpr std::size_t maxOutcomes = 4096;
constexpr std::uint32_t snapshotMagic = 0x4c424d53;
constexpr std::uint32_t snapshotFormat = 1;

StateHash hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

StateHash hashOf(const EntityKey &key, const VersionedEntity &entity)
{
    std::string text = Text::concat(describe(key), "\n", entity.revision, "\n");
    for (const auto &it : fieldsOf(entity.entity)) {
        Text::append(text, it.key, "=", it.value, "\n");
    }
    return hashText(text);
}

StateHash hashOf(const NoteOutcome &outcome)
{
    return hashText(Text::concat(outcome.id, "\n", outcome.offset, "\n", outcome.accepted ? 1 : 0));
}

// Keys of the entities that an entity refers to.
std::vector<EntityKey> referencesOf(const Entity &entity)
{
    const auto owner = [](const std::string &name) { return EntityKey{.kind = EntityKind::Owner, .name = name}; };
    const auto service = [](const std::string &name) { return EntityKey{.kind = EntityKind::Service, .name = name}; };
    return std::visit(Overloaded{[](const Owner &) { return std::vector<EntityKey>{}; },
                                 [&](const Partner &it) { return std::vector{owner(it.owner)}; },
                                 [&](const Service &it) { return std::vector{owner(it.owner)}; },
                                 [&](const Upstream &it) { return std::vector{service(it.service)}; },
                                 [&](const Route &it) { return std::vector{service(it.service)}; }},
                      entity);
}

// The entity that a change puts in force; null for a withdrawal.
const Entity *resultingEntityOf(const Change &change)
{
    return std::visit(Overloaded{[](const WithdrawEntity &) -> const Entity * { return nullptr; },
                                 [](const auto &it) -> const Entity * { return &it.entity; }},
                      change);
}

// Serialized form of one entity in a snapshot.
struct EntityRecord
{
    EntityKey key;
    Offset revision = noOffset;
    std::vector<FieldText> fields;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, revision, fields);
    }
};

// Serialized form of a snapshot after its magic number and format.
struct SnapshotRecord
{
    Offset offset = noOffset;
    Offset revision = noOffset;
    StateHash hash = 0;
    std::vector<EntityRecord> entities;
    std::deque<NoteOutcome> outcomes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, revision, hash, entities, outcomes);
    }
};

bool isValidKind(EntityKind kind)
{
    return static_cast<std::size_t>(kind) < entityKindNames.size();
}

// Collects every reason for which a note cannot be applied to a state.
class NoteValidator
{
public:
    NoteValidator(const ConfigState &state, const Note &note)
        : m_state(state)
        , m_note(note)
    {
    }

    std::vector<Rejection> run()
    {
        if (m_note.changes.empty()) {
            reject(RejectionKind::EmptyNote, {}, "the note changes nothing");
        }
        for (const auto &it : m_note.changes) {
            checkKeyUnique(keyOf(it));
            std::visit([this](const auto &change) { checkPrecondition(change); }, it);
        }
        for (const auto &it : m_note.changes) {
            checkReferences(it);
        }
        checkReferrers();
        return std::move(m_rejections);
    }

private:
    void reject(RejectionKind kind, const EntityKey &key, std::string detail)
    {
        m_rejections.push_back({.kind = kind, .key = key, .detail = std::move(detail)});
    }

    void checkKeyUnique(const EntityKey &key)
    {
        if (!m_changedKeys.insert(key).second) {
            reject(RejectionKind::RepeatedKey, key, "named twice in one note");
        }
    }

    void checkPrecondition(const AddEntity &change)
    {
        if (const auto *it = m_state.find(change.key)) {
            reject(RejectionKind::AlreadyExists, change.key, Text::concat("in force at revision ", it->revision));
        }
        m_addedKeys.insert(change.key);
    }

    void checkPrecondition(const ChangeEntity &change)
    {
        checkRevision(change.key, change.base);
    }

    void checkPrecondition(const WithdrawEntity &change)
    {
        checkRevision(change.key, change.base);
        m_withdrawnKeys.insert(change.key);
    }

    void checkRevision(const EntityKey &key, Offset base)
    {
        const auto *it = m_state.find(key);
        if (it == nullptr) {
            reject(RejectionKind::DoesNotExist, key, "not in force");
        } else if (it->revision != base) {
            reject(RejectionKind::StaleBase, key, Text::concat("based on ", base, ", in force at ", it->revision));
        }
    }

    void checkReferences(const Change &change)
    {
        const auto *entity = resultingEntityOf(change);
        if (entity == nullptr) {
            return;
        }
        for (const auto &it : referencesOf(*entity)) {
            const bool exists = m_state.find(it) != nullptr || m_addedKeys.contains(it);
            if (!exists || m_withdrawnKeys.contains(it)) {
                reject(RejectionKind::UnknownReference, keyOf(change), Text::concat("names ", describe(it)));
            }
        }
    }

    // Entities that the note does not change must not refer to a withdrawn one.
    void checkReferrers()
    {
        if (m_withdrawnKeys.empty()) {
            return;
        }
        for (const auto &[key, value] : m_state.entities()) {
            if (m_changedKeys.contains(key)) {
                continue;
            }
            for (const auto &it : referencesOf(value.entity)) {
                if (m_withdrawnKeys.contains(it)) {
                    reject(RejectionKind::StillReferenced, it, Text::concat("named by ", describe(key)));
                }
            }
        }
    }

    const ConfigState &m_state;
    const Note &m_note;
    std::set<EntityKey> m_changedKeys;
    std::set<EntityKey> m_addedKeys;
    std::set<EntityKey> m_withdrawnKeys;
    std::vector<Rejection> m_rejections;
};

}

std::string nameOf(RejectionKind kind)
{
    switch (kind) {
    case RejectionKind::AlreadyExists:
        return "already-exists";
    case RejectionKind::DoesNotExist:
        return "does-not-exist";
    case RejectionKind::StaleBase:
        return "stale-base";
    case RejectionKind::UnknownReference:
        return "unknown-reference";
    case RejectionKind::StillReferenced:
        return "still-referenced";
    case RejectionKind::EmptyNote:
        return "empty-note";
    case RejectionKind::RepeatedKey:
        return "repeated-key";
    }
    return "unknown";
}

std::string nameOf(SnapshotError error)
{
    switch (error) {
    case SnapshotError::NotASnapshot:
        return "not-a-snapshot";
    case SnapshotError::FutureFormat:
        return "future-format";
    case SnapshotError::Damaged:
        return "damaged";
    case SnapshotError::HashMismatch:
        return "hash-mismatch";
    }
    return "unknown";
}

Verdict ConfigState::apply(Offset offset, std::string_view record)
{
    m_offset = offset;
    auto parsed = parseNote(record.substr(0, maxNoteBytes), "note");
    if (auto *error = std::get_if<NoteError>(&parsed)) {
        return Unreadable{.error = std::move(*error)};
    }
    auto &note = std::get<Note>(parsed);
    if (const auto *it = findOutcome(note.id)) {
        return Repeated{.noteId = note.id, .firstOffset = it->offset};
    }
    auto reasons = check(note);
    const bool accepted = reasons.empty();
    recordOutcome({.id = note.id, .author = note.author, .offset = offset, .accepted = accepted, .reasons = reasons});
    if (!accepted) {
        return Rejected{.noteId = note.id, .reasons = std::move(reasons)};
    }
    for (auto &change : note.changes) {
        std::visit(Overloaded{[&](AddEntity &it) { setEntity(it.key, std::move(it.entity), offset); },
                              [&](ChangeEntity &it) { setEntity(it.key, std::move(it.entity), offset); },
                              [&](WithdrawEntity &it) { removeEntity(it.key); }},
                   change);
    }
    m_revision = offset;
    return Accepted{.noteId = note.id};
}

void ConfigState::enterEra(Offset firstRetained)
{
    const auto knownRecords = streamOffsetOf(m_offset + 1);
    // Without stored outcomes, notes would be applied a second time, so no record before the oldest outcome is read again.
    const auto oldestOutcome = m_outcomes.size() < maxOutcomes ? 0 : streamOffsetOf(m_outcomes.front().offset);
    const auto next = std::max(oldestOutcome, std::min(knownRecords, streamOffsetOf(firstRetained)));
    m_offset = firstOffsetOf(eraOf(firstRetained)) + next - 1;
}

std::vector<std::string> ConfigState::acceptedNotesMissingIn(const ConfigState &later) const
{
    const auto oldestKept = later.m_outcomes.size() < maxOutcomes ? noOffset : later.m_outcomes.front().offset;
    std::vector<std::string> missing;
    for (const auto &it : m_outcomes) {
        if (it.accepted && it.offset >= oldestKept && later.findOutcome(it.id) == nullptr) {
            missing.push_back(it.id);
        }
    }
    return missing;
}

// The hashes of entities and outcomes are summed instead of chained, so that the cost of replacing one does not depend on their number.
StateHash ConfigState::hash() const
{
    return m_entityHash + 3 * m_outcomeHash;
}

const NoteOutcome *ConfigState::findOutcome(std::string_view noteId) const
{
    const auto hasId = [&](const NoteOutcome &outcome) { return outcome.id == noteId; };
    const auto it = std::find_if(m_outcomes.rbegin(), m_outcomes.rend(), hasId);
    return it == m_outcomes.rend() ? nullptr : &*it;
}

const VersionedEntity *ConfigState::find(const EntityKey &key) const
{
    const auto it = m_entities.find(key);
    return it == m_entities.end() ? nullptr : &it->second;
}

std::vector<Rejection> ConfigState::check(const Note &note) const
{
    return NoteValidator(*this, note).run();
}

void ConfigState::setEntity(const EntityKey &key, Entity entity, Offset revision)
{
    removeEntity(key);
    VersionedEntity value{.entity = std::move(entity), .revision = revision};
    m_entityHash += hashOf(key, value);
    m_entities.emplace(key, std::move(value));
}

void ConfigState::removeEntity(const EntityKey &key)
{
    const auto it = m_entities.find(key);
    if (it != m_entities.end()) {
        m_entityHash -= hashOf(it->first, it->second);
        m_entities.erase(it);
    }
}

void ConfigState::recordOutcome(NoteOutcome outcome)
{
    m_outcomeHash += hashOf(outcome);
    m_outcomes.push_back(std::move(outcome));
    if (m_outcomes.size() > maxOutcomes) {
        m_outcomeHash -= hashOf(m_outcomes.front());
        m_outcomes.pop_front();
    }
}

std::string ConfigState::writeSnapshot() const
{
    SnapshotRecord record{.offset = m_offset, .revision = m_revision, .hash = hash(), .entities = {}, .outcomes = m_outcomes};
    for (const auto &[key, value] : m_entities) {
        record.entities.push_back({.key = key, .revision = value.revision, .fields = fieldsOf(value.entity)});
    }
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(snapshotMagic, snapshotFormat, record);
    return stream.str();
}

Result<ConfigState, SnapshotError> ConfigState::readSnapshot(std::string_view bytes)
{
    std::istringstream stream{std::string(bytes)};
    SnapshotRecord record;
    try {
        std::uint32_t magic = 0;
        std::uint32_t format = 0;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(magic, format);
        if (magic != snapshotMagic) {
            return SnapshotError::NotASnapshot;
        }
        if (format != snapshotFormat) {
            return SnapshotError::FutureFormat;
        }
        archive(record);
    } catch (const std::exception &) {
        return SnapshotError::Damaged;
    }
    ConfigState state;
    for (const auto &it : record.entities) {
        if (!isValidKind(it.key.kind)) {
            return SnapshotError::Damaged;
        }
        state.setEntity(it.key, entityFromFields(it.key.kind, it.fields), it.revision);
    }
    for (auto &it : record.outcomes) {
        state.recordOutcome(std::move(it));
    }
    state.m_offset = record.offset;
    state.m_revision = record.revision;
    if (state.hash() != record.hash) {
        return SnapshotError::HashMismatch;
    }
    return state;
}

Note planNote(const ConfigState &state, const Declarations &declarations, std::string id, std::string author)
{
    Note note{.id = std::move(id), .author = std::move(author), .changes = {}};
    std::set<EntityKey> declaredKeys;
    for (const auto &it : declarations.entities) {
        declaredKeys.insert(it.key);
        const auto *current = state.find(it.key);
        if (current == nullptr) {
            note.changes.emplace_back(AddEntity{.key = it.key, .entity = it.entity});
        } else if (fieldsOf(current->entity) != fieldsOf(it.entity)) {
            note.changes.emplace_back(ChangeEntity{.key = it.key, .base = current->revision, .entity = it.entity});
        }
    }
    for (const auto &[key, value] : state.entities()) {
        if (!declaredKeys.contains(key)) {
            note.changes.emplace_back(WithdrawEntity{.key = key, .base = value.revision});
        }
    }
    return note;
}

}
