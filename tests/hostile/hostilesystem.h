#ifndef LABURNUMMAST_TESTS_HOSTILE_HOSTILESYSTEM_H
#define LABURNUMMAST_TESTS_HOSTILE_HOSTILESYSTEM_H

#include "core/text.h"
#include "freeports.h"
#include "hostile/crowd.h"
#include "hostile/entryprocess.h"
#include "http/clientconnection.h"
#include "platform/endlessupstream.h"
#include "platform/fakestore.h"
#include "platform/fakeupstream.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Tests
{

/// What the daemon of a test may use. The tests check that it keeps to this.
struct HostLimits
{
    std::uint64_t memoryMegabytes = 60;
    std::size_t descriptors = 800;
};

/// Ports of the daemon, counted from its first one.
enum class Port : std::uint16_t {
    Front = 0,
    Readiness = 1,
    Directory = 2,
    Records = 3,
    Admin = 5,
};

/// A fake store and fake upstreams in the test process, and one daemon in a process of its own.
class HostileSystem
{
public:
    explicit HostileSystem(const HostLimits &limits = {})
        : m_limits(limits)
        , m_store(m_loop)
        , m_upstream(m_loop, "w0")
        , m_endless(m_loop, "endless", EndlessUpstream::Framing::UntilClose)
        , m_endlessChunked(m_loop, "endless-chunked", EndlessUpstream::Framing::Chunked)
        , m_firstPort(FreePorts::instance().take(portCount))
    {
        REQUIRE(m_store.start("127.0.0.1"));
        REQUIRE(m_upstream.start("127.0.0.1"));
        m_store.put("keyed.op", "config", routes());
        m_store.put("keyed.servers", m_upstream.id(), m_upstream.registrationRecord("s"));
        m_store.put("keyed.servers", m_endless.id(), m_endless.registrationRecord("endless"));
        m_store.put("keyed.servers", m_endlessChunked.id(), m_endlessChunked.registrationRecord("endless-chunked"));
        m_daemon = std::make_unique<EntryProcess>(settings());
        REQUIRE(runUntil([&] { return get(Port::Readiness, "/laburnummast/readiness").status == 200; }));
        REQUIRE(runUntil([&] { return call().status == 200; }));
    }

    void addCrowd(Port port, CrowdOptions options)
    {
        m_crowds.emplace_back(m_loop, endpoint(port), std::move(options));
    }

    /// Lets the crowds act, then checks that the daemon lives within its bounds and answers an ordinary request.
    void checkBounds()
    {
        run(std::chrono::seconds(6));
        CHECK(m_daemon->alive());
        CHECK(runUntil([&] { return call().status == 200; }));
        CHECK(m_daemon->alive());
        const auto peak = m_daemon->peakResidentBytes();
        MESSAGE("resident memory at most " << peak / 1000 << " kB, descriptors at most " << m_maxDescriptors);
        CHECK(peak > 0);
        CHECK(peak < m_limits.memoryMegabytes * 1000000);
        CHECK(m_maxDescriptors <= m_limits.descriptors);
    }

    /// Runs the event loop of the fakes and of the crowds.
    void run(std::chrono::milliseconds time)
    {
        const auto limit = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < limit) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(20));
            m_maxDescriptors = std::max(m_maxDescriptors, m_daemon->descriptorCount());
        }
    }

    // The long limit only ends a test that would hang.
    template <class Done>
    bool runUntil(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(40);
        while (std::chrono::steady_clock::now() < limit) {
            if (done()) {
                return true;
            }
            run(std::chrono::milliseconds(20));
        }
        return false;
    }

    Http::Response
    get(Port port, const std::string &target, Http::Headers headers = {}, const std::string &method = "GET", const std::string &body = {})
    {
        std::optional<Http::ClientResult> result;
        const auto connection = std::make_shared<Http::ClientConnection>(m_loop, endpoint(port));
        headers.push_back({"Host", "h.example"});
        connection->start({.bytes = Http::encode(Http::Request{.method = method, .target = target, .headers = headers, .body = body}),
                           .timeout = 5_s,
                           .matchesRequest = nullptr,
                           .onResult = [&](Http::ClientResult it) { result = std::move(it); }});
        while (!result) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(2));
        }
        connection->close();
        return std::holds_alternative<Http::Response>(*result) ? std::get<Http::Response>(*result) : Http::Response{.status = 0};
    }

    FakeUpstream &upstream()
    {
        return m_upstream;
    }

    Http::Response call(const std::string &target = "/r/x", const std::string &method = "GET", const std::string &body = {})
    {
        return get(Port::Front,
                   target,
                   {{"Laburnummast-Request-Id", Text::concat("id-", ++m_calls)}, {"Laburnummast-Deadline-Milliseconds", "800"}},
                   method,
                   body);
    }

private:
    static constexpr int portCount = 11;

    static std::string route(std::string_view name, std::string_view service)
    {
        return Text::concat("\"",
                            name,
                            R"(":{"host":"h.example","path-prefix":"/)",
                            name,
                            R"(/","kind":"safe","timeout":"4000ms","target-latency":"2000ms","priority":0,"service":")",
                            service,
                            R"(","max-attempts":1})");
    }

    static std::string routes()
    {
        return Text::concat(R"({"version":1,"routes":{)",
                            route("r", "s"),
                            ",",
                            route("e", "endless"),
                            ",",
                            route("c", "endless-chunked"),
                            R"(},"services":{"s":{"health-check-path":"/hc"},"endless":{"health-check-path":"/hc"},)",
                            R"("endless-chunked":{"health-check-path":"/hc"}},"limits":{}})");
    }

    std::string settings() const
    {
        const auto listen = [&](std::string_view name, Port port) {
            return Text::concat("network.listen.", name, "=127.0.0.1:", m_firstPort + static_cast<int>(port), "\n");
        };
        return Text::concat("self.node-name=host-0\nself.zone=a\nself.ip=127.0.0.1\nself.limits.link-mbps=1000\nself.limits.memory-mb=",
                            m_limits.memoryMegabytes,
                            "\nself.limits.fd-limit=",
                            m_limits.descriptors,
                            "\n",
                            listen("front", Port::Front),
                            listen("ready", Port::Readiness),
                            listen("directory", Port::Directory),
                            "network.internal-port-range=",
                            m_firstPort + 3,
                            ",",
                            m_firstPort + portCount - 1,
                            "\nplatform.platform.address=127.0.0.1:",
                            m_store.port(),
                            "\n");
    }

    boost::asio::ip::tcp::endpoint endpoint(Port port) const
    {
        return {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(m_firstPort + static_cast<int>(port))};
    }

    HostLimits m_limits;
    boost::asio::io_context m_loop;
    FakeStore m_store;
    FakeUpstream m_upstream;
    EndlessUpstream m_endless;
    EndlessUpstream m_endlessChunked;
    std::uint16_t m_firstPort;
    std::unique_ptr<EntryProcess> m_daemon;
    std::list<Crowd> m_crowds;
    std::size_t m_maxDescriptors = 0;
    int m_calls = 0;
};

}

#endif
