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

/// An entity in force and the offset of the note that last added or changed it.
struct VersionedEntity
{
    Entity entity;
    Offset revision = noOffset;
};

/// Reason for the rejection of a note; every process determines the same one.
enum class RejectionKind : std::uint8_t {
    AlreadyExists,
    DoesNotExist,
    /// The entity is in force at another revision than the one that the change is based on.
    StaleBase,
    /// An entity of the note refers to one that would not be in force.
    UnknownReference,
    /// An entity in force refers to a withdrawn one.
    StillReferenced,
    EmptyNote,
    /// Two changes of the note apply to the same entity.
    RepeatedKey,
};

/// Stable name of a rejection kind, used in logs and JSON.
std::string nameOf(RejectionKind kind);

/// One reason for the rejection of a note, with the entity concerned and details for the operator.
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

/// The changes of the note are in force.
struct Accepted
{
    std::string noteId;
};

/// The record at `firstOffset` already carried a note with this id; no entity changed.
struct Repeated
{
    std::string noteId;
    Offset firstOffset = noOffset;
};

/// The note is well formed but conflicts with the state; no entity changed.
struct Rejected
{
    std::string noteId;
    std::vector<Rejection> reasons;
};

/// The record is not a valid note in a known format; only the offset advanced.
struct Unreadable
{
    NoteError error;
};

/// Result of applying one record of the log.
using Verdict = std::variant<Accepted, Repeated, Rejected, Unreadable>;

/// Stored part of the verdict on one note, shown to operators and used to detect repeated notes.
struct NoteOutcome
{
    std::string id;
    std::string author;
    Offset offset = noOffset;
    bool accepted = false;
    /// Empty if the note was accepted.
    std::vector<Rejection> reasons;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, author, offset, accepted, reasons);
    }
};

/// Hash by which the states of different processes are compared.
using StateHash = std::uint64_t;

/// Reason for which a snapshot cannot be read.
enum class SnapshotError : std::uint8_t {
    /// The magic number is wrong.
    NotASnapshot,
    /// The format is not the one that this build reads.
    FutureFormat,
    /// The bytes cannot be decoded or contain an unknown entity kind.
    Damaged,
    /// The restored state has another hash than the one stored in the snapshot.
    HashMismatch,
};

/// Stable name of a snapshot error, used in logs.
std::string nameOf(SnapshotError error);

/// Configuration that results from applying the records of the log in order.
///
/// The result is deterministic: two states that applied the same records in the same order are equal and have equal hashes.
class ConfigState
{
public:
    /// Applies the record at `offset`, which must be greater than every offset applied before.
    Verdict apply(Offset offset, std::string_view record);

    /// Continues in a later era of the log, whose oldest retained record is at `firstRetained`.
    ///
    /// What is in force stays. The records whose notes may be unknown here follow the new offset; those known by their ids are repeats.
    void enterEra(Offset firstRetained);
    /// Ids of the notes accepted here that `later`, a state in a later era, lacks.
    std::vector<std::string> acceptedNotesMissingIn(const ConfigState &later) const;

    /// Offset of the last record applied; `noOffset` if there is none.
    Offset offset() const
    {
        return m_offset;
    }
    /// Era of the next record to apply.
    std::int64_t era() const
    {
        return eraOf(m_offset + 1);
    }
    /// Offset of the last accepted note; `noOffset` if there is none.
    Offset revision() const
    {
        return m_revision;
    }
    /// Hash over every entity with its revision and every stored outcome.
    StateHash hash() const;

    const std::map<EntityKey, VersionedEntity> &entities() const
    {
        return m_entities;
    }
    /// Outcomes of the latest notes, at most 4096, oldest first.
    const std::deque<NoteOutcome> &outcomes() const
    {
        return m_outcomes;
    }
    /// Outcome of the note with this id; null if none is stored.
    const NoteOutcome *findOutcome(std::string_view noteId) const;
    /// The entity in force under `key`; null if there is none.
    const VersionedEntity *find(const EntityKey &key) const;

    /// Checks a note against the current state without applying it; empty if there is no reason to reject it.
    ///
    /// Does not detect repeated note ids.
    std::vector<Rejection> check(const Note &note) const;

    /// Serializes the state in a binary format.
    std::string writeSnapshot() const;
    /// Restores a state that `writeSnapshot` serialized and verifies its hash.
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

/// Creates the note that makes `state` match the declarations; the note has no changes if the state matches already.
Note planNote(const ConfigState &state, const Declarations &declarations, std::string id, std::string author);

}

#endif
