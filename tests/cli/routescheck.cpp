#include "cli/routescheck.h"

#include "core/text.h"
#include "platform/records.h"

#include <doctest/doctest.h>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Cli;

namespace
{

const std::string properRecord
    = R"({"version":7,"routes":{"r1":{"host":"h.example","path-prefix":"/p/","kind":"safe","timeout":"800ms","target-latency":"300ms",)"
      R"("service":"s1","max-attempts":2}},"services":{"s1":{"health-check-path":"/hc","max-connections":260}},)"
      R"("tenants":{"w1":{"api-keys":["48wuakn2ftimaj3nr26t"],"rate-per-s":3,"burst":3}},)"
      R"("limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}})";

// Replaces the first occurrence of `from`.
std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

// Findings as "SEVERITY ENTRY NAME FIELD PROBLEM", one per line.
std::string findingsOf(const std::string &record, const Routes::RouteTable *inForce = nullptr)
{
    std::string text;
    const auto json = toJson(checkRoutesRecord(record, inForce));
    for (const auto &it : json["findings"]) {
        for (const auto *key : {"severity", "entry", "name", "field", "problem"}) {
            Text::append(text, it[key].get<std::string>(), std::string_view(key) == "problem" ? "\n" : " ");
        }
    }
    return text;
}

}

TEST_CASE("A proper configuration record has no findings")
{
    CHECK(findingsOf(properRecord).empty());
    CHECK(toText(checkRoutesRecord(properRecord, nullptr)) == "0 errors, 0 warnings\n");
    CHECK(toJson(checkRoutesRecord(properRecord, nullptr))["differences"].is_null());
}

// Guards against an error without its place, or a report that ends at the first one.
TEST_CASE("Fields that cannot be read are all reported with their places")
{
    CHECK(findingsOf("{") == "error configuration   unreadable\n");
    CHECK(findingsOf("{}")
          == "error configuration  version field-missing\nerror configuration  routes field-missing\n"
             "error configuration  services field-missing\n");
    auto record = replaced(properRecord, R"("timeout":"800ms")", R"("timeout":800)");
    record = replaced(record, R"("max-attempts":2)", R"("max-attempts":0)");
    record = replaced(record, R"("rate-per-s":3)", R"("rate-per-s":"3")");
    CHECK(findingsOf(record)
          == "error route r1 timeout field-of-other-type\nerror route r1 max-attempts field-of-other-type\n"
             "error workspace w1 rate-per-s field-of-other-type\n");
    CHECK(toText(checkRoutesRecord(record, nullptr))
              .starts_with("error: route r1, timeout: must be a duration in ms or s, as text; every daemon rejects the record "
                           "[field-of-other-type]\n"));
    CHECK(findingsOf(replaced(properRecord, R"("service":"s1")", R"("traffic-split":[{"service":"s1"}])"))
          == "error route r1 traffic-split.weight field-missing\n");
    CHECK(findingsOf(replaced(properRecord, R"("service":"s1")", R"("traffic-split":[])"))
          == "error route r1 traffic-split field-missing\n");
}

// Guards against values that the daemon replaces by defaults without anyone noticing.
TEST_CASE("Fields that are ignored or replaced by defaults are reported")
{
    CHECK(findingsOf(replaced(properRecord, R"("max-attempts")", R"("max-atempts")")) == "warning route r1 max-atempts unknown-field\n");
    CHECK(findingsOf(replaced(properRecord, R"("safe")", R"("save")")) == "error route r1 kind unknown-word\n");
    CHECK(findingsOf(replaced(properRecord, R"("max-connections":260)", R"("max-connections":0)"))
          == "error service s1 max-connections field-of-other-type\n");
    CHECK(findingsOf(replaced(properRecord, R"("max-header-bytes":16384)", R"("max-header-bytes":0)"))
          == "error limits  max-header-bytes field-of-other-type\n");
    CHECK(findingsOf(replaced(properRecord, R"("max-body-bytes":67108864)", R"("max-body-bytes":0)"))
          == "error limits  max-body-bytes field-of-other-type\n");
    CHECK(findingsOf(replaced(properRecord, R"("header-timeout":"3000ms")", R"("header-timeout":"0ms")"))
          == "error limits  header-timeout limit-zero\n");
}

// Guards against a route that is written twice, of which the decoder keeps the last without a trace.
TEST_CASE("Names that occur twice in one object are reported, the same name in different objects is not")
{
    const std::string secondRoute
        = R"("routes":{"r1":{"host":"h.example","path-prefix":"/q/","kind":"safe","timeout":"800ms","target-latency":"300ms","service":"s1"},)";
    CHECK(findingsOf(replaced(properRecord, R"("routes":{)", secondRoute)) == "error configuration  routes.r1 repeated-name\n");
    CHECK(findingsOf(replaced(properRecord, R"("burst":3)", R"("burst":3,"burst":4)"))
          == "error configuration  tenants.w1.burst repeated-name\n");
    CHECK(findingsOf(replaced(properRecord, R"("w1":{)", R"("s1":{"api-keys":["k"]},"w1":{)")).empty());
}

TEST_CASE("Findings and differences have the names of the record's fields, and no key is printed")
{
    const auto inForce = std::get<Routes::RouteTable>(Platform::decodeRoutes(properRecord));
    auto record = replaced(properRecord, R"("target-latency":"300ms")", R"("target-latency":"900ms")");
    record = replaced(record, R"("api-keys":["48wuakn2ftimaj3nr26t"])", R"("api-keys":["48wuakn2ftimaj3nr26t","ta828m82thhkmgjqnirt"])");
    record = replaced(record, R"("w1":{)", R"("w2":{"api-keys":["48wuakn2ftimaj3nr26t"]},"w1":{)");
    const auto check = checkRoutesRecord(record, &inForce);
    CHECK(findingsOf(record, &inForce)
          == "error route r1 target-latency objective-above-timeout\nerror workspace w1 api-keys key-shared\n"
             "error workspace w2 api-keys key-shared\nerror configuration  version version-not-higher\n");
    const auto json = toJson(check);
    REQUIRE(json["differences"].size() == 3);
    CHECK(json["differences"][0]["field"] == "target-latency");
    CHECK(json["differences"][0]["before"] == "300ms");
    CHECK(json["differences"][1]["field"] == "api-keys");
    CHECK(json["differences"][2]["change"] == "added");
    const auto text = toText(check);
    CHECK(text.find("changed: route r1, target-latency: 300ms -> 900ms\n") != std::string::npos);
    CHECK(text.find("added: workspace w2\n") != std::string::npos);
    CHECK(text.ends_with("4 errors, 0 warnings, 3 differences\n"));
    for (const std::string key : {"48wuakn2ftimaj3nr26t", "ta828m82thhkmgjqnirt"}) {
        CHECK(text.find(key) == std::string::npos);
        CHECK(json.dump().find(key) == std::string::npos);
    }
    CHECK(findingsOf(replaced(record, R"("version":7)", R"("version":8)"), &inForce).find("version-not-higher") == std::string::npos);
}
