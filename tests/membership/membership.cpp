#include "membership/fakenetwork.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Tests;
using Membership::MemberState;

namespace
{

constexpr int memberCount = 16;

}

TEST_CASE("Members that share one seed discover all members")
{
    FakeNetwork network(memberCount, 1);
    network.run(10_s);
    for (int i = 0; i < memberCount; ++i) {
        CHECK(network.member(i).serving().size() == memberCount);
    }
}

TEST_CASE("Members that start half a second before their seed know it half a second after its start")
{
    FakeNetwork network(memberCount, 14);
    network.setRunning(0, false);
    network.run(550_ms);
    network.start(0, 9000000);
    network.run(500_ms);
    CHECK(network.allObserve(0, MemberState::Alive));
    CHECK(network.member(0).serving().size() == memberCount);
}

TEST_CASE("A member that joins 199 others knows at least 195 members within ten seconds")
{
    FakeNetwork network(200, 12);
    network.run(60_s);
    network.setRunning(150, false);
    network.run(1_s);
    network.start(150, 9000000);
    network.run(10_s);
    CHECK(network.member(150).serving().size() >= 195);
}

TEST_CASE("A member that stops is declared dead by every other member")
{
    FakeNetwork network(memberCount, 2);
    network.run(10_s);
    network.setRunning(5, false);
    network.run(15_s);
    CHECK(network.allObserve(5, MemberState::Dead));
    CHECK(network.deaths == memberCount - 1);
}

TEST_CASE("Four members that stop at the same time are declared dead, and no others")
{
    FakeNetwork network(memberCount, 3);
    network.run(10_s);
    for (const int it : {4, 5, 6, 7}) {
        network.setRunning(it, false);
    }
    network.run(25_s);
    for (const int it : {4, 5, 6, 7}) {
        CHECK(network.allObserve(it, MemberState::Dead));
    }
    CHECK(network.member(0).serving().size() == memberCount - 4);
}

TEST_CASE("A leaving member is not in the serving list, and is Left after it announces its end and stops")
{
    FakeNetwork network(memberCount, 4);
    network.run(10_s);
    network.invoke(3, [](auto &it, auto &actions) { it.leave(actions); });
    network.run(2_s);
    for (int i = 0; i < memberCount; ++i) {
        const auto serving = network.member(i).serving();
        CHECK(std::none_of(serving.begin(), serving.end(), [](const auto &it) { return it.info.host == "host-3"; }));
    }
    network.invoke(3, [](auto &it, auto &actions) { it.announceLeft(actions); });
    network.setRunning(3, false);
    network.run(3_s);
    CHECK(network.allObserve(3, MemberState::Left));
    CHECK(network.deaths == 0);
}

TEST_CASE("A dead member that restarts is alive at its new incarnation")
{
    FakeNetwork network(memberCount, 5);
    network.run(10_s);
    network.setRunning(5, false);
    network.run(15_s);
    network.start(5, 9000000);
    network.run(10_s);
    CHECK(network.allObserve(5, MemberState::Alive));
    CHECK(network.member(0).find("host-5")->incarnation == 9000000);
}

TEST_CASE("A paused member that was declared dead resumes without a further death and is alive again")
{
    FakeNetwork network(memberCount, 6);
    network.run(10_s);
    network.setRunning(5, false);
    network.run(20_s);
    CHECK(network.allObserve(5, MemberState::Dead));
    const auto deathsBefore = network.deaths;
    network.setRunning(5, true);
    network.run(10_s);
    CHECK(network.deaths == deathsBefore);
    CHECK(network.allObserve(5, MemberState::Alive));
    CHECK(network.member(5).serving().size() == memberCount);
}

TEST_CASE("No member is declared dead when datagrams in one direction between two members are lost")
{
    FakeNetwork network(memberCount, 7);
    network.run(10_s);
    network.canDeliver = [](int from, int to) { return !(from == 2 && to == 9); };
    network.run(60_s);
    CHECK(network.deaths == 0);
    CHECK(network.observedState(2, 9) == MemberState::Alive);
}

TEST_CASE("Two halves of a partitioned network merge again when the partition ends")
{
    FakeNetwork network(memberCount, 8);
    network.run(10_s);
    network.canDeliver = [](int from, int to) { return (from < 8) == (to < 8); };
    network.run(60_s);
    CHECK(network.member(0).serving().size() == 8);
    CHECK(network.member(15).serving().size() == 8);
    network.canDeliver = [](int, int) { return true; };
    network.run(40_s);
    for (int i = 0; i < memberCount; ++i) {
        CHECK(network.member(i).serving().size() == memberCount);
    }
}

TEST_CASE("Every member is serving again within 20 s after 300 s with 20% of all datagrams lost")
{
    FakeNetwork network(memberCount, 9);
    network.run(10_s);
    network.lossRate = 0.2;
    network.run(300_s);
    network.lossRate = 0;
    network.run(20_s);
    for (int i = 0; i < memberCount; ++i) {
        CHECK(network.member(i).serving().size() == memberCount);
    }
    MESSAGE("false deaths in 300 s at 20% loss, summed over 16 observers: ", network.deaths);
}

TEST_CASE("A new configuration offset reaches every other member within four seconds")
{
    FakeNetwork network(memberCount, 10);
    network.run(10_s);
    network.invoke(3, [](auto &it, auto &actions) { it.setConfig({.offset = 42, .hash = 7}, actions); });
    network.run(4_s);
    for (int i = 0; i < memberCount; ++i) {
        if (i != 3) {
            CHECK(network.member(i).find("host-3")->config.offset == 42);
        }
    }
}

TEST_CASE("Adding empty or wrong seeds removes no member")
{
    FakeNetwork network(memberCount, 11);
    network.run(10_s);
    const std::vector<Membership::Address> wrongSeeds{{.ip = "10.0.0.0", .port = 1}};
    network.member(4).addSeeds({});
    network.member(4).addSeeds(wrongSeeds);
    network.run(10_s);
    CHECK(network.member(4).serving().size() == memberCount);
}
