#ifndef LABURNUMMAST_TESTS_ENTRY_NODESYSTEM_H
#define LABURNUMMAST_TESTS_ENTRY_NODESYSTEM_H

#include "core/text.h"
#include "entry/node.h"
#include "freeports.h"
#include "http/clientconnection.h"
#include "platform/fakestore.h"
#include "platform/fakeupstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Tests
{

using namespace Laburnummast::Entry;

inline constexpr int portsPerNode = 11;
inline const std::string routesTopic = "keyed.op";
inline const std::string upstreamsTopic = "keyed.servers";

inline std::string routesJson(int version, const std::string &service)
{
    return Text::concat(
        R"({"version":)",
        version,
        R"(,"routes":{"read":{"host":"h.example","path-prefix":"/r/","kind":"safe","timeout":"800ms","target-latency":"250ms",)",
        R"("priority":0,"service":")",
        service,
        R"(","max-attempts":2},"tap":{"host":"h.example","path-prefix":"/t/","kind":"unsafe","timeout":"800ms",)",
        R"("target-latency":"300ms","priority":1,"service":")",
        service,
        R"(","max-attempts":2}},"services":{"s":{"health-check-path":"/hc"},"s2":{"health-check-path":"/hc"}},"limits":{}})");
}

// The routes of routesJson() and `extraRoutes` further ones.
inline std::string largeRoutesJson(int version, int extraRoutes)
{
    auto json = routesJson(version, "s");
    std::string extra;
    for (int i = 0; i < extraRoutes; ++i) {
        Text::append(extra, R"("extra-)", i, R"(":{"host":"h.example","path-prefix":"/extra)", i);
        Text::append(extra, R"(/","kind":"safe","timeout":"800ms","target-latency":"250ms","priority":0,"service":"s","max-attempts":2},)");
    }
    const std::string_view start = R"("routes":{)";
    return json.insert(json.find(start) + start.size(), extra);
}

/// A connection of a caller that collects all that it receives.
class RawCaller
{
public:
    RawCaller(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server)
        : m_socket(loop)
    {
        m_socket.connect(server);
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(received), [this](const auto &, std::size_t) { ended = true; });
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }

    std::string received;
    bool ended = false;

private:
    boost::asio::ip::tcp::socket m_socket;
};

// A fake store, fake upstreams and daemons on loopback addresses.
class System
{
public:
    explicit System(int upstreamCount)
        : m_store(m_loop)
        , m_ports(Tests::FreePorts::instance().take(portsPerNode, {"127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"}))
    {
        REQUIRE(m_store.start("127.0.0.1"));
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(std::make_unique<FakeUpstream>(m_loop, "w" + std::to_string(i)));
            REQUIRE(upstreams.back()->start("127.0.0.1"));
        }
    }

    ~System()
    {
        for (const auto &it : m_nodes) {
            it->stop();
        }
    }

    System(const System &) = delete;
    System &operator=(const System &) = delete;

    void publishAll()
    {
        m_store.put(routesTopic, "config", routesJson(1, "s"));
        for (const auto &it : upstreams) {
            m_store.put(upstreamsTopic, it->id(), it->registrationRecord("s"));
        }
    }

    // Daemon `n` listens on 127.0.0.(n+1); all daemons use the same ports.
    NodeSettings settingsOf(int n) const
    {
        const auto ip = "127.0.0." + std::to_string(n + 1);
        return {.host = "host-" + std::to_string(n),
                .domain = "a",
                .front = {.ip = ip, .port = m_ports},
                .readiness = {.ip = ip, .port = static_cast<std::uint16_t>(m_ports + 1)},
                .directory = {.ip = ip, .port = static_cast<std::uint16_t>(m_ports + 2)},
                .control = {},
                .ip = ip,
                .firstInternalPort = static_cast<std::uint16_t>(m_ports + 3),
                .lastInternalPort = static_cast<std::uint16_t>(m_ports + 10),
                .seeds = {{.ip = "127.0.0.1", .port = m_ports}},
                .store = {.ip = "127.0.0.1", .port = m_store.port()},
                .linkMegabits = 1000,
                .bounds = {}};
    }

    void startNode(const NodeSettings &settings)
    {
        m_nodes.push_back(std::make_unique<Node>(settings));
        REQUIRE_FALSE(m_nodes.back()->start().has_value());
    }

    void startNode(int n)
    {
        startNode(settingsOf(n));
    }

    Node &node(std::size_t n)
    {
        return *m_nodes[n];
    }
    boost::asio::io_context &loop()
    {
        return m_loop;
    }
    FakeStore &store()
    {
        return m_store;
    }

    // Runs the event loop of the fakes until `done` returns true; the long limit only ends a test that would hang.
    template <class Done>
    bool runUntil(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(40);
        while (!done() && std::chrono::steady_clock::now() < limit) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(2));
        }
        return done();
    }

    Http::Response get(int n,
                       int portOffset,
                       const std::string &target,
                       Http::Headers headers = {},
                       const std::string &method = "GET",
                       const std::string &body = {})
    {
        std::optional<Http::ClientResult> result;
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0." + std::to_string(n + 1)),
                                                      static_cast<std::uint16_t>(m_ports + portOffset));
        const auto connection = std::make_shared<Http::ClientConnection>(m_loop, endpoint);
        headers.push_back({"Host", "h.example"});
        connection->start({.bytes = Http::encode(Http::Request{.method = method, .target = target, .headers = headers, .body = body}),
                           .timeout = 20_s,
                           .matchesRequest = nullptr,
                           .onResult = [&](Http::ClientResult it) { result = std::move(it); }});
        runUntil([&] { return result.has_value(); });
        connection->close();
        return result && std::holds_alternative<Http::Response>(*result) ? std::get<Http::Response>(*result) : Http::Response{.status = 0};
    }

    // Opens a connection to daemon `n` on which the test sends its own bytes.
    RawCaller &connect(int n)
    {
        return m_callers.emplace_back(m_loop, frontOf(n));
    }

    bool acceptsConnections(int n)
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        boost::system::error_code ec;
        socket.connect(frontOf(n), ec);
        return !ec;
    }

    Http::Response call(int n, const std::string &target, const std::string &method = "GET", const std::string &body = {})
    {
        return get(n,
                   0,
                   target,
                   {{"Laburnummast-Request-Id", "id-" + std::to_string(++m_calls)}, {"Laburnummast-Deadline-Milliseconds", "800"}},
                   method,
                   body);
    }

    bool ready(int n)
    {
        return runUntil([&] { return get(n, 1, "/laburnummast/readiness").status == 200; });
    }

    // Retries that the budget of daemon `n` still allows for service "s".
    double retriesLeft(int n)
    {
        const auto state = node(static_cast<std::size_t>(n)).stateDump();
        const std::string field = " retries-left=";
        const auto at = state.find(field, state.find("service s "));
        return at == std::string::npos ? 0 : std::stod(state.substr(at + field.size()));
    }

    std::size_t executedCalls() const
    {
        std::size_t n = 0;
        for (const auto &it : upstreams) {
            n += it->executed.size();
        }
        return n;
    }

private:
    boost::asio::ip::tcp::endpoint frontOf(int n) const
    {
        return {boost::asio::ip::make_address("127.0.0." + std::to_string(n + 1)), m_ports};
    }

    boost::asio::io_context m_loop;

public:
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;

private:
    FakeStore m_store;
    std::uint16_t m_ports;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::list<RawCaller> m_callers;
    int m_calls = 0;
};

}

#endif
