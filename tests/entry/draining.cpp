#include "nodesystem.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <optional>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Routes whose timeout is far longer than the grace periods of these tests.
std::string patientRoutes()
{
    auto json = routesJson(1, "s");
    const std::string timeout = R"("timeout":"800ms")";
    for (auto at = json.find(timeout); at != std::string::npos; at = json.find(timeout, at)) {
        json.replace(at, timeout.size(), R"("timeout":"30s")");
    }
    return json;
}

std::string uploadHead(const std::string &id, int deadlineMillis, std::size_t bodyBytes)
{
    return Text::concat("POST /t/upload HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: ",
                        id,
                        "\r\nLaburnummast-Deadline-Milliseconds: ",
                        deadlineMillis,
                        "\r\nContent-Length: ",
                        bodyBytes,
                        "\r\n\r\n");
}

// One daemon that is stopped as its program does on SIGTERM.
class StoppedSystem : public System
{
public:
    explicit StoppedSystem(Millis gracePeriod)
        : System(2)
    {
        publishAll();
        store().put(routesTopic, "config", patientRoutes());
        auto settings = settingsOf(0);
        settings.bounds.gracePeriod = gracePeriod;
        startNode(settings);
        REQUIRE(ready(0));
    }

    void sendSigterm()
    {
        m_ended = std::async(std::launch::async, [this] {
            const auto unanswered = node(0).drain();
            node(0).endCalls();
            return unanswered;
        });
    }

    bool hasEnded() const
    {
        return m_ended.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }

    // Waits until the process would exit; returns how many calls had to be ended for that.
    std::size_t unansweredCalls()
    {
        REQUIRE(runUntil([this] { return hasEnded(); }));
        return m_ended.get();
    }

    // Waits until the daemon accepts no connections any more.
    bool acceptsNone()
    {
        return runUntil([this] { return !acceptsConnections(0); });
    }

private:
    std::future<std::size_t> m_ended;
};

}

// Guards against uploads that are passed on and cut because a daemon counted itself as idle while they were arriving.
TEST_CASE("An upload that arrives around a SIGTERM is answered, also if its last byte comes after the daemon stopped accepting")
{
    StoppedSystem system(6_s);
    auto &before = system.connect(0);
    before.send(uploadHead("before", 20000, 6) + "abc");
    system.sendSigterm();
    auto &during = system.connect(0);
    during.send(uploadHead("during", 20000, 6) + "a");
    REQUIRE(system.acceptsNone());
    CHECK_FALSE(system.hasEnded());
    before.send("def");
    during.send("bcdef");
    CHECK(system.runUntil([&] { return before.ended && during.ended; }));
    CHECK(before.received.starts_with("HTTP/1.1 200 "));
    CHECK(during.received.starts_with("HTTP/1.1 200 "));
    CHECK(system.unansweredCalls() == 0);
    CHECK(system.executedCalls() == 2);
}

// Guards against calls that are passed on late in the grace period and cut at its end.
TEST_CASE("A call that comes late in the grace period with a later deadline is refused as not run and reaches no upstream")
{
    StoppedSystem system(2_s);
    auto &late = system.connect(0);
    late.send(uploadHead("late", 20000, 6) + "abc");
    system.sendSigterm();
    const auto half = std::chrono::steady_clock::now() + std::chrono::milliseconds(1200);
    system.runUntil([&] { return std::chrono::steady_clock::now() >= half; });
    late.send("def");
    CHECK(system.runUntil([&] { return late.ended; }));
    CHECK(late.received.starts_with("HTTP/1.1 503 "));
    CHECK(system.executedCalls() == 0);
    CHECK(system.unansweredCalls() == 0);
}

TEST_CASE("A call whose upstream does not answer within the grace period gets 502, and one that was not received completely gets 503")
{
    StoppedSystem system(500_ms);
    for (const auto &it : system.upstreams) {
        it->mode = FakeUpstream::Mode::Unresponsive;
    }
    auto &running = system.connect(0);
    running.send(uploadHead("running", 20000, 3) + "abc");
    REQUIRE(system.runUntil([&] { return system.executedCalls() == 1; }));
    auto &partial = system.connect(0);
    partial.send(uploadHead("partial", 20000, 6) + "abc");
    system.sendSigterm();
    CHECK(system.runUntil([&] { return running.ended && partial.ended; }));
    CHECK(running.received.starts_with("HTTP/1.1 502 "));
    CHECK(partial.received.starts_with("HTTP/1.1 503 "));
    CHECK(system.unansweredCalls() == 2);
    CHECK(system.executedCalls() == 1);
}
