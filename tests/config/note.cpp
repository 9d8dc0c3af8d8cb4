#include "core/config/note.h"
#include "support/notes.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Config;
using namespace Laburnummast::Tests;

TEST_CASE("Parsing a written note returns the same note")
{
    Note note{.id = "n-1", .author = "ana", .changes = {}};
    const Route route{.service = "taquilla", .method = "POST", .prefix = "/r", .priority = Priority::Urgent, .idempotent = false};
    note.changes.emplace_back(AddEntity{.key = {EntityKind::Route, "taquilla/r"}, .entity = route});
    note.changes.emplace_back(ChangeEntity{.key = {EntityKind::Owner, "consorcio"}, .base = 7, .entity = Owner{.weight = 3}});
    note.changes.emplace_back(WithdrawEntity{.key = {EntityKind::Upstream, "taquilla-1"}, .base = 9});

    const auto text = writeNote(note);
    const auto read = parseNote(text, "note");
    REQUIRE(std::holds_alternative<Note>(read));
    const auto &reread = std::get<Note>(read);
    CHECK(reread.id == note.id);
    CHECK(reread.author == note.author);
    REQUIRE(reread.changes.size() == 3);
    CHECK(writeNote(reread) == text);
    CHECK(std::get<Route>(std::get<AddEntity>(reread.changes[0]).entity).priority == Priority::Urgent);
    CHECK(std::get<WithdrawEntity>(reread.changes[2]).base == 9);
}

TEST_CASE("All errors of a note are reported with their lines")
{
    const auto read = parseNote(
        "[note]\nformat = 1\nid = bad name!\n[added upstream u]\nservice = s\nhost = h\nport = 99999\n[removed owner o]\n", "n.ini");
    REQUIRE(std::holds_alternative<NoteError>(read));
    const auto &errors = std::get<SettingErrors>(std::get<NoteError>(read));
    REQUIRE(errors.size() == 4);
    CHECK(errors[0].key == "id");
    CHECK(errors[1].kind == SettingErrorKind::OutOfRange);
    CHECK(errors[1].line == 7);
    CHECK(errors[2].kind == SettingErrorKind::MissingKey);
    CHECK(errors[2].key == "domain");
    CHECK(errors[3].kind == SettingErrorKind::UnknownSection);
    CHECK(errors[3].line == 8);
}

TEST_CASE("A note in a later format is distinguished from a malformed note")
{
    const auto read = parseNote("[note]\nformat = 2\nnew_key = x\n[moved thing y]\n", "n.ini");
    REQUIRE(std::holds_alternative<NoteError>(read));
    CHECK(std::get<FutureFormat>(std::get<NoteError>(read)).format == 2);
}

TEST_CASE("A change without its base revision is an error")
{
    const auto read = parseNote(noteText("n", "[changed owner o]\nweight = 2\n"), "n.ini");
    const auto &errors = std::get<SettingErrors>(std::get<NoteError>(read));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].kind == SettingErrorKind::MissingKey);
    CHECK(errors[0].key == "base");
}
