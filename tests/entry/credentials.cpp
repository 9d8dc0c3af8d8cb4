#include "nodesystem.h"

#include <doctest/doctest.h>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// routesJson() with a public route and workspaces, of which "north" holds `northKeys`.
std::string workspacesJson(int version, const std::string &northKeys)
{
    auto json = routesJson(version, "s");
    const std::string publicRoute
        = R"("open":{"host":"h.example","path-prefix":"/o/","kind":"safe","timeout":"800ms","service":"s","public":true},)";
    const std::string start = R"("routes":{)";
    json.insert(json.find(start) + start.size(), publicRoute);
    json.pop_back();
    return Text::concat(json, R"(,"tenants":{"north":{"api-keys":[)", northKeys, R"(]},"south":{"api-keys":["s1"]}}})");
}

Http::Response callWithKey(System &system, int n, const std::string &path, const Http::Headers &extra)
{
    static int calls = 0;
    Http::Headers headers{{"Laburnummast-Request-Id", "key-" + std::to_string(++calls)}, {"Laburnummast-Deadline-Milliseconds", "800"}};
    headers.insert(headers.end(), extra.begin(), extra.end());
    return system.get(n, 0, path, headers);
}

const Http::Request &lastExecuted(const System &system)
{
    for (const auto &it : system.upstreams) {
        if (!it->executed.empty()) {
            return it->executed.back();
        }
    }
    throw std::logic_error("no call was executed");
}

}

// Guards against calls that run without a key, or under the name of a workspace that the caller chose.
TEST_CASE("Where there are workspaces, a call runs only with the key of one and under that one's name")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", workspacesJson(2, R"("n1")"));
    system.startNode(0);
    REQUIRE(system.ready(0));
    CHECK(callWithKey(system, 0, "/r/x", {}).status == 401);
    CHECK(callWithKey(system, 0, "/r/x", {{"Authorization", "Token other"}}).status == 401);
    CHECK(callWithKey(system, 0, "/r/x", {{"Authorization", "Token n1"}, {"Authorization", "Token n1"}}).status == 401);
    CHECK(system.executedCalls() == 0);
    CHECK(callWithKey(system, 0, "/r/x", {{"Authorization", "Token s1"}, {"Laburnummast-Tenant-Name", "north"}}).status == 200);
    REQUIRE(system.executedCalls() == 1);
    CHECK(Http::find(lastExecuted(system).headers, "Laburnummast-Tenant-Name") == "south");
    CHECK_FALSE(Http::find(lastExecuted(system).headers, "Authorization"));
    CHECK(callWithKey(system, 0, "/o/x", {{"Authorization", "Token s1"}, {"Laburnummast-Tenant-Name", "north"}}).status == 200);
    CHECK_FALSE(Http::find(lastExecuted(system).headers, "Laburnummast-Tenant-Name"));
    CHECK_FALSE(Http::find(lastExecuted(system).headers, "Authorization"));
    const auto counters = system.node(0).trafficCounters();
    CHECK(counters.ended[static_cast<std::size_t>(CallEnd::Unauthorized)] == 3);
    CHECK(counters.credentialErrors[static_cast<std::size_t>(Workspaces::CredentialError::Unknown)] == 1);
    CHECK(system.node(0).stateDump().find("n1") == std::string::npos);
}

TEST_CASE("Keys that a new version adds or withdraws take effect on every daemon")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", workspacesJson(2, R"("n1")"));
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    system.store().put(routesTopic, "config", workspacesJson(3, R"("n2")"));
    for (const int n : {0, 1}) {
        CHECK(system.runUntil([&] { return callWithKey(system, n, "/r/x", {{"Authorization", "Token n1"}}).status == 401; }));
        CHECK(system.runUntil([&] { return callWithKey(system, n, "/r/x", {{"Authorization", "Token n2"}}).status == 200; }));
    }
}

// Guards against 401, after which a caller does not try again, for a key that a version not yet known here may have added.
TEST_CASE("A daemon that has lost the store refuses an unknown key as not run")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", workspacesJson(2, R"("n1")"));
    system.startNode(0);
    REQUIRE(system.ready(0));
    REQUIRE(callWithKey(system, 0, "/r/x", {{"Authorization", "Token n2"}}).status == 401);
    system.store().setMode(FakeStore::Mode::Unresponsive);
    CHECK(system.runUntil([&] { return callWithKey(system, 0, "/r/x", {{"Authorization", "Token n2"}}).status == 503; }));
    // A newer version may need no credential.
    CHECK(callWithKey(system, 0, "/r/x", {}).status == 503);
    CHECK(callWithKey(system, 0, "/r/x", {{"Authorization", "Token n1"}}).status == 200);
}
