#include "core/routes/routetable.h"

#include <doctest/doctest.h>
#include <map>

using namespace Laburnummast;
using namespace Laburnummast::Routes;

namespace
{

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {.name = name, .host = host, .pathPrefix = prefix, .weightedServices = {{.service = "s", .weight = 1}}};
}

RouteTable exampleTable()
{
    return RouteTable(3,
                      {route("root", "h.example", "/"),
                       route("a", "h.example", "/a/"),
                       route("ab", "h.example", "/a/b/"),
                       route("x", "x.example", "/a/")},
                      {},
                      {});
}

std::string nameOf(const Route *route)
{
    return route ? route->name : "none";
}

}

TEST_CASE("The longest prefix of the host's routes wins")
{
    const auto routes = exampleTable();
    CHECK(nameOf(routes.match("h.example", "/a/b/c")) == "ab");
    CHECK(nameOf(routes.match("h.example", "/a/bc")) == "a");
    CHECK(nameOf(routes.match("h.example", "/a")) == "root");
    CHECK(nameOf(routes.match("x.example", "/a/1")) == "x");
    CHECK(nameOf(routes.match("x.example", "/b/")) == "none");
    CHECK(nameOf(routes.match("y.example", "/a/")) == "none");
}

TEST_CASE("A host is matched in any case and with its port")
{
    const auto routes = exampleTable();
    CHECK(nameOf(routes.match("H.Example:8080", "/a/1")) == "a");
}

TEST_CASE("A split sends calls to its parts in proportion to their weights, and a call always to the same")
{
    auto split = route("r", "h", "/");
    split.weightedServices = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}, {.service = "c", .weight = 0}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i) {
        const auto id = std::to_string(i * 7919);
        ++counts[selectService(split, id).service];
        CHECK(&selectService(split, id) == &selectService(split, id));
    }
    CHECK(counts["a"] > 8800);
    CHECK(counts["b"] > 800);
    CHECK(counts["c"] == 0);
}
