#include "cli/entrystate.h"

#include <doctest/doctest.h>

using namespace Laburnummast;

TEST_CASE("The state page of an entry daemon is converted to JSON")
{
    const auto state = Cli::entryStateAsJson("routes-version 7\nstore-away no\n"
                                             "topic routes position=12 known=yes\n"
                                             "upstream i-1 service=orders load=1+0/3x100@4ms\n"
                                             "upstream i-2 service=orders load=none/own=0\n");
    CHECK(state["routes-version"] == "7");
    CHECK(state["topic"][0]["position"] == "12");
    REQUIRE(state["upstream"].size() == 2);
    CHECK(state["upstream"][0]["name"] == "i-1");
    CHECK(state["upstream"][0]["load"] == "1+0/3x100@4ms");
    CHECK(state["upstream"][1]["load"] == "none/own=0");
}

TEST_CASE("An empty state page yields an empty JSON object")
{
    CHECK(Cli::entryStateAsJson("").empty());
}
