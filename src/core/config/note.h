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

/// Position of a record in the platform's log; the revision of what the record last changed.
using Offset = std::int64_t;

constexpr Offset noOffset = -1;

struct AddEntity
{
    EntityKey key;
    Entity entity;
};

struct ChangeEntity
{
    EntityKey key;
    Offset base = noOffset;
    Entity entity;
};

struct WithdrawEntity
{
    EntityKey key;
    Offset base = noOffset;
};

using Change = std::variant<AddEntity, ChangeEntity, WithdrawEntity>;

const EntityKey &keyOf(const Change &change);

/// A release note: what an operator adds, changes and withdraws in one step.
struct Note
{
    std::string id;
    std::string author;
    std::vector<Change> changes;
};

/// The format number this build reads and writes.
constexpr std::int64_t noteFormat = 1;
constexpr std::size_t maxNoteBytes = 1 << 20;

/// A note of a later format than this build knows.
struct FutureFormat
{
    std::int64_t format = 0;
};

using NoteFailure = std::variant<SettingErrors, FutureFormat>;

Result<Note, NoteFailure> parseNote(std::string_view text, std::string_view source);

std::string writeNote(const Note &note);

/// Declarations as kept in version control: the whole wished state.
struct Declarations
{
    std::vector<DeclaredEntity> entities;
};

Result<Declarations, SettingErrors> parseDeclarations(std::string_view text, std::string_view source);

}

#endif
