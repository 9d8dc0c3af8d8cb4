#include "http/clientpool.h"
#include "http/listener.h"
#include "process/wallclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

const Tcp::endpoint anyPort(Asio::ip::make_address("127.0.0.1"), 0);

// A listener whose requests are answered by a given function, on an event loop that the test drives.
struct TestServer
{
    explicit TestServer(const std::function<void(Request, Responder)> &answer)
        : listener(loop,
                   {.onRequest =
                        [this, answer](Request request, const Responder &responder, std::uint64_t id) {
                            requests.push_back(request);
                            ids.push_back(id);
                            answer(std::move(request), responder);
                        },
                    .onDisconnect = [this](std::uint64_t id) { disconnected.push_back(id); },
                    .onReject = [this](const RejectedRequest &request) { rejected.push_back(request); }})
    {
        REQUIRE_FALSE(listener.start(anyPort).has_value());
    }

    // Runs the event loop until `done` returns true; the limit of 30 seconds only ends a test that would hang.
    template <class Done>
    bool runUntil(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!done() && std::chrono::steady_clock::now() < limit) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(5));
        }
        return done();
    }

    Tcp::socket connect()
    {
        Tcp::socket socket(loop);
        socket.connect(listener.endpoint());
        return socket;
    }

    // Sends raw bytes and returns everything received until the server closes the connection.
    std::string exchangeRaw(const std::string &bytes)
    {
        auto socket = connect();
        Asio::write(socket, Asio::buffer(bytes));
        std::string received;
        bool ended = false;
        Asio::async_read(socket, Asio::dynamic_buffer(received), [&](const auto &, std::size_t) { ended = true; });
        CHECK(runUntil([&] { return ended; }));
        return received;
    }

    Asio::io_context loop;
    std::vector<Request> requests;
    std::vector<std::uint64_t> ids;
    std::vector<std::uint64_t> disconnected;
    std::vector<RejectedRequest> rejected;
    Listener listener;
};

void answerOk(const Request &request, const Responder &responder)
{
    responder.send({.status = 200, .headers = {}, .body = "body of " + request.target, .keepAlive = true});
}

// Target and body of each request.
std::string summaryOf(const std::vector<Request> &requests)
{
    std::string text;
    for (const auto &it : requests) {
        text += it.target + " " + it.body + ", ";
    }
    return text;
}

// Answers each request with the next of the given replies; further requests get no response.
struct ScriptedUpstream
{
    ScriptedUpstream(Asio::io_context &loop, std::vector<std::string> replies, bool closeAfterReply = false)
        : acceptor(loop, anyPort)
        , answers(std::move(replies))
        , closesAfterReply(closeAfterReply)
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
            if (!ec) {
                ++connections;
                serve(std::make_shared<Tcp::socket>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Tcp::socket> &socket)
    {
        auto buf = std::make_shared<std::string>();
        Asio::async_read_until(*socket, Asio::dynamic_buffer(*buf), "\r\n\r\n", [this, socket, buf](const auto &ec, std::size_t) {
            if (ec) {
                return;
            }
            if (next >= answers.size()) {
                unanswered.push_back(socket);
                return;
            }
            boost::system::error_code ignored;
            Asio::write(*socket, Asio::buffer(answers[next++]), ignored);
            if (closesAfterReply) {
                socket->close(ignored);
                return;
            }
            serve(socket);
        });
    }

    Tcp::acceptor acceptor;
    std::vector<std::string> answers;
    bool closesAfterReply;
    std::size_t next = 0;
    int connections = 0;
    std::vector<std::shared_ptr<Tcp::socket>> unanswered;
};

// Performs one exchange at a time with connections from a pool.
struct Client
{
    explicit Client(ScriptedUpstream &upstream, Asio::io_context &io)
        : loop(io)
        , pool(io, upstream.acceptor.local_endpoint())
    {
    }

    ClientResult get(const std::string &id, Millis timeout = 20_s)
    {
        std::optional<ClientResult> result;
        const auto connection = pool.acquire(Process::steadyNow());
        connection->start({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                           .timeout = timeout,
                           .matchesRequest = [id](const Response &it) { return find(it.headers, "Id") == id; },
                           .onResult =
                               [&](ClientResult it) {
                                   pool.release(connection);
                                   result = std::move(it);
                               }});
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!result && std::chrono::steady_clock::now() < limit) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(5));
        }
        REQUIRE(result.has_value());
        return *result;
    }

    Asio::io_context &loop;
    ClientPool pool;
};

std::string reply(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string bodyOf(const ClientResult &result)
{
    const auto *response = std::get_if<Response>(&result);
    return response ? response->body : std::string(nameOf(std::get<ClientError>(result)));
}

}

TEST_CASE("Pipelined requests are answered in order")
{
    TestServer server(answerOk);
    const auto received = server.exchangeRaw("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(received.find("body of /1") < received.find("body of /2"));
    CHECK(received.find("body of /2") != std::string::npos);
}

TEST_CASE("Each request that arrives while an earlier one is answered reaches the handler once and unchanged")
{
    // The next response is sent only after `count` requests were passed to the handler and the bytes of a later one have arrived.
    constexpr std::size_t count = 6;
    std::vector<Responder> pending;
    TestServer server([&](const Request &, const Responder &responder) { pending.push_back(responder); });
    auto socket = server.connect();
    const auto request = [](std::size_t i) {
        return "POST /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n" + std::to_string(i);
    };
    std::string received;
    bool ended = false;
    Asio::async_read(socket, Asio::dynamic_buffer(received), [&](const auto &, std::size_t) { ended = true; });
    Asio::write(socket, Asio::buffer(request(0)));
    for (std::size_t i = 0; i < count; ++i) {
        REQUIRE(server.runUntil([&] { return pending.size() > i || ended; }));
        REQUIRE_FALSE(ended);
        Asio::write(socket, Asio::buffer(request(i + 1)));
        // Lets the connection read the bytes before it answers.
        server.loop.restart();
        server.loop.run_for(std::chrono::milliseconds(5));
        pending[i].send({.status = 200, .headers = {}, .body = {}, .keepAlive = true});
    }
    REQUIRE(server.runUntil([&] { return pending.size() > count || ended; }));
    CHECK(summaryOf(server.requests) == "/0 0, /1 1, /2 2, /3 3, /4 4, /5 5, /6 6, ");
    CHECK_FALSE(ended);
}

TEST_CASE("Pipelined requests that arrive in pieces of any size are answered in order")
{
    std::string bytes;
    std::vector<Request> expected;
    for (const auto size : {0, 1, 700, 20, 3000}) {
        const auto i = std::to_string(expected.size());
        const std::string body(static_cast<std::size_t>(size), i[0]);
        bytes += encode(Request{.method = "POST", .target = "/" + i, .headers = {{"Host", "h"}}, .body = body});
        expected.push_back({.method = "POST", .target = "/" + i, .headers = {}, .body = body});
    }
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{64}, std::size_t{333}, std::size_t{1024}, bytes.size()}) {
        CAPTURE(piece);
        TestServer server(answerOk);
        auto socket = server.connect();
        for (std::size_t i = 0; i < bytes.size(); i += piece) {
            Asio::write(socket, Asio::buffer(std::string(bytes.substr(i, piece))));
            server.loop.restart();
            server.loop.poll();
        }
        std::string received;
        bool ended = false;
        Asio::async_read(socket, Asio::dynamic_buffer(received), [&](const auto &, std::size_t) { ended = true; });
        CHECK(server.runUntil([&] { return server.requests.size() == expected.size() || ended; }));
        CHECK(summaryOf(server.requests) == summaryOf(expected));
        CHECK_FALSE(ended);
    }
}

TEST_CASE("A chunked request body is decoded completely")
{
    TestServer server(answerOk);
    server.exchangeRaw(
        "POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(server.requests.size() == 1);
    CHECK(server.requests[0].body == "abcde");
}

TEST_CASE("A request with Expect: 100-continue gets a 100 response before its body is sent")
{
    TestServer server(answerOk);
    auto socket = server.connect();
    Asio::write(socket, Asio::buffer(std::string("POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")));
    std::string head;
    bool continued = false;
    Asio::async_read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", [&](const auto &, std::size_t) { continued = true; });
    CHECK(server.runUntil([&] { return continued; }));
    CHECK(head.find("100 Continue") != std::string::npos);
    Asio::write(socket, Asio::buffer(std::string("ok")));
    CHECK(server.runUntil([&] { return !server.requests.empty(); }));
    CHECK(server.requests[0].body == "ok");
}

TEST_CASE("A malformed or oversized request is rejected and does not reach the handler")
{
    TestServer server(answerOk);
    server.listener.setLimits({.maxHeaderBytes = 1000, .maxBodyBytes = 10});
    CHECK(server.exchangeRaw("NONSENSE\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(server.exchangeRaw("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n").find("HTTP/1.1 431") == 0);
    CHECK(server.exchangeRaw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(server.exchangeRaw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .find("HTTP/1.1 400")
          == 0);
    CHECK(server.requests.empty());
}

TEST_CASE("A request on a connection that was idle during a change of limits is checked against the new ones")
{
    for (const auto &request : {encode(Request{.method = "GET", .target = "/long", .headers = {{"X", std::string(2000, 'x')}}, .body = {}}),
                                encode(Request{.method = "POST", .target = "/large", .headers = {}, .body = std::string(2000, 'x')})}) {
        TestServer server(answerOk);
        server.listener.setLimits({.maxHeaderBytes = 100, .maxBodyBytes = 10});
        auto socket = server.connect();
        Asio::write(socket, Asio::buffer(std::string("GET /first HTTP/1.1\r\nHost: h\r\n\r\n")));
        std::string received;
        bool ended = false;
        Asio::async_read(socket, Asio::dynamic_buffer(received), [&](const auto &, std::size_t) { ended = true; });
        REQUIRE(server.runUntil([&] { return server.requests.size() == 1; }));
        // Lets the connection write its response and become idle.
        server.loop.restart();
        server.loop.run_for(std::chrono::milliseconds(5));
        server.listener.setLimits({.maxHeaderBytes = 4000, .maxBodyBytes = 4000});
        Asio::write(socket, Asio::buffer(request));
        CHECK(server.runUntil([&] { return server.requests.size() == 2 || ended; }));
        CHECK(server.requests.size() == 2);
    }
}

TEST_CASE("An idle connection is kept for the idle timeout that is in force, not for an earlier one")
{
    TestServer server(answerOk);
    server.listener.setLimits({.idleTimeout = 200_ms});
    auto socket = server.connect();
    REQUIRE(server.runUntil([&] { return server.listener.connectionCount() == 1; }));
    server.listener.setLimits({.idleTimeout = 60_s});
    server.loop.restart();
    server.loop.run_for(std::chrono::milliseconds(400));
    CHECK(server.listener.connectionCount() == 1);
}

TEST_CASE("A request beyond provisional limits is refused with 503, which allows the client to repeat it")
{
    TestServer server(answerOk);
    server.listener.setLimits({.maxHeaderBytes = 100, .maxBodyBytes = 10, .provisional = true});
    CHECK(server.exchangeRaw("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n").find("HTTP/1.1 503") == 0);
    CHECK(server.exchangeRaw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n").find("HTTP/1.1 503") == 0);
    CHECK(server.exchangeRaw("NONSENSE\r\n\r\n").find("HTTP/1.1 400") == 0);
    CHECK(server.requests.empty());
}

TEST_CASE("A body beyond the limit that arrives together with its head is rejected with 413 and not parsed as further header lines")
{
    TestServer server(answerOk);
    server.listener.setLimits({.maxBodyBytes = 10, .headerTimeout = 1_s});
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    CHECK(server.exchangeRaw(head + "11\r\n\r\n01234567890").find("HTTP/1.1 413") == 0);
    CHECK(server.exchangeRaw(head + "18\r\n\r\nX: y\r\nZ: y\r\n\r\nabcd").find("HTTP/1.1 413") == 0);
    CHECK(server.exchangeRaw(head + "9000000000000000\r\n\r\nabc").find("HTTP/1.1 413") == 0);
    CHECK(server.requests.empty());
}

TEST_CASE("A chunk extension or trailer without end is rejected and not buffered without a bound")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &beginning : {head + "1;x=", head + "0\r\nX: "}) {
        TestServer server(answerOk);
        server.listener.setLimits({.maxHeaderBytes = 1000});
        CHECK(server.exchangeRaw(beginning + std::string(3000, 'x')).find("HTTP/1.1 400") == 0);
        CHECK(server.requests.empty());
    }
}

TEST_CASE("An incomplete request is rejected with 408 after the header timeout")
{
    TestServer server(answerOk);
    server.listener.setLimits({.headerTimeout = 20_ms});
    CHECK(server.exchangeRaw("GET / HTTP/1.1\r\nHo").find("HTTP/1.1 408") == 0);
    CHECK(server.requests.empty());
}

TEST_CASE("Each request that is rejected before the handler gets it is reported with its reason, status and size, and counted")
{
    TestServer server(answerOk);
    server.listener.setLimits({.maxHeaderBytes = 1000, .maxBodyBytes = 10, .headerTimeout = 20_ms});
    const std::string longHead = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x');
    const std::string largeBody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
    for (const auto &it : {std::string("NONSENSE\r\n\r\n"), longHead, largeBody, std::string("GET / HTTP/1.1\r\nHo")}) {
        server.exchangeRaw(it);
    }
    std::string reports;
    for (const auto &it : server.rejected) {
        reports += std::string(nameOf(it.reason)) + " " + std::to_string(it.status) + " " + std::to_string(it.receivedBytes) + ", ";
    }
    CHECK(reports
          == "malformed 400 12, head-too-large 431 " + std::to_string(longHead.size()) + ", body-too-large 413 "
              + std::to_string(largeBody.size()) + ", incomplete 408 18, ");
    CHECK(server.listener.counters().rejected == std::array<std::uint64_t, rejectReasonCount>{1, 1, 1, 1});
}

TEST_CASE("The handler is notified when a client disconnects before its response")
{
    TestServer server([](const Request &, const Responder &) {});
    auto socket = server.connect();
    Asio::write(socket, Asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    CHECK(server.runUntil([&] { return !server.requests.empty(); }));
    socket.close();
    CHECK(server.runUntil([&] { return !server.disconnected.empty(); }));
    CHECK(server.disconnected == server.ids);
}

TEST_CASE("The handler is notified when a client disconnects whose next request has already arrived")
{
    TestServer server([](const Request &, const Responder &) {});
    auto socket = server.connect();
    Asio::write(socket, Asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")));
    CHECK(server.runUntil([&] { return !server.requests.empty(); }));
    Asio::write(socket, Asio::buffer(std::string("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")));
    server.loop.restart();
    server.loop.run_for(std::chrono::milliseconds(5));
    socket.close();
    CHECK(server.runUntil([&] { return !server.disconnected.empty(); }));
    CHECK(server.disconnected == server.ids);
    CHECK(server.requests.size() == 1);
}

TEST_CASE("A draining listener closes idle connections and still answers requests that it has read")
{
    std::optional<Responder> pending;
    TestServer server([&](const Request &, const Responder &responder) { pending = responder; });
    auto idle = server.connect();
    auto busy = server.connect();
    Asio::write(busy, Asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    CHECK(server.runUntil([&] { return pending.has_value(); }));
    server.listener.beginDraining();
    std::string fromIdle;
    std::string fromBusy;
    int ended = 0;
    Asio::async_read(idle, Asio::dynamic_buffer(fromIdle), [&](const auto &, std::size_t) { ++ended; });
    Asio::async_read(busy, Asio::dynamic_buffer(fromBusy), [&](const auto &, std::size_t) { ++ended; });
    CHECK(server.runUntil([&] { return ended == 1; }));
    CHECK(fromIdle.empty());
    pending->send({.status = 200, .headers = {}, .body = "done", .keepAlive = true});
    CHECK(server.runUntil([&] { return ended == 2; }));
    CHECK(fromBusy.find("Connection: close") != std::string::npos);
    CHECK(fromBusy.ends_with("done"));
}

TEST_CASE("A connection is reused after a complete response")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {reply("1", "one"), reply("2", "two")});
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "one");
    CHECK(bodyOf(client.get("2")) == "two");
    CHECK(upstream.connections == 1);
}

TEST_CASE("A late response to another request is discarded and the matching one is delivered")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {reply("0", "late") + reply("1", "one")});
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "one");
}

TEST_CASE("Bytes after a complete response close the connection and are never delivered")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {reply("1", "one") + reply("1", "again"), reply("2", "two")});
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "one");
    CHECK(bodyOf(client.get("2")) == "two");
    CHECK(upstream.connections == 2);
}

TEST_CASE("A truncated response is reported as a lost connection and not delivered")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf"}, true);
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "connection-lost");
}

TEST_CASE("A response without a length ends when the connection closes")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it"}, true);
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "all of it");
}

TEST_CASE("Bytes that are not an HTTP response are reported as malformed")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {"\x01\x02 garbage\r\n\r\n"});
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1")) == "malformed");
}

TEST_CASE("An exchange times out if the server does not respond")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {});
    Client client(upstream, loop);
    CHECK(bodyOf(client.get("1", 30_ms)) == "timed-out");
}

TEST_CASE("An exchange with a limit for its progress ends once the server stops sending in the middle of a response")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part"});
    const auto connection = std::make_shared<ClientConnection>(loop, upstream.acceptor.local_endpoint());
    std::optional<ClientResult> result;
    connection->start({.bytes = encode(Request{.method = "GET", .target = "/", .headers = {{"Host", "h"}}, .body = {}}),
                       .timeout = 600_s,
                       .progressTimeout = 30_ms,
                       .matchesRequest = nullptr,
                       .onResult = [&](ClientResult it) { result = std::move(it); }});
    for (int i = 0; i < 600 && !result; ++i) {
        loop.run_for(std::chrono::milliseconds(50));
    }
    REQUIRE(result);
    CHECK(std::get<ClientError>(*result) == ClientError::TimedOut);
}

TEST_CASE("A server that cannot be reached is reported as such, not as a lost connection")
{
    Asio::io_context loop;
    ScriptedUpstream upstream(loop, {});
    Client client(upstream, loop);
    upstream.acceptor.close();
    CHECK(bodyOf(client.get("1")) == "cannot-connect");
}

// Guards against a call that is sent although its credential was withdrawn, or its upstream evacuated, while the connection was opened.
TEST_CASE("A request that may no longer be sent once its connection is open is not sent")
{
    TestServer server([](const Request &, const Responder &responder) { responder.send({.status = 200, .headers = {}, .body = {}}); });
    std::optional<ClientResult> result;
    const auto connection = std::make_shared<ClientConnection>(server.loop, server.listener.endpoint());
    connection->start({.bytes = encode(Request{.method = "GET", .target = "/", .headers = {{"Host", "h"}}, .body = {}}),
                       .timeout = 20_s,
                       .matchesRequest = nullptr,
                       .maySend = [] { return false; },
                       .onResult = [&](ClientResult it) { result = std::move(it); }});
    REQUIRE(server.runUntil([&] { return result.has_value(); }));
    REQUIRE(std::holds_alternative<ClientError>(*result));
    CHECK(std::get<ClientError>(*result) == ClientError::CannotConnect);
    CHECK(server.requests.empty());
}
