// Each case guards against limits that ordinary clients of a calm daemon meet.

#include "hostile/hostilesystem.h"

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

constexpr std::size_t largestBody = 67108864;

}

TEST_CASE("A body and an answer of 64 MiB, and a head of nearly 16 KiB, are served")
{
    HostileSystem system({.memoryMegabytes = 260, .descriptors = 2870});
    const std::string body(largestBody - 100, 'x');
    const Http::Headers headers{{"Laburnummast-Request-Id", "large"}, {"Laburnummast-Deadline-Milliseconds", "4000"}};
    CHECK(system.runUntil([&] { return system.get(Port::Front, "/r/x", headers, "POST", body).body.size() > body.size(); }));
    CHECK(system.runUntil([&] { return system.call("/r/" + std::string(15800, 'y')).status == 200; }));
    system.upstream().executed.clear();
    system.checkBounds();
}

TEST_CASE("The largest chunked body is served")
{
    HostileSystem system({.memoryMegabytes = 260, .descriptors = 2870});
    std::string request = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: u\r\n"
                          "Laburnummast-Deadline-Milliseconds: 4000\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 64; ++i) {
        request += "100000\r\n" + std::string(1048576, 'x') + "\r\n";
    }
    request += "0\r\n\r\n";
    const auto isLarge = [&](const auto &it) { return it.body.size() == largestBody; };
    // The crowd sends again if it is refused because the daemon or the upstream was slow.
    system.addCrowd(Port::Front, {.clients = 1, .head = std::move(request), .block = {}, .repeats = 0});
    const auto &executed = system.upstream().executed;
    CHECK(system.runUntil([&] { return std::any_of(executed.begin(), executed.end(), isLarge); }));
    system.checkBounds();
}

TEST_CASE("Some thousand connections of callers stay open on a small host")
{
    HostileSystem system({.memoryMegabytes = 112, .descriptors = 2870});
    system.addCrowd(Port::Front,
                    {.clients = 2000,
                     .head = "GET /none HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: i\r\n\r\n",
                     .block = {},
                     .repeats = 0,
                     .reconnects = 0});
    const auto metric = [&](const std::string &name) { return system.get(Port::Admin, "/metrics").body.find(name) != std::string::npos; };
    CHECK(system.runUntil([&] { return metric("laburnummast_client_connections 2000"); }));
    system.checkBounds();
    for (const std::string reason : {"memory", "connections", "not-accepted"}) {
        CAPTURE(reason);
        CHECK(metric("laburnummast_connections_closed_total{reason=\"" + reason + "\"} 0"));
    }
}
