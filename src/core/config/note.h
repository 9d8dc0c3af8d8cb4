#ifndef LABURNUMMAST_CORE_CONFIG_NOTE_H
#define LABURNUMMAST_CORE_CONFIG_NOTE_H

#include "core/config/entity.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Laburnummast::Config
{

/// Position of a record in the platform's log; also the revision of an entity that this record last changed.
///
/// The high bits hold the era of the log, the others the record's offset in its stream. A log that is restored from an older copy gives
/// offsets out again, but in a later era, so that positions still only grow.
using Offset = std::int64_t;

/// Offset that refers to no record.
constexpr Offset noOffset = -1;

constexpr int eraShift = 40;
constexpr std::int64_t maxEra = (std::int64_t{1} << (62 - eraShift)) - 1;

/// Position of the first record of a stream in an era.
constexpr Offset firstOffsetOf(std::int64_t era)
{
    return era << eraShift;
}

/// Era of a position.
constexpr std::int64_t eraOf(Offset offset)
{
    return offset >> eraShift;
}

/// Offset in the stream of a position.
constexpr std::int64_t streamOffsetOf(Offset offset)
{
    return offset & (firstOffsetOf(1) - 1);
}

/// Adds an entity that is not in force yet.
struct AddEntity
{
    EntityKey key;
    Entity entity;
};

/// Replaces an entity that is in force at revision `base`.
struct ChangeEntity
{
    EntityKey key;
    Offset base = noOffset;
    Entity entity;
};

/// Removes an entity that is in force at revision `base`.
struct WithdrawEntity
{
    EntityKey key;
    Offset base = noOffset;
};

using Change = std::variant<AddEntity, ChangeEntity, WithdrawEntity>;

/// Key of the entity that a change applies to; valid as long as the change.
const EntityKey &keyOf(const Change &change);

/// A release note: entities that an operator adds, changes and withdraws in one atomic step.
struct Note
{
    std::string id;
    std::string author;
    std::vector<Change> changes;
};

/// Note format that this build reads and writes.
constexpr std::int64_t noteFormat = 1;
/// Most bytes of a note; `ConfigState::apply` reads only this many bytes of a longer record.
constexpr std::size_t maxNoteBytes = 1 << 20;

/// The note has a later format than this build reads.
struct FutureFormat
{
    /// Format that the note states.
    std::int64_t format = 0;
};

/// Reason for which a note cannot be parsed.
using NoteError = std::variant<SettingErrors, FutureFormat>;

/// Parses a note; `source` names the text in errors.
Result<Note, NoteError> parseNote(std::string_view text, std::string_view source);

/// Writes a note as the text that `parseNote` reads.
std::string writeNote(const Note &note);

/// Declarations as kept in version control: the complete desired state.
struct Declarations
{
    std::vector<DeclaredEntity> entities;
};

/// Parses declarations; `source` names the text in errors.
Result<Declarations, SettingErrors> parseDeclarations(std::string_view text, std::string_view source);

}

#endif
