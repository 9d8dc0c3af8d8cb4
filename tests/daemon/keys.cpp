#include "core/config/address.h"
#include "daemon/system.h"

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Headers of a repeat of a call whose earlier attempts were sent to `previous`.
std::vector<Net::Header> repeatHeaders(const std::string &key, const std::vector<Net::Address> &previous)
{
    std::string entries;
    for (const auto &it : previous) {
        entries += (entries.empty() ? "" : ",") + Config::toString(it);
    }
    return {{"Idempotency-Key", key},
            {"X-Attempt", std::to_string(previous.size() + 1)},
            {"X-First-Attempt-Age-Ms", "50"},
            {"X-Previous-Entries", entries}};
}

// How often the call with `key` ran on all upstreams together. Recognizes counts of 1 and 2 per upstream.
int runCount(System &system, std::size_t upstreams, const std::string &key)
{
    int n = 0;
    for (std::size_t i = 0; i < upstreams; ++i) {
        const auto keys = system.upstream(i).keyCounts();
        n += keys.find("1 " + key + "\n") != std::string::npos ? 1 : 0;
        n += keys.find("2 " + key + "\n") != std::string::npos ? 2 : 0;
    }
    return n;
}

}

TEST_CASE("A repeat at the same host gets the answer of the first attempt and does not run")
{
    System system(1, 1);
    system.deploy();
    const auto first = system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x");
    const auto repeat = system.call(0, "POST", "s/tap", repeatHeaders("k", {system.entryAddress(0)}), "x");
    CHECK(repeat.head.status == 200);
    CHECK(repeat.body == first.body);
    CHECK(repeat.head.header("X-Replayed") == "yes");
    CHECK(runCount(system, 1, "k") == 1);
}

TEST_CASE("A repeat at another host gets the answer of the first attempt from the first host")
{
    System system(2, 2);
    system.deploy();
    REQUIRE(eventually([&] { return system.state(1, "/v1/status")["members"].size() == 2; }));
    system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x");
    const auto repeat = system.call(1, "POST", "s/tap", repeatHeaders("k", {system.entryAddress(0)}), "x");
    CHECK(repeat.head.status == 200);
    CHECK(repeat.head.header("X-Replayed") == "yes");
    CHECK(runCount(system, 2, "k") == 1);
}

TEST_CASE("A repeat that arrives before its first attempt runs, and the late first attempt is refused as not run")
{
    System system(2, 2);
    system.deploy();
    REQUIRE(eventually([&] { return system.state(1, "/v1/status")["members"].size() == 2; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(system.call(1, "POST", "s/tap", repeatHeaders("k", {system.entryAddress(0)}), "x").head.status == 200);
    const auto late = system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x");
    CHECK(late.head.status == 409);
    CHECK(late.head.header("X-Outcome") == "not-run");
    CHECK(runCount(system, 2, "k") == 1);
}

TEST_CASE("A repeat that arrives while the first attempt runs waits for its answer")
{
    System system(2, 1);
    system.deploy();
    REQUIRE(eventually([&] { return system.state(1, "/v1/status")["members"].size() == 2; }));
    system.upstream(0).setFault("slow_factor=300");
    Net::ClientResponse first;
    std::thread caller([&] { first = system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x"); });
    REQUIRE(eventually([&] { return runCount(system, 1, "k") == 1; }));
    const auto repeat = system.call(1, "POST", "s/tap", repeatHeaders("k", {system.entryAddress(0)}), "x");
    caller.join();
    CHECK(first.head.status == 200);
    CHECK(repeat.head.status == 200);
    CHECK(runCount(system, 1, "k") == 1);
}

TEST_CASE("A repeat of a call whose first host has died gets an unknown outcome and does not run")
{
    System system(2, 2);
    system.deploy();
    REQUIRE(eventually([&] { return system.state(1, "/v1/status")["members"].size() == 2; }));
    system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x");
    const auto deadEntry = system.entryAddress(0);
    system.kill(0);
    const auto repeat = system.call(1, "POST", "s/tap", repeatHeaders("k", {deadEntry}), "x");
    CHECK(repeat.head.status == 504);
    CHECK(repeat.head.header("X-Outcome") == "unknown");
    CHECK(runCount(system, 2, "k") == 1);
}

TEST_CASE("A draining host transfers its keys, and a repeat at another host gets the answer of the first attempt")
{
    System system(3, 2);
    system.deploy();
    REQUIRE(eventually(
        [&] { return system.state(0, "/v1/status")["members"].size() == 3 && system.state(2, "/v1/status")["members"].size() == 3; }));
    system.call(0, "POST", "s/tap", {{"Idempotency-Key", "k"}}, "x");
    const auto drainedEntry = system.entryAddress(0);
    CHECK(system.daemon(0).drain());
    system.kill(0);
    REQUIRE(eventually([&] { return system.state(2, "/v1/status").dump().find("\"left\"") != std::string::npos; }));
    const auto repeat = system.call(2, "POST", "s/tap", repeatHeaders("k", {drainedEntry}), "x");
    CHECK(repeat.head.status == 200);
    CHECK(repeat.head.header("X-Replayed") == "yes");
    CHECK(runCount(system, 2, "k") == 1);
}
