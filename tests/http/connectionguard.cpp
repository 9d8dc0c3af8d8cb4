#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr BufferBudgetOptions options{.requestBytes = 1000000, .totalBytes = 1500000, .smallBodyBytes = 0, .connectionBytes = 200000};
const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Client
{
    Client(Asio::io_context &loop, const Tcp::endpoint &server)
        : socket(loop)
    {
        socket.connect(server);
        Asio::async_read(socket, Asio::dynamic_buffer(received), [this](const auto &, std::size_t) { ended = true; });
    }

    void send(std::string bytes)
    {
        const auto text = std::make_shared<std::string>(std::move(bytes));
        Asio::async_write(socket, Asio::buffer(*text), [text](const auto &, std::size_t) {});
    }

    Tcp::socket socket;
    std::string received;
    bool ended = false;
};

// Answers each request at once.
struct GuardedServer
{
    GuardedServer()
        : guard(std::make_shared<ConnectionGuard>(std::make_shared<BufferBudget>(options)))
        , listener(loop,
                   {.onRequest =
                        [this](const Request &, const Responder &responder, std::uint64_t) {
                            responder.send({.status = 200, .headers = {}, .body = answer, .keepAlive = true});
                        },
                    .onDisconnect = [](std::uint64_t) {}})
    {
        listener.setBufferBudget(guard->budget());
        listener.setGuard(guard);
        REQUIRE_FALSE(listener.start({Asio::ip::make_address("127.0.0.1"), 0}).has_value());
    }

    Client &connect()
    {
        auto &client = clients.emplace_back(loop, listener.endpoint());
        const auto accepted = listener.counters().accepted;
        REQUIRE(runUntil([&] { return listener.counters().accepted > accepted; }));
        return client;
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

    void wait(std::chrono::milliseconds time)
    {
        loop.restart();
        loop.run_for(time);
    }

    std::uint64_t closedFor(GuardReason reason) const
    {
        return guard->counters()[static_cast<std::size_t>(reason)];
    }

    Asio::io_context loop;
    std::shared_ptr<ConnectionGuard> guard;
    std::string answer;
    Listener listener;
    std::list<Client> clients;
};

bool wasAnswered(const Client &client)
{
    return client.received.starts_with("HTTP/1.1 200 ");
}

}

// Guards against a daemon that runs out of descriptors, and against idle callers that lose their connection to a stalled client.
TEST_CASE("At the limit for connections, a stalled client loses its connection before an idle one that was served")
{
    GuardedServer server;
    server.guard->setMaxConnections(2);
    auto &idle = server.connect();
    idle.send(get);
    REQUIRE(server.runUntil([&] { return wasAnswered(idle); }));
    auto &stalled = server.connect();
    stalled.send("G");
    server.wait(std::chrono::milliseconds(600));
    auto &next = server.connect();
    next.send(get);
    CHECK(server.runUntil([&] { return wasAnswered(next); }));
    CHECK_FALSE(idle.ended);
    CHECK(server.runUntil([&] { return stalled.ended; }));
    CHECK(server.closedFor(GuardReason::Connections) == 1);
}

TEST_CASE("At the limit for connections, a connection without a request so far is closed before one that was served")
{
    GuardedServer server;
    server.guard->setMaxConnections(2);
    auto &idle = server.connect();
    idle.send(get);
    REQUIRE(server.runUntil([&] { return wasAnswered(idle); }));
    server.wait(std::chrono::milliseconds(300));
    auto &silent = server.connect();
    server.wait(std::chrono::milliseconds(600));
    auto &next = server.connect();
    next.send(get);
    CHECK(server.runUntil([&] { return wasAnswered(next) && silent.ended; }));
    CHECK_FALSE(idle.ended);
}

TEST_CASE("At the limit for connections, new ones are not accepted while no other can be closed")
{
    GuardedServer server;
    server.guard->setMaxConnections(1);
    auto &first = server.connect();
    auto &second = server.connect();
    CHECK(server.runUntil([&] { return second.ended; }));
    CHECK_FALSE(first.ended);
    CHECK(server.closedFor(GuardReason::NotAccepted) == 1);
}

// Guards against bodies that stop short of their end and keep the memory that others wait for.
TEST_CASE("A stalled body loses its memory to one that waits for it, and is refused as not run")
{
    GuardedServer server;
    auto &stalled = server.connect();
    stalled.send(chunkedHead + "dbba0\r\n" + std::string(900000, 'x') + "\r\n");
    REQUIRE(server.runUntil([&] { return server.guard->budget()->reservedBytes() >= 900000; }));
    server.wait(std::chrono::milliseconds(400));
    auto &next = server.connect();
    next.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" + std::string(500000, 'y'));
    CHECK(server.runUntil([&] { return wasAnswered(next); }));
    CHECK(server.runUntil([&] { return stalled.received.starts_with("HTTP/1.1 503 "); }));
    CHECK(stalled.received.find("Retry-After: ") != std::string::npos);
    CHECK(server.closedFor(GuardReason::Memory) == 1);
}

// Guards against pipelined requests and unread answers that are held without a bound.
TEST_CASE("A client that sends requests and reads no answers is not read further, and takes a bounded amount of memory")
{
    GuardedServer server;
    server.answer = std::string(100000, 'a');
    Tcp::socket socket(server.loop);
    socket.connect(server.listener.endpoint());
    socket.non_blocking(true);
    std::string requests;
    for (int i = 0; i < 1000; ++i) {
        requests += get;
    }
    // Until the buffers of both sockets are full and nothing moves any more.
    int quietRounds = 0;
    std::uint64_t answered = 0;
    CHECK(server.runUntil([&] {
        boost::system::error_code ec;
        const auto sent = socket.write_some(Asio::buffer(requests), ec);
        const bool moved = sent > 0 || server.listener.counters().requests != answered;
        answered = server.listener.counters().requests;
        quietRounds = moved ? 0 : quietRounds + 1;
        return quietRounds > 50;
    }));
    CHECK(server.guard->budget()->connectionBytes() < 120000);
    CHECK(server.listener.connectionCount() == 1);
}
