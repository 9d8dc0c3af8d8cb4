#include "nodesystem.h"

#include <doctest/doctest.h>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Two upstreams in domain "a" and two in domain "b".
void publishTwoDomains(System &system)
{
    system.publishAll();
    for (std::size_t i = 2; i < system.upstreams.size(); ++i) {
        auto record = system.upstreams[i]->registrationRecord("s");
        record.replace(record.find(R"("zone":"a")"), 10, R"("zone":"b")");
        system.store().put(upstreamsTopic, system.upstreams[i]->id(), record);
    }
}

std::size_t executedInB(const System &system)
{
    return system.upstreams[2]->executed.size() + system.upstreams[3]->executed.size();
}

}

// Guards against calls, retries and probes to a domain that operators have evacuated.
TEST_CASE("The upstreams of an evacuated domain get no calls until the evacuation ends, on every daemon")
{
    System system(4);
    publishTwoDomains(system);
    system.startNode(0);
    system.startNode(1);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    system.store().put(routesTopic, "evacuate/b", "{}");
    for (const std::size_t n : {0, 1}) {
        REQUIRE(system.runUntil([&] { return system.node(n).controlState().evacuatedDomains.size() == 1; }));
    }
    // The view of the traffic thread follows that of the control thread at once; one call lets it take effect.
    system.call(0, "/r/x");
    system.call(1, "/r/x");
    const auto before = executedInB(system);
    for (int i = 0; i < 30; ++i) {
        CHECK(system.call(i % 2, "/r/x").status == 200);
    }
    CHECK(executedInB(system) == before);
    system.store().put(routesTopic, "evacuate/a", "{}");
    CHECK(system.runUntil([&] { return system.call(0, "/r/x").status == 503; }));
    CHECK(system.call(0, "/t/x", "POST").status == 503);
    CHECK(executedInB(system) == before);
    system.store().remove(routesTopic, "evacuate/b");
    for (const int n : {0, 1}) {
        CHECK(system.runUntil([&] { return system.call(n, "/r/x").status == 200; }));
    }
    CHECK(executedInB(system) > before);
}

TEST_CASE("A daemon that starts during an evacuation, with the store down soon after, keeps to it")
{
    System system(4);
    publishTwoDomains(system);
    system.store().put(routesTopic, "evacuate/b", "{}");
    system.startNode(0);
    REQUIRE(system.ready(0));
    system.store().setMode(FakeStore::Mode::Unavailable);
    for (int i = 0; i < 10; ++i) {
        CHECK(system.call(0, "/r/x").status == 200);
    }
    CHECK(executedInB(system) == 0);
}
