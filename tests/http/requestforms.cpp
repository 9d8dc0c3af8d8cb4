#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

struct RequestForm
{
    std::string_view name;
    std::string_view bytes;
    std::string_view target;
    std::string_view body;
};

// Proper ways to write a request.
const std::vector<RequestForm> forms{
    {"no body", "GET /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\n\r\n", "/a/b?c=%20", ""},
    {"host with a port, in upper case", "GET /a HTTP/1.1\r\nHOST: H.EXAMPLE:80\r\n\r\n", "/a", ""},
    {"no space and tabs around a header value", "GET /a HTTP/1.1\r\nHost:h.example\r\nX:\t x\t \r\n\r\n", "/a", ""},
    {"empty header value", "GET /a HTTP/1.1\r\nHost: h.example\r\nX:\r\nY: \r\n\r\n", "/a", ""},
    {"header value beyond ASCII", "GET /a HTTP/1.1\r\nHost: h.example\r\nX: \xc3\xa9\r\n\r\n", "/a", ""},
    {"empty line before the request line", "\r\nGET /a HTTP/1.1\r\nHost: h.example\r\n\r\n", "/a", ""},
    {"absolute-form target", "GET http://h.example/a?b HTTP/1.1\r\nHost: h.example\r\n\r\n", "http://h.example/a?b", ""},
    {"method that is not in the standard", "M-SEARCH /a HTTP/1.1\r\nHost: h.example\r\n\r\n", "/a", ""},
    {"method of our own", "LIST /a HTTP/1.1\r\nHost: h.example\r\n\r\n", "/a", ""},
    {"length of zero", "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n", "/a", ""},
    {"body with a length", "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\r\nabc", "/a", "abc"},
    {"the same length twice", "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "/a", "abc"},
    {"GET with a body", "GET /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\r\nabc", "/a", "abc"},
    {"chunks", "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n", "/a", "abcd"},
    {"chunks without data", "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n", "/a", ""},
    {"chunk sizes with zeros and upper case",
     "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n000A\r\n0123456789\r\n00\r\n\r\n",
     "/a",
     "0123456789"},
    {"chunk extensions",
     "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n3;a\r\nabc\r\n1;b=c;d=\"e;f\"\r\nd\r\n0;g=h\r\n\r\n",
     "/a",
     "abcd"},
    {"chunk data that looks like chunks",
     "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n0\r\n\r\n1\r\nx\r\n0\r\n\r\n",
     "/a",
     "0\r\n\r\n1\r\nx"},
    {"trailers",
     "POST /a HTTP/1.1\r\nHost: h.example\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\nZ: \r\n\r\n",
     "/a",
     "abc"},
    {"trailers, then an empty line",
     "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n\r\n",
     "/a",
     "a"},
    {"empty line after the body", "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\r\nabc\r\n", "/a", "abc"},
    {"expects 100", "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nExpect: 100-Continue\r\n\r\nabc", "/a", "abc"},
    {"several connection options", "GET /a HTTP/1.1\r\nHost: h.example\r\nConnection: keep-alive, X\r\nX: y\r\n\r\n", "/a", ""},
};

constexpr std::string_view followingRequest = "GET /following HTTP/1.1\r\nHost: h.example\r\n\r\n";

// A listener that answers each request at once, and one client connection to it.
class Server
{
public:
    explicit Server(const ServerLimits &limits = {})
        : m_listener(m_loop,
                     {.onRequest =
                          [this](Request request, const Responder &responder, std::uint64_t) {
                              responder.send({.status = 200, .headers = {}, .body = {}, .keepAlive = true});
                              requests.push_back(std::move(request));
                          },
                      .onDisconnect = [](std::uint64_t) {},
                      .onReject = [this](const RejectedRequest &it) { rejected = std::string(nameOf(it.reason)); }})
        , m_socket(m_loop)
    {
        REQUIRE_FALSE(m_listener.start({Asio::ip::make_address("127.0.0.1"), 0}).has_value());
        m_listener.setLimits(limits);
        m_socket.connect(m_listener.endpoint());
        m_loop.poll();
    }

    // Sends the bytes and lets the server read them.
    void send(std::string_view bytes)
    {
        Asio::write(m_socket, Asio::buffer(bytes));
        m_loop.restart();
        m_loop.poll();
    }

    // Waits for a number of requests; the limit only ends a test that would hang.
    bool receives(std::size_t count)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (requests.size() < count && rejected.empty() && std::chrono::steady_clock::now() < limit) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(1));
        }
        return requests.size() == count;
    }

    std::vector<Request> requests;
    std::string rejected;

private:
    Asio::io_context m_loop;
    Listener m_listener;
    Tcp::socket m_socket;
};

}

TEST_CASE("Each proper form of a request is accepted, also if it arrives in two pieces that are split at any byte")
{
    for (const auto &form : forms) {
        for (std::size_t split = 0; split < form.bytes.size(); ++split) {
            CAPTURE(form.name);
            CAPTURE(split);
            Server server;
            server.send(form.bytes.substr(0, split));
            server.send(std::string(form.bytes.substr(split)) + std::string(followingRequest));
            const bool complete = server.receives(2);
            CHECK(server.rejected == "");
            CHECK(complete);
            if (!complete) {
                break;
            }
            CHECK(server.requests[0].target == form.target);
            CHECK(server.requests[0].body == form.body);
            CHECK(server.requests[1].target == "/following");
        }
    }
}

TEST_CASE("Each proper form of a request is accepted if it arrives byte by byte")
{
    for (const auto &form : forms) {
        CAPTURE(form.name);
        Server server;
        for (const char c : form.bytes) {
            server.send({&c, 1});
        }
        server.send(followingRequest);
        const bool complete = server.receives(2);
        CHECK(server.rejected == "");
        CHECK(complete);
        if (!complete) {
            continue;
        }
        CHECK(server.requests[0].target == form.target);
        CHECK(server.requests[0].body == form.body);
        CHECK(server.requests[1].target == "/following");
    }
}

TEST_CASE("A request whose head and body are exactly as long as the limits is accepted, split at any byte")
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h.example\r\n";
    for (const auto &bytes :
         {head + "Content-Length: 4\r\n\r\nabcd", head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"}) {
        for (std::size_t split = 0; split < bytes.size(); ++split) {
            CAPTURE(bytes);
            CAPTURE(split);
            Server server({.maxHeaderBytes = static_cast<std::uint32_t>(bytes.find("\r\n\r\n") + 4), .maxBodyBytes = 4});
            server.send(std::string_view(bytes).substr(0, split));
            server.send(std::string_view(bytes).substr(split));
            const bool complete = server.receives(1);
            CHECK(server.rejected == "");
            REQUIRE(complete);
            CHECK(server.requests[0].body == "abcd");
        }
    }
}
