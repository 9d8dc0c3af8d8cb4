#include "entry/freshnessgate.h"
#include "entry/freshnessmessage.h"
#include "entry/traffic.h"
#include "nodesystem.h"
#include "platform/records.h"
#include "process/wallclock.h"

#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

using Tcp = boost::asio::ip::tcp;

std::string keyedRoutes(int version, const std::string &keys)
{
    auto json = routesJson(version, "s");
    const std::string publicRoute
        = R"("open":{"host":"h.example","path-prefix":"/o/","kind":"safe","timeout":"800ms","service":"s","public":true},)";
    const std::string start = R"("routes":{)";
    json.insert(json.find(start) + start.size(), publicRoute);
    json.pop_back();
    return Text::concat(json, R"(,"tenants":{"north":{"api-keys":[)", keys, R"(]}}})");
}

// Settings of a daemon that refuses calls with a credential once its proof is older than 0.85 of two seconds.
NodeSettings failClosedSettings(const System &system, int n)
{
    auto settings = system.settingsOf(n);
    settings.bounds.failClosed = true;
    settings.bounds.revocation = 2000_ms;
    return settings;
}

Http::Response callWithKey(System &system, int n, const std::string &path)
{
    static int calls = 0;
    return system.get(n,
                      0,
                      path,
                      {{"Laburnummast-Request-Id", "fresh-" + std::to_string(++calls)},
                       {"Laburnummast-Deadline-Milliseconds", "800"},
                       {"Authorization", "Token n1"}});
}

int readiness(System &system, int n)
{
    return system.get(n, 1, "/laburnummast/readiness").status;
}

void runFor(System &system, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    system.runUntil([&] { return std::chrono::steady_clock::now() >= end; });
}

}

// Guards against calls with a withdrawn credential on a daemon that has lost the store, and against one that stays refusing afterwards.
TEST_CASE("A daemon without a way to the store stops serving calls with a credential and is not ready, until the store is back")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", keyedRoutes(2, R"("n1")"));
    system.startNode(failClosedSettings(system, 0));
    REQUIRE(system.ready(0));
    REQUIRE(callWithKey(system, 0, "/r/x").status == 200);
    system.store().setMode(FakeStore::Mode::Unresponsive);
    const auto lostAt = Process::steadyNow();
    CHECK(system.runUntil([&] { return callWithKey(system, 0, "/r/x").status != 200; }));
    CHECK(Process::steadyNow() - lostAt < 2000_ms);
    const auto refused = callWithKey(system, 0, "/r/x");
    CHECK(refused.status == 503);
    CHECK(Http::find(refused.headers, "Retry-After"));
    CHECK(readiness(system, 0) == 503);
    CHECK(callWithKey(system, 0, "/o/x").status == 200);
    const auto executed = system.executedCalls();
    CHECK(callWithKey(system, 0, "/r/x").status == 503);
    CHECK(system.executedCalls() == executed);
    CHECK(system.node(0).controlState().freshness.isStale);
    CHECK(system.node(0).trafficCounters().staleRefusals >= 3);
    system.store().setMode(FakeStore::Mode::Normal);
    CHECK(system.ready(0));
    CHECK(callWithKey(system, 0, "/r/x").status == 200);
}

// Guards against a daemon that stops serving although a peer of it reads the store, and against proofs that it takes without any.
TEST_CASE("A daemon that cannot reach the store stays ready through its peer, and only as long as that one reads the store")
{
    // Either of them is the one that should read the configuration for both.
    for (const int cutOff : {0, 1}) {
        CAPTURE(cutOff);
        System system(1);
        system.publishAll();
        system.store().put(routesTopic, "config", keyedRoutes(2, R"("n1")"));
        for (const int n : {0, 1}) {
            auto settings = failClosedSettings(system, n);
            // Nothing listens at the other port.
            settings.store.port = n == cutOff ? 1 : settings.store.port;
            system.startNode(settings);
        }
        REQUIRE(system.ready(0));
        REQUIRE(system.ready(1));
        const auto end = Process::steadyNow() + 4_s;
        int refused = 0;
        while (Process::steadyNow() < end) {
            refused += callWithKey(system, cutOff, "/r/x").status == 200 ? 0 : 1;
            runFor(system, std::chrono::milliseconds(20));
        }
        CHECK(refused == 0);
        const auto state = system.node(static_cast<std::size_t>(cutOff)).controlState().freshness;
        CHECK(state.origin == Fleet::ProofOrigin::Peer);
        CHECK(state.reader == "host-" + std::to_string(1 - cutOff));
        CHECK(state.queriesOut > 5);
        system.store().setMode(FakeStore::Mode::Unresponsive);
        CHECK(system.runUntil([&] { return callWithKey(system, cutOff, "/r/x").status == 503; }));
        CHECK(system.runUntil([&] { return readiness(system, cutOff) == 503; }));
        system.store().setMode(FakeStore::Mode::Normal);
        CHECK(system.ready(cutOff));
        system.store().put(routesTopic, "config", keyedRoutes(3, R"("n2")"));
        CHECK(system.runUntil([&] { return callWithKey(system, cutOff, "/r/x").status == 401; }));
    }
}

// Guards against a change for deployments that do not ask for this.
TEST_CASE("Without fail-closed a daemon that has lost the store goes on serving calls with a credential")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", keyedRoutes(2, R"("n1")"));
    auto settings = failClosedSettings(system, 0);
    settings.bounds.failClosed = false;
    system.startNode(settings);
    REQUIRE(system.ready(0));
    system.store().setMode(FakeStore::Mode::Unresponsive);
    runFor(system, std::chrono::milliseconds(2500));
    CHECK(callWithKey(system, 0, "/r/x").status == 200);
    CHECK(readiness(system, 0) == 200);
    CHECK_FALSE(system.node(0).controlState().freshness.isRequired);
}

TEST_CASE("A deployment without workspaces serves all calls without a proof")
{
    System system(1);
    system.publishAll();
    system.startNode(failClosedSettings(system, 0));
    REQUIRE(system.ready(0));
    system.store().setMode(FakeStore::Mode::Unresponsive);
    runFor(system, std::chrono::milliseconds(2500));
    CHECK(system.call(0, "/r/x").status == 200);
    CHECK(readiness(system, 0) == 200);
}

// Guards against an attempt of a queued call whose credential later routes have withdrawn.
TEST_CASE("An attempt is sent only with a proof for the routes that accepted its call")
{
    Entry::FreshnessGate gate;
    CHECK(gate.isFresh());
    const auto now = Process::bootNow();
    gate.setView({.isRequired = true, .provenAt = std::nullopt, .serveFor = 60_s}, 2);
    CHECK_FALSE(gate.isFresh());
    gate.setProof(now - 59_s);
    CHECK(gate.isFresh());
    const auto permit = gate.permit();
    gate.setProof(now - 20_s);
    CHECK(gate.permits(permit));
    gate.setView({.isRequired = true, .provenAt = now - 70_s, .serveFor = 60_s}, 2);
    CHECK(gate.isFresh());
    // The credential was known to be valid 59 s ago, and the later routes may not have it.
    gate.setView({.isRequired = true, .provenAt = now, .serveFor = 58_s}, 3);
    CHECK(gate.isFresh());
    CHECK_FALSE(gate.permits(permit));
    CHECK(gate.permits(gate.permit()));
    CHECK(gate.permits(std::nullopt));
}

// Guards against calls that were accepted in time, waited, and are sent with a credential that may have been withdrawn meanwhile.
TEST_CASE("A call whose proof gets too old before it is sent is refused as not run")
{
    System system(1);
    Entry::Traffic traffic(
        system.loop(), system.settingsOf(0), [](const Entry::Observations &) {}, [](const Limits::AllowanceRequest &) {});
    REQUIRE_FALSE(traffic.start().has_value());
    const auto routes = Platform::decodeRoutes(keyedRoutes(2, R"("n1")"));
    const auto &upstream = *system.upstreams[0];
    const auto record = Platform::decodeUpstream(upstream.id(), upstream.registrationRecord("s"));
    NodeView fresh;
    fresh.routes = std::make_shared<const Routes::RouteTable>(std::get<Routes::RouteTable>(routes));
    fresh.upstreamsKnown = true;
    const std::vector<Fleet::KnownUpstream> upstreams{{.record = std::get<Fleet::UpstreamRecord>(record)}};
    fresh.upstreams = std::make_shared<const std::vector<Fleet::KnownUpstream>>(upstreams);
    fresh.freshness = {.isRequired = true, .provenAt = Process::bootNow(), .serveFor = 3600_s};
    auto stale = fresh;
    stale.freshness.serveFor = 0_ms;
    traffic.setView(std::make_shared<NodeView>(fresh));
    std::optional<Http::ClientResult> result;
    const auto front = system.settingsOf(0).front;
    const auto caller
        = std::make_shared<Http::ClientConnection>(system.loop(), Tcp::endpoint(boost::asio::ip::make_address(front.ip), front.port));
    caller->start({.bytes = Http::encode(Http::Request{.method = "GET",
                                                       .target = "/r/x",
                                                       .headers = {{"Host", "h.example"},
                                                                   {"Laburnummast-Request-Id", "waits"},
                                                                   {"Laburnummast-Deadline-Milliseconds", "800"},
                                                                   {"Authorization", "Token n1"}},
                                                       .body = {}}),
                   .timeout = 20_s,
                   .matchesRequest = nullptr,
                   .onResult = [&](Http::ClientResult it) { result = std::move(it); }});
    // The call is submitted with the request, and sent only after a probe has been answered.
    while (traffic.counters().placement.calls == 0) {
        system.loop().restart();
        system.loop().run_one();
    }
    traffic.setView(std::make_shared<NodeView>(stale));
    CHECK(system.runUntil([&] { return result.has_value(); }));
    const auto *response = std::get_if<Http::Response>(&*result);
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK(Http::find(response->headers, "Retry-After"));
    CHECK(system.executedCalls() == 0);
    CHECK(traffic.counters().withheldAttempts == 1);
    CHECK(traffic.counters().staleRefusals == 1);
    traffic.setView(std::make_shared<NodeView>(fresh));
    CHECK(callWithKey(system, 0, "/r/x").status == 200);
    caller->close();
    traffic.stop();
}

TEST_CASE("Queries and answers are decoded as they were encoded, and changed or shortened ones do no harm")
{
    using namespace Laburnummast::Entry;
    const FreshnessAnswer answer{
        .nonce = 7,
        .proof = {.known = {.position = {.era = 2, .offset = 9}, .version = 4}, .age = 120_ms, .isSettled = true, .reader = "host-1"}};
    const auto bytes = encodeFreshnessMessage(answer);
    const auto decoded = decodeFreshnessMessage(bytes);
    const auto *message = std::get_if<FreshnessMessage>(&decoded);
    REQUIRE(message);
    const auto &copy = std::get<FreshnessAnswer>(*message);
    CHECK(copy.nonce == 7);
    CHECK(copy.proof.known.position == answer.proof.known.position);
    CHECK(copy.proof.known.version == 4);
    CHECK(copy.proof.age == 120_ms);
    CHECK(copy.proof.isSettled);
    CHECK(copy.proof.reader == "host-1");
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(std::holds_alternative<FreshnessMessageError>(decodeFreshnessMessage(std::string_view(bytes).substr(0, n))));
    }
    std::mt19937 random(1);
    int unreadable = 0;
    for (int i = 0; i < 10000; ++i) {
        auto changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        const auto result = decodeFreshnessMessage(changed);
        unreadable += std::holds_alternative<FreshnessMessageError>(result) ? 1 : 0;
        if (const auto *it = std::get_if<FreshnessMessage>(&result); it && std::holds_alternative<FreshnessAnswer>(*it)) {
            const auto &age = std::get<FreshnessAnswer>(*it).proof.age;
            CHECK((!age || *age >= 0_ms));
        }
    }
    CHECK(unreadable > 0);
    auto negative = answer;
    negative.proof.age = Millis{-1};
    CHECK(std::holds_alternative<FreshnessMessageError>(decodeFreshnessMessage(encodeFreshnessMessage(negative))));
}
