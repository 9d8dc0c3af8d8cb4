#include "nodesystem.h"
#include "process/wallclock.h"

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <thread>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

TEST_CASE("A call and its answer pass through a daemon unchanged")
{
    System system(3);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    const auto answer = system.call(0, "/t/x?y=%20", "POST", "bytes");
    CHECK(answer.status == 200);
    CHECK(answer.body.ends_with(" POST /t/x?y=%20 bytes"));
    CHECK(Http::find(answer.headers, "Laburnummast-Response-Signature").has_value());
    CHECK(Http::find(answer.headers, "Laburnummast-Request-Id") == "id-1");
    CHECK_FALSE(Http::find(answer.headers, "Laburnummast-Server-Load"));
    CHECK(system.call(0, "/none/x").status == 404);
}

TEST_CASE("A daemon without routes is not ready and refuses calls as not executed")
{
    System system(1);
    system.startNode(0);
    CHECK(system.get(0, 1, "/laburnummast/readiness").status == 503);
    const auto answer = system.call(0, "/r/x");
    CHECK(answer.status == 503);
    CHECK(Http::find(answer.headers, "Retry-After").has_value());
    // The routes, once known, may allow a longer head than the defaults.
    CHECK(system.get(0, 0, "/r/x", {{"Laburnummast-Request-Id", "long"}, {"X", std::string(20000, 'x')}}).status == 503);
    CHECK(system.node(0).trafficCounters().rejected[static_cast<std::size_t>(Http::RejectReason::HeadTooLarge)] == 1);
    system.publishAll();
    CHECK(system.ready(0));
}

TEST_CASE("A call that is not idempotent gets 502 and is not repeated if its upstream closes the connection without an answer")
{
    System system(3);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    REQUIRE(system.runUntil([&] { return system.retriesLeft(0) > 1; }));
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::DroppingConnections;
    }
    CHECK(system.call(0, "/t/x", "POST").status == 502);
    CHECK(system.executedCalls() == 1);
    // An idempotent call is tried once more.
    CHECK(system.call(0, "/r/x").status == 502);
    CHECK(system.executedCalls() == 3);
}

TEST_CASE("A call that every upstream sheds is refused as not executed")
{
    System system(3);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::Shedding;
    }
    CHECK(system.call(0, "/t/x", "POST").status == 503);
    CHECK(system.executedCalls() == 0);
}

TEST_CASE("A successful answer without the signature of its upstream is not forwarded")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::Unsigned;
    }
    CHECK(system.call(0, "/t/x", "POST").status == 502);
}

TEST_CASE("A call to an upstream that never answers gets 504 at its deadline")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.upstreams[0]->mode = FakeUpstream::Mode::Unresponsive;
    CHECK(system.call(0, "/t/x", "POST").status == 504);
}

TEST_CASE("An error answer of an upstream is forwarded with its body")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.upstreams[0]->mode = FakeUpstream::Mode::Failing;
    const auto answer = system.call(0, "/t/x", "POST");
    CHECK(answer.status == 500);
    CHECK(answer.body == "worker failed");
}

TEST_CASE("New routes and changes of upstreams take effect on every daemon, also on one that does not read the store")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s", "draining"));
    system.store().remove(upstreamsTopic, "w1");
    system.store().put(upstreamsTopic, "odd", "{not readable");
    for (const int n : {0, 1}) {
        CHECK(system.runUntil([&] { return system.call(n, "/r/x").status == 503; }));
    }
    system.store().put(upstreamsTopic, "w1", system.upstreams[1]->registrationRecord("s2"));
    system.store().put(routesTopic, "config", routesJson(2, "s2"));
    for (const int n : {0, 1}) {
        CHECK(system.runUntil([&] { return system.call(n, "/r/x").status == 200; }));
    }
}

TEST_CASE("A large route table reaches every daemon, though daemons with slow links serve one other at a time")
{
    System system(1);
    system.publishAll();
    constexpr int daemons = 4;
    for (int n = 0; n < daemons; ++n) {
        auto settings = system.settingsOf(n);
        settings.linkMegabits = 0.05;
        system.startNode(settings);
        REQUIRE(system.ready(n));
    }
    REQUIRE(system.runUntil([&] {
        int readers = 0;
        bool allKnown = true;
        for (std::size_t n = 0; n < daemons; ++n) {
            const auto state = system.node(n).controlState();
            allKnown = allKnown && state.servingMemberCount == daemons;
            readers += state.topics[0].isReading ? 1 : 0;
        }
        return allKnown && readers == 1;
    }));
    system.store().put(routesTopic, "config", largeRoutesJson(2, 1200));
    std::uint64_t bytesIn = 0;
    std::uint64_t deferredUploads = 0;
    for (int n = 0; n < daemons; ++n) {
        CHECK(system.runUntil([&] { return system.node(static_cast<std::size_t>(n)).controlState().routesVersion == 2; }));
        CHECK(system.call(n, "/extra1199/x").status == 200);
        const auto peers = system.node(static_cast<std::size_t>(n)).controlState().peers;
        bytesIn += peers.recordBytesIn;
        deferredUploads += peers.deferredUploads;
    }
    CHECK(deferredUploads > 0);
    // They are compressed between daemons.
    CHECK(bytesIn < largeRoutesJson(2, 1200).size());
}

TEST_CASE("A daemon that missed records which the store has compacted fetches a new snapshot")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.store().setMode(FakeStore::Mode::Unavailable);
    const auto before = system.store().requestCount();
    CHECK(system.runUntil([&] { return system.store().requestCount() > before + 2; }));
    system.store().put(routesTopic, "config", routesJson(2, "s2"));
    system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s2"));
    system.store().expireRecords(routesTopic);
    system.store().expireRecords(upstreamsTopic);
    system.store().setMode(FakeStore::Mode::Normal);
    CHECK(system.runUntil([&] { return system.node(0).controlState().routesVersion == 2; }));
    CHECK(system.runUntil([&] { return system.call(0, "/r/x").status == 200; }));
}

TEST_CASE("Changes after the store returned from an older copy take effect on every daemon, also at offsets that were given out before")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    const auto versionIs = [&](std::uint64_t version) {
        return system.runUntil([&] {
            return system.node(0).controlState().routesVersion == version && system.node(1).controlState().routesVersion == version;
        });
    };
    const auto copy = system.store().copy();
    system.store().put(routesTopic, "config", routesJson(2, "s"));
    system.store().put(routesTopic, "config", routesJson(3, "s"));
    REQUIRE(versionIs(3));
    SUBCASE("with a log that ends before the known offset")
    {
        system.store().restore(copy);
        system.store().put(routesTopic, "config", routesJson(4, "s2"));
        CHECK(versionIs(4));
    }
    SUBCASE("with a log that has grown beyond the known offset")
    {
        system.store().setMode(FakeStore::Mode::Unresponsive);
        system.store().restore(copy);
        system.store().put(routesTopic, "config", routesJson(4, "s2"));
        system.store().put(routesTopic, "other", "x");
        system.store().put(routesTopic, "other", "y");
        system.store().put(routesTopic, "other", "z");
        system.store().setMode(FakeStore::Mode::Normal);
        CHECK(versionIs(4));
    }
    system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s2"));
    for (const int n : {0, 1}) {
        CHECK(system.runUntil([&] { return system.call(n, "/r/x").status == 200; }));
    }
}

TEST_CASE("An older version of the routes in a copy of the store does not replace the version in force")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    const auto copy = system.store().copy();
    system.store().put(routesTopic, "config", routesJson(3, "s"));
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().routesVersion == 3; }));
    system.store().restore(copy);
    CHECK(system.runUntil([&] { return system.node(0).controlState().topics[0].era == 2; }));
    CHECK(system.node(0).controlState().topics[0].end == 1);
    CHECK(system.node(0).controlState().routesVersion == 3);
}

TEST_CASE("A call without a route is refused as not executed, not with 404, while a newer version of the routes may exist")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    CHECK(system.call(0, "/added/x").status == 404);
    system.store().setMode(FakeStore::Mode::Unresponsive);
    CHECK(system.runUntil([&] { return system.node(0).controlState().storeUnreachable; }));
    CHECK(system.runUntil([&] { return system.call(0, "/added/x").status == 503; }));
    CHECK(system.call(0, "/r/x").status == 200);
    system.store().setMode(FakeStore::Mode::Normal);
    CHECK(system.runUntil([&] { return system.call(0, "/added/x").status == 404; }));
}

TEST_CASE("Upstreams that an older copy of the store does not list yet still get calls, and draining ones that it lists as ready do not")
{
    System system(2);
    system.store().put(routesTopic, "config", routesJson(1, "s"));
    system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s"));
    system.startNode(0);
    REQUIRE(system.ready(0));
    const auto copy = system.store().copy();
    system.store().put(upstreamsTopic, "w1", system.upstreams[1]->registrationRecord("s"));
    system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s", "draining"));
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().topics[1].end == 3; }));
    const auto drainedCalls = system.upstreams[0]->executed.size();
    system.store().restore(copy);
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().topics[1].era == 2; }));
    for (int i = 0; i < 20; ++i) {
        CHECK(system.call(0, "/r/x").status == 200);
    }
    CHECK(system.upstreams[0]->executed.size() == drainedCalls);
}

TEST_CASE("A daemon whose position the store refuses again and again does not call the store without a pause")
{
    System system(1);
    system.store().setEraStated(false);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    const auto copy = system.store().copy();
    system.store().put(routesTopic, "config", routesJson(2, "s"));
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().routesVersion == 2; }));
    system.store().restore(copy);
    const auto before = system.store().requestCount();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    system.runUntil([&] { return std::chrono::steady_clock::now() > end; });
    CHECK(system.store().requestCount() - before < 60);
}

TEST_CASE("A change of an upstream between two pages of a snapshot that a daemon reads is not missed")
{
    System system(2);
    system.publishAll();
    bool changed = false;
    system.store().setPages(1, [&] {
        if (!changed) {
            changed = true;
            system.store().put(upstreamsTopic, "w0", system.upstreams[0]->registrationRecord("s", "draining"));
        }
    });
    system.startNode(0);
    REQUIRE(system.ready(0));
    CHECK(system.runUntil([&] { return changed && system.node(0).controlState().topics[1].end == 3; }));
    const auto earlierCalls = system.upstreams[0]->executed.size();
    for (int i = 0; i < 20; ++i) {
        CHECK(system.call(0, "/r/x").status == 200);
    }
    CHECK(system.upstreams[0]->executed.size() == earlierCalls);
}

TEST_CASE("A daemon that starts after the store returned from an older copy takes the later routes that its peer has in force")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    const auto copy = system.store().copy();
    system.store().put(routesTopic, "config", routesJson(3, "s"));
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().routesVersion == 3; }));
    system.store().restore(copy);
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().topics[0].era == 2; }));
    system.startNode(1);
    CHECK(system.runUntil([&] { return system.node(1).controlState().routesVersion == 3; }));
    CHECK(system.node(1).controlState().topics[0].end == 1);
    system.store().put(routesTopic, "config", routesJson(4, "s2"));
    for (const std::size_t n : {0, 1}) {
        CHECK(system.runUntil([&] { return system.node(n).controlState().routesVersion == 4; }));
    }
}

TEST_CASE("A daemon that starts after the store returned from a copy without any routes takes those that its peer has in force")
{
    System system(1);
    const auto copy = system.store().copy();
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.store().restore(copy);
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().topics[0].era == 2; }));
    system.startNode(1);
    CHECK(system.runUntil([&] { return system.node(1).controlState().routesVersion == 1; }));
}

TEST_CASE("While the store does not answer, calls are served and a new daemon gets all records from its peer")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.store().setMode(FakeStore::Mode::Unresponsive);
    CHECK(system.call(0, "/r/x").status == 200);
    system.startNode(1);
    CHECK(system.ready(1));
    CHECK(system.call(1, "/r/x").status == 200);
    REQUIRE(system.runUntil([&] { return system.node(0).controlState().storeUnreachable; }));
    system.startNode(2);
    CHECK(system.ready(2));
    CHECK(system.call(2, "/r/x").status == 200);
    CHECK(system.call(2, "/added/x").status == 503);
}

TEST_CASE("The entry list contains the ready daemons, and a daemon that drains leaves it and finishes its calls")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    const auto listed = [&](const std::string &ip) {
        return system.get(0, 2, "/laburnummast/resolution?name=h.example&zone=a").body.find(ip) != std::string::npos;
    };
    CHECK(system.runUntil([&] { return listed("127.0.0.1:") && listed("127.0.0.2:"); }));
    std::optional<std::size_t> unanswered;
    std::thread drain([&] { unanswered = system.node(1).drain(); });
    CHECK(system.runUntil([&] { return !listed("127.0.0.2:"); }));
    CHECK(system.get(1, 1, "/laburnummast/readiness").status == 503);
    CHECK(system.runUntil([&] { return unanswered.has_value(); }));
    drain.join();
    CHECK(*unanswered == 0);
}

TEST_CASE("A limit that upstreams name to one daemon holds on every daemon")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    for (const auto &it : system.upstreams) {
        it->limit = "0";
    }
    REQUIRE(system.runUntil([&] { return system.call(0, "/r/x").status == 503; }));
    const auto knownLimits = [&] {
        const auto state = system.node(1).stateDump();
        return state.find("limit=0", state.find("upstream w0")) != std::string::npos
            && state.find("limit=0", state.find("upstream w1")) != std::string::npos;
    };
    REQUIRE(system.runUntil(knownLimits));
    const auto executed = system.executedCalls();
    CHECK(system.call(1, "/r/x").status == 503);
    CHECK(system.call(1, "/t/x").status == 503);
    CHECK(system.executedCalls() == executed);
}

TEST_CASE("An upstream that says that it is leaving gets no further call or probe, though the store lists it as ready")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    auto &leaving = *system.upstreams[0];
    leaving.leaving = true;
    REQUIRE(system.runUntil([&] {
        system.call(0, "/r/x");
        return !leaving.executed.empty() || leaving.probes > 0;
    }));
    // Its record is written once more, and then lapses for a while.
    system.store().put(upstreamsTopic, "w0", leaving.registrationRecord("s"));
    system.store().remove(upstreamsTopic, "w0");
    CHECK(system.runUntil([&] { return system.node(0).controlState().upstreamCount == 1; }));
    system.store().put(upstreamsTopic, "w0", leaving.registrationRecord("s"));
    CHECK(system.runUntil([&] { return system.node(0).controlState().upstreamCount == 2; }));
    const auto requests = static_cast<int>(leaving.executed.size()) + leaving.probes;
    for (int i = 0; i < 20; ++i) {
        CHECK(system.call(0, "/r/x").status == 200);
    }
    CHECK(static_cast<int>(leaving.executed.size()) + leaving.probes == requests);
}

TEST_CASE("Upstreams that refuse calls for some time get none until then, and callers are told to return no sooner")
{
    System system(2);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::Shedding;
        it->retryAfter = "30.5";
    }
    REQUIRE(system.runUntil([&] {
        system.call(0, "/r/x");
        return system.upstreams[0]->refusals > 0 && system.upstreams[1]->refusals > 0;
    }));
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::Normal;
    }
    const auto requests = [&] {
        int n = 0;
        for (const auto &it : system.upstreams) {
            n += it->refusals + it->probes + static_cast<int>(it->executed.size());
        }
        return n;
    };
    const auto requestsBefore = requests();
    const auto answer = system.call(0, "/r/x");
    CHECK(answer.status == 503);
    const auto retryAfter = Text::parseNumber(Http::find(answer.headers, "Retry-After").value_or(""));
    REQUIRE(retryAfter);
    CHECK(*retryAfter > 1);
    CHECK(requests() == requestsBefore);
}

TEST_CASE("A daemon that has just started does not use the slack of the retry budget, as it does not know who shares it")
{
    System system(1);
    system.publishAll();
    system.startNode(0);
    REQUIRE(system.ready(0));
    REQUIRE(system.call(0, "/r/x").status == 200);
    CHECK(system.retriesLeft(0) < 1);
    CHECK(system.runUntil([&] { return system.retriesLeft(0) > 50; }));
}
