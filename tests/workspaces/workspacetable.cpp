#include "core/workspaces/workspacetable.h"

#include <doctest/doctest.h>
#include <string>

using namespace Laburnummast::Workspaces;

// Guards against calls that are counted for, or let in by, a workspace that does not hold their key.
TEST_CASE("A key belongs to the workspace that holds it and to no other")
{
    const WorkspaceTable table({{.name = "north", .keys = {"n1", "n2"}, .rank = 1}, {.name = "south", .keys = {"s1"}}, {.name = "empty"}});
    REQUIRE(table.findByKey("n2") != nullptr);
    CHECK(table.findByKey("n2")->name == "north");
    CHECK(table.findByKey("s1")->name == "south");
    CHECK(table.findByKey("") == nullptr);
    CHECK(table.findByKey("n") == nullptr);
    CHECK(table.findByKey("N1") == nullptr);
    REQUIRE(table.find("empty") != nullptr);
    CHECK(table.keyCount() == 3);
}

TEST_CASE("A key of two workspaces lets no call in, whichever of them comes first")
{
    const WorkspaceTable table({{.name = "a", .keys = {"shared", "a1", "a1"}}, {.name = "b", .keys = {"b1", "shared"}}});
    CHECK(table.findByKey("shared") == nullptr);
    CHECK(table.findByKey("a1") != nullptr);
    CHECK(table.findByKey("b1") != nullptr);
    CHECK(table.ambiguousKeyCount() == 1);
}

TEST_CASE("Ten thousand keys of a thousand workspaces are all found")
{
    std::vector<Workspace> workspaces;
    for (int i = 0; i < 1000; ++i) {
        Workspace workspace{.name = "w" + std::to_string(i)};
        for (int k = 0; k < 10; ++k) {
            workspace.keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k));
        }
        workspaces.push_back(std::move(workspace));
    }
    const WorkspaceTable table(std::move(workspaces));
    CHECK(table.keyCount() == 10000);
    REQUIRE(table.findByKey("key-999-9") != nullptr);
    CHECK(table.findByKey("key-999-9")->name == "w999");
}
