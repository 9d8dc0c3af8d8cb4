#include "http/listener.h"
#include "process/wallclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

// A client connection that collects what it receives.
struct Client
{
    explicit Client(Asio::io_context &loop, const Tcp::endpoint &server)
        : socket(loop)
    {
        socket.connect(server);
        Asio::async_read(socket, Asio::dynamic_buffer(received), [this](const auto &ec, std::size_t) {
            ended = true;
            reset = ec && ec != Asio::error::eof;
        });
    }

    void send(const std::string &bytes)
    {
        Asio::write(socket, Asio::buffer(bytes));
    }

    // How many responses with this status have arrived.
    int responses(int status) const
    {
        const auto line = "HTTP/1.1 " + std::to_string(status) + " ";
        int n = 0;
        for (auto at = received.find(line); at != std::string::npos; at = received.find(line, at + 1)) {
            ++n;
        }
        return n;
    }

    Tcp::socket socket;
    std::string received;
    bool ended = false;
    bool reset = false;
};

struct DrainingServer
{
    DrainingServer()
        : listener(loop,
                   {.onRequest =
                        [this](const Request &request, const Responder &responder, std::uint64_t) {
                            targets.push_back(request.target);
                            pending.push_back(responder);
                        },
                    .onDisconnect = [](std::uint64_t) {}})
    {
        REQUIRE_FALSE(listener.start({Asio::ip::make_address("127.0.0.1"), 0}).has_value());
    }

    Client &connect()
    {
        return clients.emplace_back(loop, listener.endpoint());
    }

    // The limit of 30 seconds only ends a test that would hang.
    template <class Done>
    bool runUntil(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!done() && std::chrono::steady_clock::now() < limit) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(2));
        }
        return done();
    }

    bool runUntilAccepted(std::uint64_t connections)
    {
        return runUntil([&] { return listener.counters().accepted == connections; });
    }

    // Lets everything that has been sent arrive.
    void settle()
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(20));
    }

    void answer(std::size_t request)
    {
        pending[request].send({.status = 200, .headers = {}, .body = targets[request], .keepAlive = true});
    }

    Asio::io_context loop;
    std::vector<std::string> targets;
    std::vector<Responder> pending;
    Listener listener;
    std::list<Client> clients;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

const std::string uploadHead = "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n";

}

// Guards against uploads that are cut off because a connection with half a request counted as idle.
TEST_CASE("A request that is received in part keeps its connection open while the listener drains and is answered")
{
    for (const auto &part : {std::string("P"), uploadHead.substr(0, 30), uploadHead, uploadHead + "abc"}) {
        CAPTURE(part);
        DrainingServer server;
        auto &client = server.connect();
        client.send(part);
        REQUIRE(server.runUntilAccepted(1));
        server.settle();
        server.listener.beginDraining();
        server.listener.stopAccepting();
        server.settle();
        CHECK(server.listener.connectionCount() == 1);
        client.send((uploadHead + "abcdef").substr(part.size()));
        REQUIRE(server.runUntil([&] { return server.pending.size() == 1; }));
        server.answer(0);
        CHECK(server.runUntil([&] { return client.ended; }));
        CHECK(client.responses(200) == 1);
        CHECK(client.received.find("Connection: close") != std::string::npos);
        client.socket.close();
        CHECK(server.runUntil([&] { return server.listener.connectionCount() == 0; }));
    }
}

TEST_CASE("A request whose bytes have arrived at an idle connection, but are not read yet, is answered while the listener drains")
{
    DrainingServer server;
    auto &client = server.connect();
    client.send(get("/1"));
    REQUIRE(server.runUntil([&] { return server.pending.size() == 1; }));
    server.answer(0);
    REQUIRE(server.runUntil([&] { return client.responses(200) == 1; }));
    client.send(get("/2"));
    server.listener.beginDraining();
    REQUIRE(server.runUntil([&] { return server.pending.size() == 2 || client.ended; }));
    REQUIRE(server.pending.size() == 2);
    server.answer(1);
    CHECK(server.runUntil([&] { return client.ended; }));
    CHECK(client.responses(200) == 2);
}

TEST_CASE("A new connection is served while the listener drains, and closed after its first response")
{
    DrainingServer server;
    server.listener.beginDraining();
    auto &client = server.connect();
    REQUIRE(server.runUntilAccepted(1));
    server.settle();
    CHECK_FALSE(client.ended);
    client.send(get("/1"));
    REQUIRE(server.runUntil([&] { return server.pending.size() == 1; }));
    server.answer(0);
    CHECK(server.runUntil([&] { return client.ended; }));
    CHECK(client.responses(200) == 1);
    CHECK_FALSE(client.reset);
}

TEST_CASE("A new connection without a request is closed after a while, so that the listener finishes draining")
{
    DrainingServer server;
    server.listener.beginDraining();
    server.connect();
    REQUIRE(server.runUntilAccepted(1));
    server.listener.stopAccepting();
    CHECK(server.runUntil([&] { return server.listener.connectionCount() == 0; }));
}

TEST_CASE("Pipelined requests that arrived before the end of a response are answered while the listener drains")
{
    DrainingServer server;
    auto &client = server.connect();
    client.send(get("/1") + get("/2"));
    REQUIRE(server.runUntil([&] { return server.pending.size() == 1; }));
    server.settle();
    server.listener.beginDraining();
    server.answer(0);
    REQUIRE(server.runUntil([&] { return server.pending.size() == 2 || client.ended; }));
    REQUIRE(server.pending.size() == 2);
    server.answer(1);
    CHECK(server.runUntil([&] { return client.ended; }));
    CHECK(client.responses(200) == 2);
    CHECK(client.received.find("Connection: close") > client.received.find("/1"));
}

TEST_CASE("Connections that wait to be accepted when the listener stops accepting are served")
{
    DrainingServer server;
    auto &first = server.connect();
    auto &second = server.connect();
    first.send(get("/1"));
    second.send(get("/2"));
    server.listener.beginDraining();
    server.listener.stopAccepting();
    REQUIRE(server.runUntil([&] { return server.pending.size() == 2 || first.ended || second.ended; }));
    REQUIRE(server.pending.size() == 2);
    server.answer(0);
    server.answer(1);
    CHECK(server.runUntil([&] { return first.ended && second.ended; }));
    CHECK(first.responses(200) == 1);
    CHECK(second.responses(200) == 1);
}

TEST_CASE("At the end of draining, a request that was received in part is refused as not run and others are not touched")
{
    DrainingServer server;
    auto &partial = server.connect();
    auto &complete = server.connect();
    auto &idle = server.connect();
    partial.send(uploadHead + "abc");
    complete.send(get("/1"));
    REQUIRE(server.runUntil([&] { return server.pending.size() == 1; }));
    REQUIRE(server.runUntilAccepted(3));
    server.settle();
    server.listener.beginDraining();
    server.listener.refuseIncompleteRequests();
    CHECK(server.runUntil([&] { return partial.ended && idle.ended; }));
    CHECK(partial.responses(503) == 1);
    CHECK_FALSE(partial.reset);
    CHECK(idle.received.empty());
    CHECK_FALSE(complete.ended);
    CHECK(server.listener.counters().rejected[static_cast<std::size_t>(RejectReason::Draining)] == 1);
    server.answer(0);
    CHECK(server.runUntil([&] { return complete.ended; }));
    CHECK(complete.responses(200) == 1);
    CHECK(server.targets.size() == 1);
}
