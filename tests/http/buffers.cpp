#include "http/clientconnection.h"
#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <list>
#include <optional>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

const Tcp::endpoint anyPort(Asio::ip::make_address("127.0.0.1"), 0);
constexpr BufferBudgetOptions options{.requestBytes = 1000000, .totalBytes = 1500000, .smallBodyBytes = 200000};

// The limit of 30 seconds only ends a test that would hang.
template <class Done>
bool runUntil(Asio::io_context &loop, Done done)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done() && std::chrono::steady_clock::now() < limit) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(2));
    }
    return done();
}

// A client that sends one request and collects what it receives.
struct Uploader
{
    Uploader(Asio::io_context &loop, const Tcp::endpoint &server, std::string bytes, bool reads = true)
        : socket(loop)
        , request(std::move(bytes))
    {
        socket.connect(server);
        Asio::async_write(socket, Asio::buffer(request), [](const auto &, std::size_t) {});
        if (reads) {
            Asio::async_read(socket, Asio::dynamic_buffer(received), [this](const auto &, std::size_t) { ended = true; });
        }
    }

    Tcp::socket socket;
    std::string request;
    std::string received;
    bool ended = false;
};

struct BudgetServer
{
    explicit BudgetServer(const ServerLimits &limits = {})
        : listener(loop,
                   {.onRequest =
                        [this](Request request, const Responder &responder, std::uint64_t) {
                            requests.push_back(std::move(request));
                            pending.push_back(responder);
                        },
                    .onDisconnect = [](std::uint64_t) {}})
    {
        listener.setBufferBudget(budget);
        listener.setLimits(limits);
        REQUIRE_FALSE(listener.start(anyPort).has_value());
    }

    Uploader &upload(const std::string &bytes)
    {
        return uploaders.emplace_back(loop, listener.endpoint(), bytes);
    }

    Asio::io_context loop;
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(options);
    std::vector<Request> requests;
    std::vector<Responder> pending;
    Listener listener;
    std::list<Uploader> uploaders;
};

std::string post(std::size_t bodyBytes)
{
    return encode(Request{.method = "POST", .target = "/", .headers = {{"Host", "h"}}, .body = std::string(bodyBytes, 'b')});
}

// One chunk after the other, without the last one.
std::string chunkedPost(std::size_t bodyBytes)
{
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < bodyBytes; i += 10000) {
        bytes += "2710\r\n" + std::string(10000, 'c') + "\r\n";
    }
    return bytes;
}

// An upstream that answers each request with `head` and then bytes without end, until the client closes.
class EndlessUpstream
{
public:
    EndlessUpstream(Asio::io_context &loop, std::string head)
        : m_acceptor(loop, anyPort)
        , m_head(std::move(head))
    {
        accept();
    }

    Tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto connection = std::make_shared<Tcp::socket>(std::move(socket));
            const auto request = std::make_shared<std::string>();
            Asio::async_read_until(
                *connection, Asio::dynamic_buffer(*request), "\r\n\r\n", [this, connection, request](const auto &, auto) {
                    Asio::async_write(*connection, Asio::buffer(m_head), [this, connection](const auto &, auto) { send(connection); });
                });
            accept();
        });
    }

    void send(const std::shared_ptr<Tcp::socket> &connection)
    {
        Asio::async_write(*connection, Asio::buffer(m_block), [this, connection](const auto &writeError, auto) {
            if (!writeError) {
                send(connection);
            }
        });
    }

    Tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_block = std::string(65536, 'x');
};

}

// Guards against a process that ends because the bodies of several requests together take more than its memory.
TEST_CASE("A request that finds no memory for its body waits, and is received once another one has ended")
{
    BudgetServer server;
    server.upload(post(900000));
    REQUIRE(runUntil(server.loop, [&] { return server.requests.size() == 1; }));
    server.upload(post(800000));
    runUntil(server.loop, [&] { return server.listener.unansweredRequests() == 2; });
    CHECK(server.requests.size() == 1);
    server.requests.clear();
    server.pending[0].send({.status = 200, .headers = {}, .body = {}, .keepAlive = true});
    REQUIRE(runUntil(server.loop, [&] { return server.requests.size() == 1; }));
    CHECK(server.requests[0].body.size() == 800000);
    CHECK(server.budget->peakBytes() <= options.requestBytes);
}

TEST_CASE("A request that finds no memory for its body for too long is refused as not run, and small ones are still received")
{
    for (const auto &second : {post(800000), chunkedPost(800000)}) {
        BudgetServer server;
        server.upload(post(900000));
        REQUIRE(runUntil(server.loop, [&] { return server.requests.size() == 1; }));
        auto &refused = server.upload(second);
        server.upload(post(50000));
        REQUIRE(runUntil(server.loop, [&] { return server.requests.size() == 2; }));
        CHECK(runUntil(server.loop, [&] { return refused.received.find("\r\n\r\n") != std::string::npos; }));
        CHECK(refused.received.starts_with("HTTP/1.1 503 "));
        CHECK(server.listener.counters().rejected[static_cast<std::size_t>(RejectReason::NoMemory)] == 1);
        CHECK(server.budget->peakBytes() <= options.totalBytes);
    }
}

TEST_CASE("A request whose body can never be held is refused at once")
{
    BudgetServer server;
    auto &refused = server.upload(post(1000001));
    CHECK(runUntil(server.loop, [&] { return refused.received.find("\r\n\r\n") != std::string::npos; }));
    CHECK(refused.received.starts_with("HTTP/1.1 503 "));
    CHECK(server.budget->peakBytes() == 0);
}

TEST_CASE("A client that does not read its response is disconnected, and the memory of the response is released")
{
    BudgetServer server({.idleTimeout = 100_ms});
    Uploader client(server.loop, server.listener.endpoint(), post(1), false);
    REQUIRE(runUntil(server.loop, [&] { return server.requests.size() == 1; }));
    auto reservation = std::make_shared<BufferReservation>(server.budget, BufferUse::Answer);
    REQUIRE(reservation->raiseTo(1400000));
    server.requests.clear();
    // More than the buffers of both sockets take.
    std::string body;
    body.resize(60000000, 'r');
    server.pending[0].send(
        {.status = 200, .headers = {}, .body = std::move(body), .reservation = std::move(reservation), .keepAlive = true});
    CHECK(server.budget->reservedBytes() == 1400000);
    CHECK(runUntil(server.loop, [&] { return server.budget->reservedBytes() == 0; }));
    CHECK(server.listener.connectionCount() == 0);
}

// Guards against a process that ends because it keeps the bytes of answers without end.
TEST_CASE("Answers without end take no more memory together than their budget, and other exchanges go on")
{
    for (const std::string head : {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1000000\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 900000000000\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n",
                                   "HTTP/1.1 200 OK\r\nX: "}) {
        CAPTURE(head);
        Asio::io_context loop;
        EndlessUpstream endless(loop, head);
        const auto budget = std::make_shared<BufferBudget>(options);
        Listener sound(loop,
                       {.onRequest =
                            [](const Request &, const Responder &responder, std::uint64_t) {
                                responder.send({.status = 200, .headers = {}, .body = std::string(10000, 's'), .keepAlive = true});
                            },
                        .onDisconnect = [](std::uint64_t) {}});
        REQUIRE_FALSE(sound.start(anyPort).has_value());
        int answered = 0;
        int ended = 0;
        const auto start = [&](const Tcp::endpoint &server, Millis timeout, int &count) {
            const auto connection = std::make_shared<ClientConnection>(loop, server);
            connection->start({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                               .timeout = timeout,
                               .budget = budget,
                               .matchesRequest = nullptr,
                               .onResult = [&count, connection](const ClientResult &) { ++count; }});
        };
        constexpr int endlessCount = 10;
        for (int i = 0; i < endlessCount; ++i) {
            start(endless.endpoint(), 400_ms, ended);
        }
        constexpr int soundCount = 20;
        for (int i = 0; i < soundCount; ++i) {
            start(sound.endpoint(), 20_s, answered);
        }
        CHECK(runUntil(loop, [&] { return answered == soundCount; }));
        CHECK(runUntil(loop, [&] { return ended == endlessCount; }));
        CHECK(budget->peakBytes() <= options.totalBytes + options.smallBodyBytes);
        loop.restart();
        loop.run_for(std::chrono::milliseconds(5));
        CHECK(budget->reservedBytes() == 0);
    }
}
