#ifndef LABURNUMMAST_TESTS_DAEMON_SYSTEM_H
#define LABURNUMMAST_TESTS_DAEMON_SYSTEM_H

#include "core/config/address.h"
#include "core/keyedhash.h"
#include "daemon/daemon.h"
#include "freeports.h"
#include "net/httpclient.h"
#include "process/signals.h"
#include "process/wallclock.h"
#include "standin/logservice.h"
#include "standin/upstreamserver.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/log/core.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace Laburnummast::Tests
{

/// A loopback address with a port that is reserved for this process and on which nothing listens.
inline Net::Address freeAddress()
{
    return {.ip = "127.0.0.1", .port = FreePorts::instance().take(1)};
}

/// Waits until `condition` is true; returns false after 30 s, which only a failing test reaches.
inline bool eventually(const std::function<bool()> &condition)
{
    constexpr Millis limit = 30_s;
    const auto deadline = Process::steadyNow() + limit;
    while (!condition()) {
        if (Process::steadyNow() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

/// A simulated upstream that listens on its own address.
struct TestUpstream
{
    explicit TestUpstream(const Standin::UpstreamServerOptions &options = {.medianServiceTime = Millis{2}, .sigma = 0.1})
        : server(options)
        , address(freeAddress())
    {
        REQUIRE_FALSE(http.start({.address = address, .threads = 40, .requestTimeout = 60_s, .keepAliveTimeout = 60_s},
                                 [this](Net::ServerRequest &request) { server.handle(request); }));
    }

    /// Injects the faults in `query`, written as NAME=VALUE and joined by `&`.
    void setFault(const std::string &query) const
    {
        const auto answer = Net::fetch(address, {.method = "GET", .target = "/_faults?" + query}, 5_s, 1 << 20);
        REQUIRE(std::holds_alternative<Net::ClientResponse>(answer));
    }
    /// How often the calls of each idempotency key have run: a line "COUNT KEY" for every key.
    std::string keyCounts() const
    {
        const auto answer = Net::fetch(address, {.method = "GET", .target = "/_keys"}, 5_s, 1 << 20);
        return std::get<Net::ClientResponse>(answer).body;
    }

    Standin::UpstreamServer server;
    Net::Address address;
    Net::HttpServer http;
};

/// A log service, upstreams and daemons that run in this process and communicate over loopback.
class System
{
public:
    System(int daemons, int upstreams, Millis usageLogInterval = 60_s)
        : m_logAddress(freeAddress())
        , m_log(1000)
        , m_usageLogInterval(usageLogInterval)
    {
        Process::blockSignals();
        boost::log::core::get()->set_logging_enabled(false);
        REQUIRE_FALSE(
            m_logServer.start({.address = m_logAddress, .threads = 40}, [this](Net::ServerRequest &request) { m_log.handle(request); }));
        for (int i = 0; i < upstreams; ++i) {
            m_upstreams.push_back(std::make_unique<TestUpstream>());
        }
        for (int i = 0; i < daemons; ++i) {
            startDaemon();
        }
    }

    // Stopping a server or daemon takes seconds, because it waits for its threads, so all are stopped in parallel.
    ~System()
    {
        std::vector<std::thread> threads;
        for (auto &it : m_daemons) {
            threads.emplace_back([&it] { it.reset(); });
        }
        for (auto &it : m_upstreams) {
            threads.emplace_back([&it] { it->http.stop(); });
        }
        threads.emplace_back([this] { m_logServer.stop(); });
        for (auto &it : threads) {
            it.join();
        }
    }
    System(const System &) = delete;
    System &operator=(const System &) = delete;

    /// Starts a further daemon, which joins through the first one.
    void startDaemon()
    {
        Daemon::Settings settings;
        settings.host = "host-" + std::to_string(m_settings.size());
        settings.domain = "domain-" + std::to_string(m_settings.size());
        settings.entryAddress = freeAddress();
        settings.adminAddress = freeAddress();
        settings.peerAddress = freeAddress();
        settings.logAddress = m_logAddress;
        settings.logPollTimeout = Millis{500};
        settings.usageLogInterval = m_usageLogInterval;
        settings.entryThreads = 32;
        settings.entryTtl = Millis{200};
        settings.bufferedBytes = 64 << 10;
        settings.probeAfter = Millis{200};
        settings.connectionDaemons = 4;
        settings.seeds = m_settings.empty() ? std::vector<Net::Address>{} : std::vector<Net::Address>{m_settings.front().peerAddress};
        m_settings.push_back(settings);
        m_daemons.push_back(
            std::make_unique<Daemon::Daemon>(settings, Daemon::DaemonKeys{.peer = "peer-key", .operators = "operator-key"}));
        const auto failure = m_daemons.back()->start();
        INFO("address that could not be bound: ", failure ? Config::toString(*failure) : std::string());
        REQUIRE_FALSE(failure);
    }

    /// Injects faults into the log service, as TestUpstream::setFault() does.
    void setLogFault(const std::string &query) const
    {
        REQUIRE(std::holds_alternative<Net::ClientResponse>(
            Net::fetch(m_logAddress, {.method = "GET", .target = "/fault?" + query}, 5_s, 1 << 20)));
    }

    /// Note that adds two owners with a partner each, the service `s` of the first owner, its routes and all upstreams.
    std::string firstNote() const
    {
        std::string text = "[note]\nformat = 1\nid = first\n[added owner o]\n[added owner p]\n"
                           "[added partner o/one]\nowner = o\ncredential_sha256 = "
            + sha256Hex("one-secret") + "\n[added partner p/two]\nowner = p\ncredential_sha256 = " + sha256Hex("two-secret")
            + "\n[added service s]\nowner = o\n"
              "[added route s/tap]\nservice = s\nmethod = POST\nprefix = /tap\npriority = urgent\nidempotent = no\ndeadline_ms = 4000\n"
              "[added route s/short]\nservice = s\nmethod = GET\nprefix = /short\npriority = urgent\nidempotent = yes\ndeadline_ms = 300\n"
              "[added route s/read]\nservice = s\nmethod = GET\nprefix = /read\npriority = normal\nidempotent = yes\ndeadline_ms = 4000\n"
              "[added route s/sheet]\nservice = s\nmethod = PUT\nprefix = /sheet\npriority = deferrable\nidempotent = no\ndeadline_ms = "
              "60000\nmax_body_bytes = 67108864\n";
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            text += "[added upstream u" + std::to_string(i) + "]\nservice = s\nhost = 127.0.0.1\nport = "
                + std::to_string(m_upstreams[i]->address.port) + "\ndomain = domain-0\nconnections = 40\n";
        }
        return text;
    }

    /// Publishes the first note and waits until it is in force on every daemon.
    void deploy()
    {
        REQUIRE(publish(0, firstNote()).head.status == 200);
        REQUIRE(eventually([this] { return daemonsAgreeAt(0); }));
    }

    /// Posts a note to the admin interface of a daemon, authorized by `credential`.
    Net::ClientResponse publish(std::size_t daemon, const std::string &text, const std::string &credential = "operator-key") const
    {
        const Net::ClientRequest request{
            .method = "POST", .target = "/v1/notes", .headers = {{"Authorization", "Bearer " + credential}}, .body = text};
        auto answer = Net::fetch(m_settings[daemon].adminAddress, request, 30_s, 1 << 20);
        REQUIRE(std::holds_alternative<Net::ClientResponse>(answer));
        return std::get<Net::ClientResponse>(std::move(answer));
    }

    /// Whether every running daemon has applied the log up to `offset` and all report the same hash.
    bool daemonsAgreeAt(std::int64_t offset) const
    {
        std::string hash;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto status = m_daemons[i] ? state(i, "/v1/status") : nlohmann::json();
            if (m_daemons[i] && (status["offset"] < offset || (!hash.empty() && status["hash"] != hash))) {
                return false;
            }
            hash = m_daemons[i] ? status["hash"].get<std::string>() : hash;
        }
        return true;
    }

    /// JSON answer of a daemon's admin interface; null without an answer, discarded if it is not JSON.
    nlohmann::json state(std::size_t daemon, const std::string &path = "/v1/state") const
    {
        const auto answer = Net::fetch(m_settings[daemon].adminAddress, {.method = "GET", .target = path}, 5_s, 1 << 24);
        const auto *response = std::get_if<Net::ClientResponse>(&answer);
        return response == nullptr ? nlohmann::json() : nlohmann::json::parse(response->body, nullptr, false);
    }

    /// Sends a call through a daemon; fails the test if no answer comes.
    Net::ClientResponse call(std::size_t daemon,
                             const std::string &method,
                             const std::string &path,
                             std::vector<Net::Header> headers = {},
                             std::string_view body = {},
                             const std::string &credential = "one-secret") const
    {
        headers.push_back({"Authorization", "Bearer " + credential});
        auto answer = Net::fetch(m_settings[daemon].entryAddress,
                                 {.method = method, .target = "/v1/call/" + path, .headers = headers, .body = body},
                                 60_s,
                                 1 << 26);
        if (const auto *failure = std::get_if<Net::HttpError>(&answer)) {
            FAIL("the call was not answered: ", std::string(nameOf(*failure)));
        }
        return std::get<Net::ClientResponse>(std::move(answer));
    }

    Net::Address logAddress() const
    {
        return m_logAddress;
    }
    Net::Address entryAddress(std::size_t daemon) const
    {
        return m_settings[daemon].entryAddress;
    }
    Net::Address peerAddress(std::size_t daemon) const
    {
        return m_settings[daemon].peerAddress;
    }
    TestUpstream &upstream(std::size_t i)
    {
        return *m_upstreams[i];
    }
    Daemon::Daemon &daemon(std::size_t i)
    {
        return *m_daemons[i];
    }
    /// Stops a daemon without draining it.
    void kill(std::size_t i)
    {
        m_daemons[i]->stop();
        m_daemons[i].reset();
    }

private:
    Net::Address m_logAddress;
    Standin::LogService m_log;
    Millis m_usageLogInterval;
    Net::HttpServer m_logServer;
    std::vector<std::unique_ptr<TestUpstream>> m_upstreams;
    std::vector<Daemon::Settings> m_settings;
    std::vector<std::unique_ptr<Daemon::Daemon>> m_daemons;
};

/// Sends `bytes` over a new connection and returns what is read until the peer closes it.
/// If `closeSending` is set, no more can be sent after `bytes`.
inline std::string exchangeRaw(const Net::Address &address, const std::string &bytes, bool closeSending = true)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address(address.ip), address.port}, ec);
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    if (closeSending) {
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }
    std::string answer;
    std::array<char, 4096> buf{};
    while (!ec) {
        const auto n = socket.read_some(boost::asio::buffer(buf), ec);
        answer.append(buf.data(), n);
    }
    return answer;
}

}

#endif
