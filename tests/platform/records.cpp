#include "platform/records.h"

#include "core/text.h"

#include <doctest/doctest.h>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Platform;

namespace
{

// Complete records, with fields that are unknown.
const std::string upstreamRecord
    = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"palermo-a","version":"v1","slots":3,"state":"ready",)"
      R"("cold-remaining":"1500ms","sequence-number":4,"born":1700000000123,"later":{"x":1}})";

const std::string routesRecord
    = R"({"version":7,"routes":{"r1":{"host":"h.example","path-prefix":"/p/","kind":"unsafe","timeout":"1000ms","target-latency":"300ms",)"
      R"("priority":1,"service":"s1","max-attempts":2},"r2":{"host":"h.example","path-prefix":"/l/","kind":"safe","timeout":"0.8s",)"
      R"("traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},"r3":{"host":"h.example","path-prefix":"/u/",)"
      R"("kind":"upload","timeout":"1s","service":"s2"}},"services":{"s1":{"health-check-path":"/hc","max-connections":260},"s2":{}},)"
      R"("limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},"new":[]})";

RecordError errorOf(const std::string &value)
{
    const auto decoded = decodeUpstream("i-1", value);
    REQUIRE(std::holds_alternative<RecordError>(decoded));
    return std::get<RecordError>(decoded);
}

// Replaces the first occurrence of `from`.
std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("An upstream record is decoded completely and its unknown fields are ignored")
{
    const auto decoded = decodeUpstream("i-7f3a91c2", upstreamRecord);
    REQUIRE(std::holds_alternative<Fleet::UpstreamRecord>(decoded));
    const auto &record = std::get<Fleet::UpstreamRecord>(decoded);
    CHECK(record.id == "i-7f3a91c2");
    CHECK(record.service == "huvo11a");
    CHECK(record.address.ip == "10.128.0.9");
    CHECK(record.address.port == 8080);
    CHECK(record.domain == "palermo-a");
    CHECK(record.slots == 3);
    CHECK_FALSE(record.draining);
    CHECK(record.warmUpRemaining == 1500_ms);
    CHECK(record.startedAt == 1700000000123);
}

TEST_CASE("An upstream record that cannot be used is rejected with the error that applies to it")
{
    CHECK(errorOf("") == RecordError::Unreadable);
    CHECK(errorOf("[1]") == RecordError::Unreadable);
    CHECK(errorOf("\xff\xfe{") == RecordError::Unreadable);
    CHECK(errorOf(R"({"service":"s"})") == RecordError::FieldMissing);
    CHECK(errorOf(replaced(upstreamRecord, "\"slots\":3", "\"slots\":\"3\"")) == RecordError::FieldInvalid);
    CHECK(errorOf(replaced(upstreamRecord, "\"slots\":3", "\"slots\":0")) == RecordError::FieldInvalid);
    CHECK(errorOf(replaced(upstreamRecord, "10.128.0.9:8080", "nowhere")) == RecordError::FieldInvalid);
    for (const auto *address :
         {"10.128.0.9:65536", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9:99999999999999999999", "10.128.0:8080", ":"}) {
        CAPTURE(address);
        CHECK(errorOf(replaced(upstreamRecord, "10.128.0.9:8080", address)) == RecordError::FieldInvalid);
    }
    for (const auto *number : {"1e400", "-1e400", "1e300", "99999999999999999999999999999999"}) {
        CAPTURE(number);
        CHECK(std::holds_alternative<RecordError>(
            decodeUpstream("i-1", replaced(upstreamRecord, "\"slots\":3", Text::concat("\"slots\":", number)))));
        CHECK(std::holds_alternative<RecordError>(decodeUpstream("i-1", replaced(upstreamRecord, "1700000000123", number))));
    }
    for (const auto *duration : {"nans", "infs", "1e999s", "-1s"}) {
        CAPTURE(duration);
        CHECK(errorOf(replaced(upstreamRecord, "1500ms", duration)) == RecordError::FieldInvalid);
    }
    CHECK(errorOf(replaced(upstreamRecord, "\"ready\"", "\"sleeping\"")) == RecordError::UnknownWord);
}

// Guards against a record of another writer that is taken for one of the upstream itself, so that calls run at another service.
TEST_CASE("An upstream record without one of its fields, or with one of another type, defines no upstream")
{
    struct Field
    {
        std::string name;
        std::string text;
        std::vector<std::string> others;
    };
    const std::vector<Field> fields{
        {"service", R"("service":"huvo11a",)", {"7", "null", "[]"}},
        {"address", R"("address":"10.128.0.9:8080",)", {"7", "null", "{}"}},
        {"zone", R"("zone":"palermo-a",)", {"7", "null", "[]"}},
        {"version", R"("version":"v1",)", {"1", "null", "true", "[]", "{}"}},
        {"slots", R"("slots":3,)", {"\"3\"", "null", "true", "2.5", "-1"}},
        {"state", R"("state":"ready",)", {"1", "null", "true"}},
        {"cold-remaining", R"("cold-remaining":"1500ms",)", {"1500", "null", "\"1500\"", "\"\"", "[]"}},
        {"sequence-number", R"("sequence-number":4,)", {"\"4\"", "null", "true", "4.5", "-1", "[4]", "1e300"}},
    };
    for (const auto &it : fields) {
        CAPTURE(it.name);
        CHECK(errorOf(replaced(upstreamRecord, it.text, "")) == RecordError::FieldMissing);
        CHECK(errorOf(replaced(upstreamRecord, Text::concat("\"", it.name, "\":"), Text::concat("\"x-", it.name, "\":")))
              == RecordError::FieldMissing);
        for (const auto &other : it.others) {
            CAPTURE(other);
            CHECK(errorOf(replaced(upstreamRecord, it.text, Text::concat("\"", it.name, "\":", other, ","))) == RecordError::FieldInvalid);
        }
    }
    CHECK(errorOf(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":3,"state":"ready"})") == RecordError::FieldMissing);
}

TEST_CASE("An upstream record needs no start time, and one that is no whole number defines no upstream")
{
    const auto decoded = decodeUpstream("i-1",
                                        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"mu-east-a","version":"v1","slots":6,)"
                                        R"("state":"ready","cold-remaining":"0ms","sequence-number":4})");
    REQUIRE(std::holds_alternative<Fleet::UpstreamRecord>(decoded));
    CHECK(std::get<Fleet::UpstreamRecord>(decoded).startedAt == 0);
    for (const auto *other : {"\"1700000000123\"", "null", "true", "1700000000123.5", "-1", "[]", "{}"}) {
        CAPTURE(other);
        CHECK(errorOf(replaced(upstreamRecord, "1700000000123", other)) == RecordError::FieldInvalid);
    }
}

TEST_CASE("Routes are decoded with their kinds, traffic splits, limits and services")
{
    const auto decoded = decodeRoutes(routesRecord);
    REQUIRE(std::holds_alternative<Routes::RouteTable>(decoded));
    const auto &table = std::get<Routes::RouteTable>(decoded);
    CHECK(table.version() == 7);
    const auto *unsafeRoute = table.match("h.example", "/p/1");
    REQUIRE(unsafeRoute);
    CHECK_FALSE(unsafeRoute->idempotent);
    CHECK(unsafeRoute->objective == 300_ms);
    CHECK(unsafeRoute->maxAttempts == 2);
    const auto *splitRoute = table.match("h.example", "/l/1");
    REQUIRE(splitRoute);
    CHECK(splitRoute->idempotent);
    CHECK(splitRoute->timeout == 800_ms);
    CHECK(splitRoute->weightedServices.size() == 2);
    const auto *uploadRoute = table.match("h.example", "/u/1");
    REQUIRE(uploadRoute);
    CHECK(uploadRoute->bulk);
    CHECK_FALSE(uploadRoute->idempotent);
    CHECK(table.service("s1")->healthPath == "/hc");
    CHECK(table.limits().idleTimeout == 15_s);
}

TEST_CASE("A route of an unknown kind is not idempotent")
{
    const auto decoded = decodeRoutes(replaced(routesRecord, "\"safe\"", "\"odd\""));
    REQUIRE(std::holds_alternative<Routes::RouteTable>(decoded));
    CHECK_FALSE(std::get<Routes::RouteTable>(decoded).match("h.example", "/l/1")->idempotent);
}

TEST_CASE("Decoding records with random bytes changed or the end cut off does not crash")
{
    std::mt19937_64 random(1);
    for (const auto &original : {upstreamRecord, routesRecord}) {
        for (int i = 0; i < 3000; ++i) {
            auto damaged = original;
            for (std::uint64_t n = random() % 4 + 1; n > 0; --n) {
                damaged[random() % damaged.size()] = static_cast<char>(random());
            }
            damaged.resize(random() % 3 == 0 ? random() % damaged.size() : damaged.size());
            decodeUpstream("i", damaged);
            decodeRoutes(damaged);
        }
    }
    CHECK(true);
}

TEST_CASE("A record that is nested a hundred thousand levels deep is unreadable, or its unknown field is ignored")
{
    constexpr std::size_t depth = 100000;
    for (const auto &[open, close] : {std::pair{std::string("["), std::string("]")}, std::pair{std::string("{\"a\":"), std::string("}")}}) {
        std::string nested;
        for (std::size_t i = 0; i < depth; ++i) {
            nested += open;
        }
        const auto unfinished = nested;
        nested += "1";
        for (std::size_t i = 0; i < depth; ++i) {
            nested += close;
        }
        CHECK(std::holds_alternative<RecordError>(decodeUpstream("i-1", nested)));
        CHECK(std::holds_alternative<RecordError>(decodeUpstream("i-1", unfinished)));
        CHECK(std::holds_alternative<Fleet::UpstreamRecord>(decodeUpstream("i-1", replaced(upstreamRecord, "{\"x\":1}", nested))));
        CHECK(std::holds_alternative<RecordError>(decodeUpstream("i-1", replaced(upstreamRecord, "\"slots\":3", "\"slots\":" + nested))));
        CHECK(std::holds_alternative<RecordError>(decodeRoutes(replaced(routesRecord, "\"s1\":{", "\"s1\":" + unfinished))));
    }
}

namespace
{

// routesRecord with workspaces, a public route and a service with a limit for cold upstreams.
std::string workspacesRecord(const std::string &workspaces)
{
    auto record = replaced(routesRecord, R"("new":[])", R"("tenants":)" + workspaces);
    record = replaced(record, R"("service":"s2"}})", R"("service":"s2","public":true}})");
    return replaced(record, R"("max-connections":260})", R"("max-connections":260,"warmup":"3s","cold-per-s":7.9})");
}

}

TEST_CASE("Workspaces are decoded with their keys, priority and allowance")
{
    const auto decoded = decodeRoutes(workspacesRecord(
        R"({"yefi830":{"api-keys":["48wuakn2ftimaj3nr26t","ta828m82thhkmgjqnirt"],"priority":2,"rate-per-s":312,"burst":156.5},"w2":{}})"));
    REQUIRE(std::holds_alternative<Routes::RouteTable>(decoded));
    const auto &table = std::get<Routes::RouteTable>(decoded);
    REQUIRE(table.workspaces() != nullptr);
    const auto *workspace = table.workspaces()->findByKey("ta828m82thhkmgjqnirt");
    REQUIRE(workspace != nullptr);
    CHECK(workspace->name == "yefi830");
    CHECK(workspace->rank == 2);
    CHECK(workspace->ratePerSecond == 312);
    CHECK(workspace->burst == 156.5);
    REQUIRE(table.workspaces()->find("w2") != nullptr);
    CHECK_FALSE(table.workspaces()->find("w2")->isLimited());
    CHECK_FALSE(table.match("h.example", "/p/x")->isPublic);
    CHECK(table.match("h.example", "/u/x")->isPublic);
    CHECK(table.service("s1")->warmUp == 3_s);
    CHECK(table.service("s1")->coldCallsPerSecond == 7.9);
    CHECK(table.service("s2")->coldCallsPerSecond == 0);
}

// Guards against a table that lets every call in, or none, because one entry of another writer cannot be read.
TEST_CASE("Routes without workspaces need no credential and those with an unreadable one are rejected")
{
    CHECK(std::get<Routes::RouteTable>(decodeRoutes(routesRecord)).workspaces() == nullptr);
    for (const auto *workspaces :
         {"null", "[]", "7", R"({"w":7})", R"({"w":{"api-keys":"k"}})", R"({"w":{"api-keys":[7]}})", R"({"w":{"rate-per-s":-1}})"}) {
        CAPTURE(workspaces);
        CHECK(std::holds_alternative<RecordError>(decodeRoutes(workspacesRecord(workspaces))));
    }
}

TEST_CASE("Only a key with the name of a failure domain evacuates one")
{
    CHECK(evacuatedDomain("evacuate/mu-east-a") == "mu-east-a");
    CHECK_FALSE(evacuatedDomain("evacuate/"));
    CHECK_FALSE(evacuatedDomain("evacuate"));
    CHECK_FALSE(evacuatedDomain("config"));
}
