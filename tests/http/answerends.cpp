#include "http/clientconnection.h"

#include "core/text.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

const std::string smallRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string firstAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx";
const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";

enum class StreamEnd {
    // The server closes after it has read the whole request.
    Closed,
    Reset,
    // The server ends its own direction and reads on.
    HalfClosed,
};

// One connection between a client and a server that the test plays, both on one event loop.
class Link
{
public:
    Link()
        : m_acceptor(m_loop, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0))
        , m_server(m_loop)
        , m_client(std::make_shared<ClientConnection>(m_loop, m_acceptor.local_endpoint()))
    {
        // A small buffer keeps a long request from being taken by the system as a whole.
        m_acceptor.set_option(Asio::socket_base::receive_buffer_size(32768));
    }

    void startExchange(const std::string &request, bool headRequest = false)
    {
        m_result.reset();
        m_client->start({.bytes = request,
                         .timeout = 20_s,
                         .headRequest = headRequest,
                         .matchesRequest = [](const Response &it) { return find(it.headers, "Id") == "1"; },
                         .onResult =
                             [this](const ClientResult &it) {
                                 const auto *response = std::get_if<Response>(&it);
                                 m_result = response ? "answered " + response->body : std::string(nameOf(std::get<ClientError>(it)));
                             }});
        if (!m_server.is_open()) {
            m_acceptor.async_accept(m_server, [](const auto &) {});
        }
        REQUIRE(runUntil([this] { return m_server.is_open(); }));
        // Reads the head alone; the rest of a long request stays in the buffers.
        bool headRead = false;
        m_received.clear();
        Asio::async_read_until(m_server, Asio::dynamic_buffer(m_received), "\r\n\r\n", [&](const auto &, std::size_t) { headRead = true; });
        REQUIRE(runUntil([&] { return headRead; }));
    }

    void answer(const std::string &bytes)
    {
        Asio::write(m_server, Asio::buffer(bytes));
        // Lets the client read these bytes before the next event.
        for (int i = 0; i < 3; ++i) {
            m_loop.restart();
            m_loop.poll();
        }
    }

    void end(StreamEnd end)
    {
        boost::system::error_code ec;
        switch (end) {
        case StreamEnd::Closed:
            m_server.close(ec);
            return;
        case StreamEnd::Reset:
            m_server.set_option(Asio::socket_base::linger(true, 0));
            m_server.close(ec);
            return;
        case StreamEnd::HalfClosed:
            m_server.shutdown(Tcp::socket::shutdown_send, ec);
            readOn();
            return;
        }
    }

    std::string result()
    {
        runUntil([this] { return m_result.has_value(); });
        return m_result.value_or("none");
    }

private:
    // The limit of 30 seconds only ends a test that would hang.
    template <class Done>
    bool runUntil(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!done() && std::chrono::steady_clock::now() < limit) {
            m_loop.restart();
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        return done();
    }

    void readOn()
    {
        m_chunk.resize(1 << 20);
        m_server.async_read_some(Asio::buffer(m_chunk), [this](const auto &ec, std::size_t) {
            if (!ec) {
                readOn();
            }
        });
    }

    Asio::io_context m_loop;
    Tcp::acceptor m_acceptor;
    Tcp::socket m_server;
    std::shared_ptr<ClientConnection> m_client;
    std::optional<std::string> m_result;
    std::string m_received;
    std::string m_chunk;
};

std::string longRequest()
{
    // More than the buffers of both sockets take.
    std::string body;
    body.resize(32000000, 'b');
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Result of an exchange whose answer ends after `bytes`.
std::string resultOf(const std::string &bytes, StreamEnd end, bool onKeptConnection, bool headRequest = false)
{
    Link link;
    if (onKeptConnection) {
        link.startExchange(smallRequest);
        link.answer(firstAnswer);
        REQUIRE(link.result() == "answered x");
    }
    link.startExchange(smallRequest, headRequest);
    link.answer(bytes);
    link.end(end);
    return link.result();
}

}

TEST_CASE("An answer that ends before its last byte is not delivered, wherever it is cut")
{
    struct WholeAnswer
    {
        std::string name;
        std::string bytes;
        std::string result;
        bool headRequest = false;
    };
    const std::string length = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n";
    const std::vector<WholeAnswer> answers{
        {"length", length + "abc", "answered abc"},
        {"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "answered abc"},
        {"no body", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "answered "},
        {"head request", length, "answered ", true},
        {"interim response before", "HTTP/1.1 102 Processing\r\n\r\n" + length + "abc", "answered abc"},
        {"response to another request before", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx" + length + "abc", "answered abc"},
    };
    for (const auto &it : answers) {
        CAPTURE(it.name);
        for (const bool onKeptConnection : {false, true}) {
            CAPTURE(onKeptConnection);
            for (const auto end : {StreamEnd::Closed, StreamEnd::Reset, StreamEnd::HalfClosed}) {
                CAPTURE(static_cast<int>(end));
                for (std::size_t cut = 0; cut < it.bytes.size(); ++cut) {
                    CAPTURE(cut);
                    CHECK(resultOf(it.bytes.substr(0, cut), end, onKeptConnection, it.headRequest) == "connection-lost");
                }
                CHECK(resultOf(it.bytes, end, onKeptConnection, it.headRequest) == it.result);
            }
        }
    }
}

TEST_CASE("An answer without a length is complete at the end of the stream, and not if its head is cut or its connection is reset")
{
    const auto bytes = headWithoutLength + "abc";
    for (const bool onKeptConnection : {false, true}) {
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            CAPTURE(cut);
            CHECK(resultOf(bytes.substr(0, cut), StreamEnd::Reset, onKeptConnection) == "connection-lost");
            const bool headComplete = cut >= headWithoutLength.size();
            const auto expected = headComplete ? "answered " + bytes.substr(headWithoutLength.size(), cut - headWithoutLength.size())
                                               : std::string("connection-lost");
            CHECK(resultOf(bytes.substr(0, cut), StreamEnd::Closed, onKeptConnection) == expected);
        }
    }
}

// Guards against a partial answer that is delivered as complete: the pending write took the reset, and the read saw an end of stream.
TEST_CASE("An answer without a length that is reset while the request is still being sent is not delivered")
{
    const auto request = longRequest();
    for (const std::string body : {"", "a part"}) {
        Link link;
        link.startExchange(request);
        link.answer(headWithoutLength + body);
        link.end(StreamEnd::Reset);
        CHECK(link.result() == "connection-lost");
    }
}

// Guards against the same on a connection that an earlier exchange used, and against an answer whose other kind of end is taken as reached.
TEST_CASE("An answer that is reset while the request is still being sent on a kept connection is not delivered")
{
    const auto request = longRequest();
    for (const auto &bytes : {headWithoutLength + "a part",
                              std::string("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"),
                              std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\na part"),
                              std::string("HTTP/1.0 200 OK\r\nId: 1\r\n\r\na part")}) {
        CAPTURE(bytes);
        Link link;
        link.startExchange(smallRequest);
        link.answer(firstAnswer);
        REQUIRE(link.result() == "answered x");
        link.startExchange(request);
        link.answer(bytes);
        link.end(StreamEnd::Reset);
        CHECK(link.result() == "connection-lost");
    }
}

// Guards against an upstream in trouble whose answer has a status that no answer can have: 000 and 099 waited for another answer as after
// an interim one, 600 and 999 were delivered.
TEST_CASE("An answer whose status is not three digits from 100 to 599 ends the exchange as malformed, whatever else it carries")
{
    const std::vector<std::string> statuses{
        "000", "001", "099", "600", "999", "0", "20", "2000", "-20", "-200", "+20", "2e2", " 200", "abc", ""};
    const std::vector<std::string> rests{"\r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
                                         "\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                                         "\r\nId: 1\r\n\r\nx",
                                         "\r\nId: 2\r\nContent-Length: 1\r\n\r\nx",
                                         "\r\nContent-Length: 0\r\n\r\n"};
    for (const auto &status : statuses) {
        CAPTURE(status);
        for (const auto &rest : rests) {
            CAPTURE(rest);
            const auto bytes = Text::concat("HTTP/1.1 ", status, " Odd", rest);
            for (const bool onKeptConnection : {false, true}) {
                CHECK(resultOf(bytes, StreamEnd::HalfClosed, onKeptConnection) == "malformed");
                CHECK(resultOf(bytes, StreamEnd::HalfClosed, onKeptConnection, true) == "malformed");
                CHECK(resultOf("HTTP/1.1 100 Continue\r\n\r\n" + bytes, StreamEnd::HalfClosed, onKeptConnection) == "malformed");
            }
        }
    }
}

TEST_CASE("An answer with an invalid status that comes while the request is still being sent is not delivered")
{
    for (const std::string status : {"000", "600"}) {
        for (const auto end : {StreamEnd::Closed, StreamEnd::Reset, StreamEnd::HalfClosed}) {
            Link link;
            link.startExchange(longRequest());
            link.answer("HTTP/1.1 " + status + " Odd\r\nId: 1\r\n\r\na part");
            link.end(end);
            CHECK(link.result() == "malformed");
        }
    }
}

TEST_CASE("An answer without a length whose server closes without reading the rest of the request is not delivered")
{
    Link link;
    link.startExchange(longRequest());
    link.answer(headWithoutLength + "a part");
    link.end(StreamEnd::Closed);
    CHECK(link.result() == "connection-lost");
}

TEST_CASE("An answer without a length that ends while the request is still being sent is delivered once the server has read the request")
{
    Link link;
    link.startExchange(longRequest());
    link.answer(headWithoutLength + "whole");
    link.end(StreamEnd::HalfClosed);
    CHECK(link.result() == "answered whole");
}

TEST_CASE("A complete answer with a length is delivered though its connection is reset while the request is still being sent")
{
    for (const auto end : {StreamEnd::Closed, StreamEnd::Reset}) {
        Link link;
        link.startExchange(longRequest());
        link.answer(firstAnswer);
        link.end(end);
        CHECK(link.result() == "answered x");
    }
}
