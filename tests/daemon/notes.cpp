#include "support/notes.h"
#include "daemon/system.h"

using namespace Laburnummast;
using namespace Laburnummast::Tests;

TEST_CASE("A note is in force on every daemon, also on those that do not read the log")
{
    System system(5, 1);
    system.deploy();
    // Three of the five daemons read the log once they know each other; the others get the records from them.
    CHECK(eventually([&] {
        int readers = 0;
        for (std::size_t i = 0; i < 5; ++i) {
            readers += system.state(i)["log"]["reading"] == true ? 1 : 0;
        }
        return readers == 3;
    }));
    CHECK(system.publish(3, noteText("second", addOwner("q"))).head.status == 200);
    CHECK(eventually([&] { return system.daemonsAgreeAt(1); }));
}

TEST_CASE("A note with a wrong operator credential is denied, counted and not applied")
{
    System system(1, 0);
    CHECK(system.publish(0, noteText("a", addOwner("q")), "wrong").head.status == 401);
    CHECK(system.state(0)["operator_actions_denied"] == 1);
    CHECK(system.state(0)["config"]["offset"] == -1);
}

TEST_CASE("A malformed note is refused with a list of all its errors")
{
    System system(1, 0);
    const auto answer = system.publish(0, "[note]\nformat = 1\nid = a\n[added service s]\n[added partner x]\nowner = o\n");
    CHECK(answer.head.status == 400);
    CHECK(nlohmann::json::parse(answer.body)["errors"].size() == 2);
}

TEST_CASE("A note whose append response was lost is in the log once and its verdict is returned")
{
    System system(2, 0);
    system.setLogFault("lose_answers=1");
    CHECK(system.publish(0, noteText("a", addOwner("q"))).head.status == 200);
    CHECK(system.state(0)["config"]["notes_repeated"] == 0);
    CHECK(system.publish(1, noteText("a", addOwner("q"))).head.status == 200);
    CHECK(system.state(0)["config"]["offset"] == 0);
}

TEST_CASE("Of two conflicting notes published at once to two daemons, one is accepted and one is rejected")
{
    System system(2, 0);
    REQUIRE(system.publish(0, noteText("base", addOwner("q"))).head.status == 200);
    REQUIRE(eventually([&] { return system.daemonsAgreeAt(0); }));
    std::vector<int> statuses(2);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < 2; ++i) {
        operators.emplace_back([&, i] {
            statuses[i]
                = system.publish(i, noteText("race-" + std::to_string(i), changeOwner("q", 0, 2 + static_cast<int>(i)))).head.status;
        });
    }
    for (auto &it : operators) {
        it.join();
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 1);
    CHECK(std::count(statuses.begin(), statuses.end(), 409) == 1);
}

TEST_CASE("A note published while the log is down gets status 503, and is accepted once the log is back")
{
    System system(1, 0);
    system.setLogFault("outage=1");
    CHECK(system.publish(0, noteText("a", addOwner("q"))).head.status == 503);
    system.setLogFault("outage=0");
    CHECK(system.publish(0, noteText("a", addOwner("q"))).head.status == 200);
}

TEST_CASE("A daemon that starts while the log is down gets the configuration from its peers")
{
    System system(1, 1);
    system.deploy();
    system.setLogFault("outage=1");
    system.startDaemon();
    CHECK(eventually([&] { return system.daemonsAgreeAt(0); }));
    CHECK(eventually([&] { return system.call(1, "GET", "s/read").head.status == 200; }));
}

TEST_CASE("A daemon without peers and log answers no-configuration, and serves calls once the log is back")
{
    System system(0, 1);
    system.setLogFault("outage=1");
    system.startDaemon();
    const auto answer = system.call(0, "GET", "s/read");
    CHECK(answer.head.status == 503);
    CHECK(nlohmann::json::parse(answer.body)["failure"] == "no-configuration");
    system.setLogFault("outage=0");
    system.deploy();
    CHECK(system.call(0, "GET", "s/read").head.status == 200);
}
