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

TEST_CASE("The route with the longest matching prefix is selected among the routes of the host")
{
    const auto routes = exampleTable();
    CHECK(nameOf(routes.match("h.example", "/a/b/c")) == "ab");
    CHECK(nameOf(routes.match("h.example", "/a/bc")) == "a");
    CHECK(nameOf(routes.match("h.example", "/a")) == "root");
    CHECK(nameOf(routes.match("x.example", "/a/1")) == "x");
    CHECK(nameOf(routes.match("x.example", "/b/")) == "none");
    CHECK(nameOf(routes.match("y.example", "/a/")) == "none");
}

TEST_CASE("Matching a host ignores letter case and port")
{
    const auto routes = exampleTable();
    CHECK(nameOf(routes.match("H.Example:8080", "/a/1")) == "a");
}

TEST_CASE("Calls are split among services in proportion to their weights, and a call id always selects the same service")
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
