#include "core/config/configstate.h"
#include "support/notes.h"

#include <doctest/doctest.h>
#include <optional>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Config;
using namespace Laburnummast::Tests;

TEST_CASE("Entities of an accepted note are in force with the note's offset as revision")
{
    ConfigState state;
    CHECK(accepted(state.apply(4, noteText("a", addOwner("o") + addService("s", "o")))));
    CHECK(state.offset() == 4);
    CHECK(state.revision() == 4);
    const auto *service = state.find({EntityKind::Service, "s"});
    REQUIRE(service != nullptr);
    CHECK(service->revision == 4);
    CHECK(std::get<Service>(service->entity).owner == "o");
}

TEST_CASE("A note that is sent again after a lost answer changes nothing")
{
    ConfigState state;
    const auto text = noteText("a", addOwner("o"));
    state.apply(0, text);
    const auto verdict = state.apply(1, text);
    REQUIRE(std::holds_alternative<Repeated>(verdict));
    CHECK(std::get<Repeated>(verdict).firstOffset == 0);
    CHECK(state.revision() == 0);
}

TEST_CASE("Of two concurrent changes to one entity the later one in the log is rejected as based on a stale revision")
{
    ConfigState state;
    state.apply(0, noteText("base", addOwner("o")));
    CHECK(accepted(state.apply(1, noteText("ana", changeOwner("o", 0, 2)))));
    const auto verdict = state.apply(2, noteText("bob", changeOwner("o", 0, 3)));
    REQUIRE(std::holds_alternative<Rejected>(verdict));
    CHECK(reasonOf(verdict) == RejectionKind::StaleBase);
    CHECK(std::get<Owner>(state.find({EntityKind::Owner, "o"})->entity).weight == 2);
}

TEST_CASE("A note with one invalid change is rejected as a whole")
{
    ConfigState state;
    state.apply(0, noteText("base", addOwner("o")));
    const auto verdict = state.apply(1, noteText("half", addOwner("p") + addService("s", "nobody")));
    CHECK(reasonOf(verdict) == RejectionKind::UnknownReference);
    CHECK(state.find({EntityKind::Owner, "p"}) == nullptr);
}

TEST_CASE("An entity cannot be withdrawn while another one refers to it")
{
    ConfigState state;
    state.apply(0, noteText("base", addOwner("o") + addService("s", "o")));
    CHECK(reasonOf(state.apply(1, noteText("w", withdrawOwner("o", 0)))) == RejectionKind::StillReferenced);
    CHECK(accepted(state.apply(2, noteText("both", withdrawOwner("o", 0) + "[withdrawn service s]\nbase = 0\n"))));
    CHECK(state.entities().empty());
}

TEST_CASE("A note is rejected that adds an existing entity, changes a missing one, is empty or repeats a key")
{
    ConfigState state;
    state.apply(0, noteText("base", addOwner("o")));
    CHECK(reasonOf(state.apply(1, noteText("1", addOwner("o")))) == RejectionKind::AlreadyExists);
    CHECK(reasonOf(state.apply(2, noteText("2", changeOwner("p", 0, 2)))) == RejectionKind::DoesNotExist);
    CHECK(reasonOf(state.apply(3, noteText("3", ""))) == RejectionKind::EmptyNote);
    CHECK(reasonOf(state.apply(4, noteText("4", changeOwner("o", 0, 2) + withdrawOwner("o", 0)))) == RejectionKind::RepeatedKey);
}

TEST_CASE("An unreadable record advances the offset and changes nothing else")
{
    ConfigState state;
    state.apply(0, noteText("base", addOwner("o")));
    const auto hash = state.hash();
    for (const auto *record : {"", "\x01\x02\xff", "[note]\nformat = 9\n", "[note]\nid = x\n"}) {
        CHECK(std::holds_alternative<Unreadable>(state.apply(state.offset() + 1, record)));
    }
    CHECK(state.hash() == hash);
    CHECK(state.offset() == 4);
    CHECK(accepted(state.apply(5, noteText("after", addOwner("p")))));
}

TEST_CASE("A state restored from a snapshot has the same hash, offset and note outcomes")
{
    ConfigState state;
    state.apply(0, noteText("a", addOwner("o") + addService("s", "o")));
    state.apply(1, noteText("b", changeOwner("o", 7, 2)));
    auto read = ConfigState::readSnapshot(state.writeSnapshot());
    REQUIRE(std::holds_alternative<ConfigState>(read));
    auto &copy = std::get<ConfigState>(read);
    CHECK(copy.hash() == state.hash());
    CHECK(copy.offset() == 1);
    CHECK(std::holds_alternative<Repeated>(copy.apply(2, noteText("a", addOwner("o")))));
    CHECK(copy.findOutcome("b")->reasons.at(0).kind == RejectionKind::StaleBase);
}

TEST_CASE("Reading a damaged snapshot returns an error")
{
    ConfigState state;
    state.apply(0, noteText("a", addOwner("o")));
    auto bytes = state.writeSnapshot();
    CHECK(std::get<SnapshotError>(ConfigState::readSnapshot("nonsense")) != SnapshotError::FutureFormat);
    CHECK(std::get<SnapshotError>(ConfigState::readSnapshot(bytes.substr(0, bytes.size() / 2))) == SnapshotError::Damaged);
    auto altered = bytes;
    const auto weightAt = altered.find("weight");
    altered[weightAt + 14] = altered[weightAt + 14] == '1' ? '2' : '1';
    CHECK(std::holds_alternative<SnapshotError>(ConfigState::readSnapshot(altered)));
}

TEST_CASE("After random notes a process that started from a snapshot has the same hash as one that applied all notes")
{
    rc::check([](const std::vector<std::uint8_t> &choices) {
        ConfigState original;
        std::optional<ConfigState> restored;
        const auto snapshotIndex = choices.empty() ? 0 : choices.front() % choices.size();
        for (std::size_t i = 0; i < choices.size(); ++i) {
            const auto name = "o" + std::to_string(choices[i] % 5);
            const auto *current = original.find({EntityKind::Owner, name});
            const auto base = current == nullptr ? 0 : current->revision - choices[i] % 2;
            const auto id = "n" + std::to_string(choices[i] % 3 == 0 ? i / 2 : i);
            const auto sections = current == nullptr ? addOwner(name)
                : choices[i] % 4 == 3                ? withdrawOwner(name, base)
                                                     : changeOwner(name, base, 1 + choices[i] % 9);
            const auto offset = static_cast<Offset>(2 * i);
            original.apply(offset, noteText(id, sections));
            if (restored) {
                restored->apply(offset, noteText(id, sections));
            } else if (i == snapshotIndex) {
                restored = std::get<ConfigState>(ConfigState::readSnapshot(original.writeSnapshot()));
            }
        }
        RC_ASSERT(!restored || restored->hash() == original.hash());
        RC_ASSERT(!restored || restored->entities().size() == original.entities().size());
    });
}

TEST_CASE("Random bytes are never read as a snapshot")
{
    rc::check([](const std::string &bytes) { RC_ASSERT(std::holds_alternative<SnapshotError>(ConfigState::readSnapshot(bytes))); });
}

TEST_CASE("A planned note makes the state match the declarations, and the next plan is empty")
{
    ConfigState state;
    state.apply(0, noteText("a", addOwner("o") + addOwner("gone") + addService("s", "o")));
    const auto declared = parseDeclarations("[owner o]\nweight = 4\n[service s]\nowner = o\n[owner fresh]\n", "d.ini");
    REQUIRE(std::holds_alternative<Declarations>(declared));
    const auto note = planNote(state, std::get<Declarations>(declared), "plan-1", "ana");
    CHECK(note.changes.size() == 3);
    CHECK(accepted(state.apply(1, writeNote(note))));
    CHECK(planNote(state, std::get<Declarations>(declared), "plan-2", "ana").changes.empty());
}

TEST_CASE("After a restore of the log every accepted note stays in force, and no note appended since is skipped")
{
    rc::check([](std::uint8_t appended, std::uint8_t kept, std::uint8_t appendedSince) {
        const std::size_t total = 1 + appended % 20;
        std::vector<std::string> log;
        ConfigState state;
        for (std::size_t i = 0; i < total; ++i) {
            log.push_back(noteText("n" + std::to_string(i), addOwner("o" + std::to_string(i))));
            state.apply(static_cast<Offset>(i), log.back());
        }
        log.resize(kept % (total + 1));
        for (int i = 0; i < appendedSince % 20; ++i) {
            log.push_back(noteText("since" + std::to_string(i), addOwner("p" + std::to_string(i))));
        }
        state.enterEra(firstOffsetOf(1));
        auto restarted = std::get<ConfigState>(ConfigState::readSnapshot(state.writeSnapshot()));
        for (auto *it : {&state, &restarted}) {
            for (auto next = streamOffsetOf(it->offset() + 1); next < static_cast<Offset>(log.size()); ++next) {
                it->apply(firstOffsetOf(1) + next, log[static_cast<std::size_t>(next)]);
            }
        }
        RC_ASSERT(state.entities().size() == total + appendedSince % 20);
        RC_ASSERT(state.era() == 1);
        RC_ASSERT(restarted.hash() == state.hash());
    });
}

TEST_CASE("A state of a later era that lacks an accepted note is recognized")
{
    ConfigState behind;
    behind.apply(0, noteText("base", addOwner("q")));
    auto ahead = behind;
    ahead.apply(1, noteText("lost", addOwner("r")));
    ahead.apply(2, noteText("rejected", addOwner("r")));
    behind.enterEra(firstOffsetOf(1));
    CHECK(ahead.acceptedNotesMissingIn(behind) == std::vector<std::string>{"lost"});
    behind.apply(firstOffsetOf(1) + 1, noteText("lost", addOwner("r")));
    CHECK(ahead.acceptedNotesMissingIn(behind).empty());
}

TEST_CASE("Positions of a later era are greater than all of an earlier one")
{
    CHECK(firstOffsetOf(0) == 0);
    CHECK(eraOf(firstOffsetOf(3) + 7) == 3);
    CHECK(streamOffsetOf(firstOffsetOf(3) + 7) == 7);
    CHECK(firstOffsetOf(1) > streamOffsetOf(-1));
    CHECK(firstOffsetOf(maxEra) > 0);
}
