#include "platform/settings.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Platform;

namespace
{

// Complete settings, with a field that is unknown.
const std::string settings = "self.node-name=front-palermo-a-1\nself.ip=10.1.0.10\nself.zone=palermo-a\n"
                             "network.listen.front=10.1.0.10:8161\nnetwork.listen.ready=10.1.0.10:8167\n"
                             "network.listen.control=10.1.0.10:8166\nnetwork.listen.directory=10.1.0.10:8164\n"
                             "network.internal-port-range=7720,7735\nnetwork.seeds=10.1.0.10:8166,10.2.0.40:8166\n"
                             "platform.platform.address=10.200.1.7:8169\nterms.bounds.retry-budget-ratio=0.2\n"
                             "terms.bounds.drain=2500ms\nterms.bounds.ttl_max=5s\nself.something-new=1\n";

}

TEST_CASE("The settings file is decoded and its unknown fields are ignored")
{
    const auto decoded = parseSettings(settings);
    REQUIRE(std::holds_alternative<Entry::NodeSettings>(decoded));
    const auto &node = std::get<Entry::NodeSettings>(decoded);
    CHECK(node.host == "front-palermo-a-1");
    CHECK(node.domain == "palermo-a");
    CHECK(node.front.port == 8161);
    CHECK(node.firstInternalPort == 7720);
    CHECK(node.seeds.size() == 2);
    CHECK(node.bounds.drainPeriod == 2500_ms);
    CHECK(node.bounds.entryListMaxAge == 5_s);
}

TEST_CASE("All fields that are missing or cannot be read are reported together")
{
    auto text = settings;
    text.replace(text.find("10.200.1.7:8169"), 15, "somewhere");
    text.replace(text.find("self.zone"), 9, "self.zoom");
    const auto decoded = parseSettings(text);
    REQUIRE(std::holds_alternative<std::vector<SettingProblem>>(decoded));
    const auto &problems = std::get<std::vector<SettingProblem>>(decoded);
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].field == "self.zone");
    CHECK(problems[1].field == "platform.platform.address");
    CHECK(problems[1].value == "somewhere");
}

TEST_CASE("A duration is a non-negative number with the unit ms or s")
{
    CHECK(parseDuration("1500ms") == 1500_ms);
    CHECK(parseDuration("2.5s") == 2500_ms);
    CHECK_FALSE(parseDuration("5"));
    CHECK_FALSE(parseDuration("-1s"));
    CHECK_FALSE(parseDuration("fasts"));
}

TEST_CASE("Bounds for credentials, allowances, cold upstreams and evacuations are read if they are there")
{
    const auto defaults = std::get<Entry::NodeSettings>(parseSettings(settings)).bounds;
    CHECK_FALSE(defaults.failClosed);
    const auto decoded = parseSettings(settings
                                       + "terms.bounds.fail-closed=true\nterms.bounds.revoke=4000ms\nterms.bounds.quota-window=6s\n"
                                         "terms.bounds.quota-overshoot=0.2\nterms.bounds.quota-slack=30\nterms.bounds.cold-overshoot=1.4\n"
                                         "terms.bounds.cold-slack=7\nterms.bounds.evacuation=4500ms\nterms.bounds.config-apply=2500ms\n");
    REQUIRE(std::holds_alternative<Entry::NodeSettings>(decoded));
    const auto &bounds = std::get<Entry::NodeSettings>(decoded).bounds;
    CHECK(bounds.failClosed);
    CHECK(bounds.revocation == 4_s);
    CHECK(bounds.quotaWindow == 6_s);
    CHECK(bounds.quotaOvershoot == 0.2);
    CHECK(bounds.quotaSlack == 30);
    CHECK(bounds.coldOvershoot == 1.4);
    CHECK(bounds.coldSlack == 7);
    CHECK(bounds.evacuation == 4500_ms);
    CHECK(bounds.configApply == 2500_ms);
    CHECK(std::holds_alternative<std::vector<SettingProblem>>(parseSettings(settings + "terms.bounds.fail-closed=yes\n")));
}

TEST_CASE("The limits of the host are read if they are there, and a limit that is no positive number is reported")
{
    CHECK(std::get<Entry::NodeSettings>(parseSettings(settings)).descriptorLimit == 0);
    const auto node = std::get<Entry::NodeSettings>(parseSettings(settings + "self.limits.memory-mb=112\nself.limits.fd-limit=2870\n"));
    CHECK(node.memoryMegabytes == 112);
    CHECK(node.descriptorLimit == 2870);
    CHECK(std::holds_alternative<std::vector<SettingProblem>>(parseSettings(settings + "self.limits.fd-limit=many\n")));
}
