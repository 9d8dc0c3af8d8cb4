#ifndef LABURNUMMAST_CORE_CONFIG_CONFIGSTATE_H
#define LABURNUMMAST_CORE_CONFIG_CONFIGSTATE_H

#include "core/config/note.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Config
{

/// An entity in force, with the offset of the note that last wrote it.
struct VersionedEntity
{
    Entity entity;
    Offset revision = noOffset;
};

/// Why a note was rejected; the same on every process.
enum class RejectionKind : std::uint8_t {
    AlreadyExists,
    DoesNotExist,
    StaleBase,
    UnknownReference,
    StillReferenced,
    EmptyNote,
    RepeatedKey,
};

std::string nameOf(RejectionKind kind);

/// One reason for a rejection.
struct Rejection
{
    RejectionKind kind = RejectionKind::EmptyNote;
    EntityKey key;
    std::string detail;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, key, detail);
    }
};

/// The note is in force.
struct Accepted
{
    std::string noteId;
};

/// The note's id was seen before; nothing changed.
struct Repeated
{
    std::string noteId;
    Offset firstOffset = noOffset;
};

/// The note is well formed but does not fit the state.
struct Rejected
{
    std::string noteId;
    std::vector<Rejection> reasons;
};

/// The record is not a note of a known format.
struct Unreadable
{
    NoteFailure failure;
};

using Verdict = std::variant<Accepted, Repeated, Rejected, Unreadable>;

/// What became of one note, kept for operators and for recognising a repeat.
struct NoteOutcome
{
    std::string id;
    std::string author;
    Offset offset = noOffset;
    bool accepted = false;
    std::vector<Rejection> reasons;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, author, offset, accepted, reasons);
    }
};

using StateHash = std::uint64_t;

/// Why a snapshot could not be taken over.
enum class SnapshotError : std::uint8_t {
    NotASnapshot,
    FutureFormat,
    Damaged,
    HashMismatch,
};

std::string nameOf(SnapshotError error);

/// The configuration as a deterministic fold over the records of the log.
///
/// Two states that applied the same records in the same order are equal and have equal hashes.
class ConfigState
{
public:
    /// Applies the record at `offset`, which must lie above every offset applied before.
    Verdict apply(Offset offset, std::string_view record);

    /// Offset of the last record applied.
    Offset offset() const
    {
        return m_offset;
    }
    /// Offset of the last accepted note.
    Offset revision() const
    {
        return m_revision;
    }
    /// Hash over every entity with its revision and every remembered outcome.
    StateHash hash() const;

    const std::map<EntityKey, VersionedEntity> &entities() const
    {
        return m_entities;
    }
    const std::deque<NoteOutcome> &outcomes() const
    {
        return m_outcomes;
    }
    const NoteOutcome *findOutcome(std::string_view noteId) const;
    const VersionedEntity *find(const EntityKey &key) const;

    /// Checks a note against the present state without applying it.
    std::vector<Rejection> check(const Note &note) const;

    std::string writeSnapshot() const;
    static Result<ConfigState, SnapshotError> readSnapshot(std::string_view bytes);

private:
    void setEntity(const EntityKey &key, Entity entity, Offset revision);
    void removeEntity(const EntityKey &key);
    void recordOutcome(NoteOutcome outcome);

    std::map<EntityKey, VersionedEntity> m_entities;
    std::deque<NoteOutcome> m_outcomes;
    Offset m_offset = noOffset;
    Offset m_revision = noOffset;
    StateHash m_entityHash = 0;
    StateHash m_outcomeHash = 0;
};

/// The note that takes the state in force to the declarations; empty where nothing differs.
Note planNote(const ConfigState &state, const Declarations &declarations, std::string id, std::string author);

}

#endif
