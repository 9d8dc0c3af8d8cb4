#include "core/routes/configcheck.h"

#include "core/routes/configdifference.h"
#include "core/text.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Routes;

namespace
{

const std::string firstKey = "48wuakn2ftimaj3nr26t";
const std::string secondKey = "ta828m82thhkmgjqnirt";

// A configuration without any finding, which each test changes.
struct Config
{
    std::uint64_t version = 7;
    std::vector<Route> routes{{.name = "r1",
                               .host = "h.example",
                               .pathPrefix = "/p/",
                               .idempotent = true,
                               .timeout = 800_ms,
                               .objective = 250_ms,
                               .maxAttempts = 2,
                               .weightedServices = {{.service = "s1", .weight = 90}, {.service = "s2", .weight = 10}}},
                              {.name = "r2",
                               .host = "h.example",
                               .pathPrefix = "/p/q/",
                               .timeout = 800_ms,
                               .objective = 300_ms,
                               .weightedServices = {{.service = "s1"}}}};
    std::vector<ServiceSpec> services{{.name = "s1", .warmUp = 3_s, .coldCallsPerSecond = 7.9}, {.name = "s2"}};
    CallerLimits limits;
    std::vector<Workspaces::Workspace> workspaces{{.name = "w1", .keys = {firstKey}, .ratePerSecond = 312, .burst = 312},
                                                  {.name = "w2", .keys = {secondKey}, .rank = 1}};
    bool hasWorkspaces = true;

    RouteTable table() const
    {
        return RouteTable(
            version, routes, services, limits, hasWorkspaces ? std::make_shared<const Workspaces::WorkspaceTable>(workspaces) : nullptr);
    }

    // Findings as "PROBLEM ENTRY" with one per line; the name of the entry is empty for limits and the whole.
    std::string findings() const
    {
        std::string text;
        for (const auto &it : checkConfig(table(), 5_s)) {
            Text::append(text, nameOf(it.problem), " ", it.place.name, "\n");
        }
        return text;
    }
};

std::string differenceText(const RouteTable &before, const RouteTable &after)
{
    std::string text;
    for (const auto &it : differencesBetween(before, after)) {
        Text::append(text, nameOf(it.change), " ", it.place.name, " ", it.before, " -> ", it.after, "\n");
    }
    return text;
}

}

TEST_CASE("A proper configuration has no finding, with and without workspaces")
{
    Config config;
    CHECK(config.findings().empty());
    config.hasWorkspaces = false;
    CHECK(config.findings().empty());
}

// Guards against a route that is published and never gets a call.
TEST_CASE("Routes that can never match are found")
{
    for (const std::string prefix : {"p/", "/p", "", "p"}) {
        CAPTURE(prefix);
        Config config;
        config.routes[1].pathPrefix = prefix;
        CHECK(config.findings() == "prefix-without-slashes r2\n");
    }
    for (const std::string prefix : {"/p?x/", "/p#/", "/p q/"}) {
        CAPTURE(prefix);
        Config config;
        config.routes[1].pathPrefix = prefix;
        CHECK(config.findings() == "prefix-never-sent r2\n");
    }
    for (const std::string host : {"", "h.example:80", "h .example"}) {
        CAPTURE(host);
        Config config;
        config.routes[1].host = host;
        CHECK(config.findings() == "host-never-sent r2\n");
    }
    Config config;
    config.routes[1].pathPrefix = "/p/";
    config.routes[1].host = "H.Example";
    CHECK(config.findings() == "route-shadowed r1\n");
    CHECK(checkConfig(config.table(), 5_s).front().detail == "r2");
    CHECK(severityOf(ConfigProblem::RouteShadowed) == Severity::Error);
}

TEST_CASE("The finding of a route that is shadowed agrees with the table's own selection")
{
    Config config;
    config.routes[1].pathPrefix = "/p/";
    const auto table = config.table();
    const auto findings = checkConfig(table, 5_s);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().place.name != table.match("h.example", "/p/x")->name);
}

TEST_CASE("A route whose services are undefined, repeated or all without weight is found, and a single weight of 0 is not")
{
    Config config;
    config.routes[0].weightedServices[1].weight = 0;
    CHECK(config.findings().empty());
    config.routes[0].weightedServices[0].weight = 0;
    CHECK(config.findings() == "no-positive-weight r1\n");
    config = {};
    config.routes[1].weightedServices = {{.service = "s3"}};
    CHECK(config.findings() == "service-undefined r2\n");
    config = {};
    config.routes[1].weightedServices = {{.service = "s1"}, {.service = "s1"}};
    CHECK(config.findings() == "service-repeated r2\n");
    config = {};
    config.services.push_back({.name = "s3"});
    CHECK(config.findings() == "service-unused s3\n");
    CHECK(severityOf(ConfigProblem::ServiceUnused) == Severity::Warning);
}

TEST_CASE("Limits that contradict each other are found")
{
    Config config;
    config.routes[0].objective = 801_ms;
    CHECK(config.findings() == "objective-above-timeout r1\n");
    config.routes[0].objective = 800_ms;
    CHECK(config.findings().empty());
    config.routes[0].timeout = {};
    CHECK(config.findings() == "timeout-zero r1\n");
    config = {};
    config.routes[1].maxAttempts = 2;
    // A call that may run once only is still tried at another upstream if the first one refused it as not run.
    CHECK(config.findings().empty());
    config = {};
    config.services[0].warmUp = {};
    CHECK(config.findings() == "cold-limit-without-warmup s1\n");
    config = {};
    config.services[0].healthPath = "health";
    CHECK(config.findings() == "health-path-invalid s1\n");
    config = {};
    config.limits = {.headerBytes = 0, .bodyBytes = 0, .headerTimeout = {}, .idleTimeout = {}};
    config.hasWorkspaces = false;
    CHECK(config.findings() == "limit-zero \nlimit-zero \nlimit-zero \nlimit-zero \n");
}

TEST_CASE("Workspaces that get no calls and allowances that cannot be used are found")
{
    Config config;
    config.workspaces[1].keys.clear();
    CHECK(config.findings() == "no-keys w2\n");
    config = {};
    config.workspaces[1].burst = 5;
    CHECK(config.findings() == "burst-without-rate w2\n");
    config = {};
    config.workspaces[0].ratePerSecond = 0.1;
    config.workspaces[0].burst = 0.4;
    CHECK(config.findings() == "rate-never-served w1\n");
    config.workspaces[0].burst = 0.5;
    CHECK(config.findings().empty());
    config = {};
    config.workspaces.clear();
    CHECK(config.findings() == "no-workspace \n");
    config.routes[0].isPublic = true;
    config.routes[1].isPublic = true;
    CHECK(config.findings().empty());
    config.hasWorkspaces = false;
    CHECK(config.findings() == "public-without-workspaces r1\npublic-without-workspaces r2\n");
}

// Guards against keys that reject calls, and against a whole key in the output.
TEST_CASE("Keys that are shared, repeated or cannot be sent are found, and no finding contains a key")
{
    Config config;
    config.workspaces[1].keys.push_back(firstKey);
    CHECK(config.findings() == "key-shared w1\nkey-shared w2\n");
    for (const auto &it : checkConfig(config.table(), 5_s)) {
        CHECK(it.detail.find(keyDigest(firstKey)) != std::string::npos);
        CHECK(it.detail.find(firstKey) == std::string::npos);
    }
    config = {};
    config.workspaces[1].keys.push_back(secondKey);
    CHECK(config.findings() == "key-repeated w2\n");
    for (const auto &key : {std::string(), std::string("a b"), std::string("a\r\nb"), std::string("\x80"), std::string(20000, 'k')}) {
        config = {};
        config.workspaces[1].keys.push_back(key);
        CHECK(config.findings() == "key-never-sent w2\n");
    }
    CHECK(keyDigest(firstKey).size() == 8);
}

TEST_CASE("Differences are listed by field, added and removed entries as a whole")
{
    const Config before;
    CHECK(differenceText(before.table(), before.table()).empty());
    auto after = before;
    after.routes[0].timeout = 900.5_ms;
    after.routes[0].weightedServices[1].weight = 20;
    after.routes[1].name = "r3";
    after.routes[1].idempotent = true;
    after.services[0].coldCallsPerSecond = 8;
    after.workspaces[0].ratePerSecond = 312.0001;
    after.workspaces.pop_back();
    after.limits.bodyBytes = 1;
    CHECK(differenceText(before.table(), after.table())
          == "changed r1 800ms -> 900.5ms\nchanged r1 s1:90 s2:10 -> s1:90 s2:20\nremoved r2  -> \nadded r3  -> \n"
             "changed s1 7.9 -> 8\nchanged w1 312 -> 312.0001\nremoved w2  -> \nchanged  67108864 -> 1\n");
    after = before;
    after.hasWorkspaces = false;
    CHECK(differenceText(before.table(), after.table()) == "changed  present -> none\nremoved w1  -> \nremoved w2  -> \n");
}

TEST_CASE("A changed key is shown as a number of keys and digests")
{
    const Config before;
    auto after = before;
    after.workspaces[0].keys = {"another-key", "third-key"};
    const auto text = differenceText(before.table(), after.table());
    CHECK(text
          == Text::concat("changed w1 1 key #",
                          keyDigest(firstKey),
                          " -> 2 keys #",
                          std::min(keyDigest("another-key"), keyDigest("third-key")),
                          " #",
                          std::max(keyDigest("another-key"), keyDigest("third-key")),
                          "\n"));
}

TEST_CASE("A version that is not above that in force is an error unless nothing differs")
{
    const Config inForce;
    auto next = inForce;
    CHECK_FALSE(checkVersion(inForce.table(), next.table()));
    next.routes[0].timeout = 900_ms;
    REQUIRE(checkVersion(inForce.table(), next.table()));
    CHECK(checkVersion(inForce.table(), next.table())->problem == ConfigProblem::VersionNotHigher);
    next.version = 8;
    CHECK_FALSE(checkVersion(inForce.table(), next.table()));
    next = inForce;
    next.version = 6;
    CHECK(checkVersion(inForce.table(), next.table()));
}
