#include "core/routing/rendezvous.h"
#include "entry/allowancemessage.h"
#include "entry/peerlink.h"
#include "nodesystem.h"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <variant>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// routesJson() with a workspace of a rate and a burst, and one without a limit.
std::string limitedJson(int version, double perSecond, double burst)
{
    auto json = routesJson(version, "s");
    json.pop_back();
    return Text::concat(json,
                        R"(,"tenants":{"narrow":{"api-keys":["n1"],"rate-per-s":)",
                        perSecond,
                        R"(,"burst":)",
                        burst,
                        R"(},"wide":{"api-keys":["w1"]}}})");
}

// Short times until the daemons know each other, after which a home grants tokens.
NodeSettings quickSettings(const System &system, int n)
{
    auto settings = system.settingsOf(n);
    settings.bounds.catchUp = 1_s;
    return settings;
}

Http::Response callAs(System &system, int n, const std::string &key)
{
    static int calls = 0;
    return system.get(n,
                      0,
                      "/r/x",
                      {{"Laburnummast-Request-Id", "allowance-" + std::to_string(++calls)},
                       {"Laburnummast-Deadline-Milliseconds", "800"},
                       {"Authorization", "Token " + key}});
}

// Makes calls until one is allowed by the home of "narrow".
bool callUntilGranted(System &system, int n)
{
    return system.runUntil([&] {
        if (system.node(static_cast<std::size_t>(n)).trafficCounters().allowances.allowedByHome > 0) {
            return true;
        }
        callAs(system, n, "n1");
        return false;
    });
}

std::size_t homesOf(System &system, std::size_t n)
{
    return system.node(n).controlState().allowances.homedWorkspaces;
}

}

// Guards against calls beyond the allowance that reach an upstream, and against refusals of callers without a limit.
TEST_CASE("Calls beyond the allowance of a workspace get 429 with Retry-After")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", limitedJson(2, 2, 3));
    system.startNode(quickSettings(system, 0));
    REQUIRE(system.ready(0));
    REQUIRE(callUntilGranted(system, 0));
    std::size_t allowed = 0;
    const auto executedBefore = system.executedCalls();
    std::optional<Http::Response> refusal;
    for (int i = 0; i < 30; ++i) {
        const auto response = callAs(system, 0, "n1");
        allowed += response.status == 200 ? 1 : 0;
        if (response.status == 429) {
            refusal = response;
        }
    }
    REQUIRE(refusal);
    CHECK(std::stod(std::string(Http::find(refusal->headers, "Retry-After").value_or("0"))) > 0);
    CHECK(Http::find(refusal->headers, "Laburnummast-Request-Id"));
    const auto executed = system.executedCalls();
    CHECK(executed == executedBefore + allowed);
    for (int i = 0; i < 20; ++i) {
        CHECK(callAs(system, 0, "w1").status == 200);
    }
    CHECK(system.executedCalls() == executed + 20);
    const auto counters = system.node(0).trafficCounters();
    CHECK(counters.ended[static_cast<std::size_t>(CallEnd::OverAllowance)]
          == counters.allowances.deniedByHome + counters.allowances.deniedByOwnShare);
    CHECK(counters.allowances.allowedByHome >= 1);
    const auto state = system.node(0).stateDump();
    CHECK(state.find("allowance narrow rate=2 ") != std::string::npos);
    CHECK(state.find("n1") == std::string::npos);
}

// Guards against a limit that each daemon counts for itself.
TEST_CASE("Two daemons share the allowance of a workspace through its home")
{
    System system(1);
    system.publishAll();
    system.store().put(routesTopic, "config", limitedJson(2, 5, 5));
    system.startNode(quickSettings(system, 0));
    system.startNode(quickSettings(system, 1));
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    REQUIRE(callUntilGranted(system, 0));
    REQUIRE(callUntilGranted(system, 1));
    CHECK(homesOf(system, 0) + homesOf(system, 1) == 1);
    const auto start = std::chrono::steady_clock::now();
    int allowed = 0;
    while (std::chrono::steady_clock::now() - start < std::chrono::seconds(3)) {
        allowed += callAs(system, 0, "n1").status == 200 ? 1 : 0;
        allowed += callAs(system, 1, "n1").status == 200 ? 1 : 0;
    }
    // Two counters of their own would allow about 40.
    CHECK(allowed >= 8);
    CHECK(allowed <= 22);
}

// Guards against a call that waits for ever, or is lost, when its home does not answer or the daemon ends while it is held.
TEST_CASE("Calls whose home does not answer are decided by the own share, or refused when the daemon stops")
{
    System system(1);
    system.publishAll();
    // The home must be the second daemon, whose port for allowances this test takes.
    std::string name = "n";
    while (Routing::rendezvousScore(name, "host-0") > Routing::rendezvousScore(name, "host-1")) {
        name += "n";
    }
    auto json = limitedJson(2, 2, 2);
    json.replace(json.find("narrow"), 6, name);
    system.store().put(routesTopic, "config", json);
    const auto silent = quickSettings(system, 1);
    boost::asio::io_context loop;
    boost::asio::ip::udp::socket taken(loop,
                                       {boost::asio::ip::make_address(silent.ip), internalAddress(silent, InternalPort::Allowances).port});
    system.startNode(quickSettings(system, 0));
    system.startNode(silent);
    REQUIRE(system.ready(0));
    REQUIRE(system.ready(1));
    const auto allowances = [&] { return system.node(0).trafficCounters().allowances; };
    REQUIRE(system.runUntil([&] {
        callAs(system, 0, "n1");
        return allowances().unansweredRequests > 0;
    }));
    CHECK(system.runUntil([&] {
        const auto done = allowances().allowedByOwnShare > 0;
        callAs(system, 0, "n1");
        return done;
    }));
    // After a second without requests, calls are held again.
    const auto before = allowances();
    const auto pauseEnd = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    system.runUntil([&] { return std::chrono::steady_clock::now() > pauseEnd; });
    auto &caller = system.connect(0);
    constexpr std::size_t callCount = 5;
    for (std::size_t i = 0; i < callCount; ++i) {
        caller.send("GET /r/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: held-" + std::to_string(i)
                    + "\r\nLaburnummast-Deadline-Milliseconds: 800\r\nAuthorization: Token n1\r\n\r\n");
    }
    CHECK(system.runUntil([&] { return allowances().held > before.held; }));
    system.node(0).endCalls();
    CHECK(system.runUntil([&] {
        std::size_t answers = 0;
        for (std::size_t at = 0; (at = caller.received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
            ++answers;
        }
        return answers == callCount;
    }));
    const auto state = system.node(0).stateDump();
    CHECK(state.find("calls-open 0\n") != std::string::npos);
}

TEST_CASE("Messages about allowances are decoded as they were encoded")
{
    const AllowanceRequestMessage request{.host = "host-1",
                                          .request = {.workspace = "w", .number = 7, .wanted = 3, .usesOwnShare = true, .isLast = true}};
    const auto decoded = std::get<AllowanceMessage>(decodeAllowanceMessage(encodeAllowanceMessage(request)));
    const auto &copy = std::get<AllowanceRequestMessage>(decoded);
    CHECK(copy.host == "host-1");
    CHECK(copy.request.workspace == "w");
    CHECK(copy.request.number == 7);
    CHECK(copy.request.wanted == 3);
    CHECK(copy.request.usesOwnShare);
    CHECK(copy.request.isLast);
    const Limits::AllowanceAnswer answer{
        .workspace = "w", .number = 9, .verdict = Limits::AllowanceVerdict::Short, .tokens = 2, .retryAfter = 30_ms};
    const auto decodedAnswer = std::get<AllowanceMessage>(decodeAllowanceMessage(encodeAllowanceMessage(answer)));
    CHECK(std::get<Limits::AllowanceAnswer>(decodedAnswer).retryAfter == 30_ms);
    CHECK(std::get<Limits::AllowanceAnswer>(decodedAnswer).verdict == Limits::AllowanceVerdict::Short);
}

// Guards against datagrams that crash a daemon or make it refuse calls for ever.
TEST_CASE("Damaged messages about allowances are rejected or harmless")
{
    const Limits::AllowanceAnswer answer{
        .workspace = "workspace", .number = 9, .verdict = Limits::AllowanceVerdict::Granted, .tokens = 2, .retryAfter = 30_ms};
    const auto bytes = encodeAllowanceMessage(answer);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(std::holds_alternative<AllowanceMessageError>(decodeAllowanceMessage(std::string_view(bytes).substr(0, n))));
    }
    std::mt19937_64 random(1);
    for (int i = 0; i < 20000; ++i) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto decoded = decodeAllowanceMessage(damaged);
        if (const auto *message = std::get_if<AllowanceMessage>(&decoded)) {
            if (const auto *it = std::get_if<Limits::AllowanceAnswer>(message)) {
                CHECK(it->verdict <= Limits::AllowanceVerdict::NotServing);
                CHECK(it->retryAfter >= 0_ms);
                CHECK(it->retryAfter <= 3600_s);
            }
        }
    }
    CHECK(std::holds_alternative<AllowanceMessageError>(decodeAllowanceMessage(std::string(1401, 'x'))));
}
