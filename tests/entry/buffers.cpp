#include "nodesystem.h"
#include "platform/endlessupstream.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

// Guards against a process that ends because it keeps the bytes of answers without end, and takes the calls of others with it.
TEST_CASE("While upstreams answer without end, a daemon keeps to its memory for bodies and calls to other upstreams are answered")
{
    System system(2);
    EndlessUpstream endless(system.loop(), "endless");
    system.publishAll();
    system.store().put(upstreamsTopic, endless.id(), endless.registrationRecord("s2"));
    auto routes = routesJson(1, "s");
    const std::string tapService = R"("priority":1,"service":"s")";
    routes.replace(routes.find(tapService), tapService.size(), R"("priority":1,"service":"s2")");
    system.store().put(routesTopic, "config", routes);
    auto settings = system.settingsOf(0);
    settings.memoryMegabytes = 20;
    system.startNode(settings);
    REQUIRE(system.ready(0));
    REQUIRE(system.runUntil([&] { return system.call(0, "/r/x").status == 200; }));
    constexpr std::size_t endlessCalls = 8;
    std::vector<RawCaller *> callers;
    for (std::size_t i = 0; i < endlessCalls; ++i) {
        callers.push_back(&system.connect(0));
        callers.back()->send(
            Text::concat("POST /t/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: e-",
                         i,
                         "\r\nLaburnummast-Deadline-Milliseconds: 700\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"));
    }
    REQUIRE(system.runUntil([&] { return endless.calls > 0; }));
    for (int i = 0; i < 10; ++i) {
        CHECK(system.call(0, "/r/x", "POST", std::string(10000, 'x')).status == 200);
    }
    for (auto *it : callers) {
        CHECK(system.runUntil([&] { return it->ended; }));
        const auto status = it->received.substr(0, 12);
        // Without an answer to pass on; 503 if the call was not sent.
        CHECK((status == "HTTP/1.1 502" || status == "HTTP/1.1 504" || status == "HTTP/1.1 503"));
    }
    const auto limits = BufferBudgetOptions::forMemory(20000000);
    const auto counters = system.node(0).trafficCounters();
    CHECK(counters.peakBufferedBytes > 0);
    CHECK(counters.peakBufferedBytes <= limits.totalBytes + limits.smallBodyBytes);
    CHECK(system.runUntil([&] { return system.node(0).trafficCounters().bufferedBytes == 0; }));
}
