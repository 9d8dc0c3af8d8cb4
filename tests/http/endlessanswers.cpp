#include "http/clientconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = 1000000;
// The bound of the body, that of the head, and what the buffers of the sockets and one read hold.
constexpr std::uint64_t maxSentBytes = maxBodyBytes + 10000000;

// Answers the first request with `beginning` and then sends `repeated` without end, until the client closes the connection.
class EndlessUpstream
{
public:
    EndlessUpstream(Asio::io_context &loop, std::string beginning, std::string repeated)
        : m_acceptor(loop, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(loop)
        , m_bytes(std::move(beginning))
        , m_repeated(std::move(repeated))
    {
        m_acceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
            REQUIRE_FALSE(ec);
            m_socket = std::move(socket);
            Asio::async_read_until(m_socket, Asio::dynamic_buffer(m_request), "\r\n\r\n", [this](const auto &, std::size_t) { send(); });
        });
    }

    Tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    std::uint64_t sentBytes = 0;
    bool closedByClient = false;

private:
    void send()
    {
        while (m_bytes.size() < 16384) {
            m_bytes += m_repeated;
        }
        Asio::async_write(m_socket, Asio::buffer(m_bytes), [this](const auto &ec, std::size_t n) {
            sentBytes += n;
            closedByClient = static_cast<bool>(ec);
            m_bytes.clear();
            // Far beyond the bound that is tested; ends a test that would not end.
            if (!ec && sentBytes < 10 * maxSentBytes) {
                send();
            }
        });
    }

    Tcp::acceptor m_acceptor;
    Tcp::socket m_socket;
    std::string m_request;
    std::string m_bytes;
    std::string m_repeated;
};

struct Outcome
{
    std::string result;
    std::uint64_t sentBytes = 0;
    bool connectionClosed = false;
};

// Performs one exchange with an upstream whose answer does not end.
Outcome exchange(const std::string &beginning, const std::string &repeated)
{
    Asio::io_context loop;
    EndlessUpstream upstream(loop, beginning, repeated);
    const auto connection = std::make_shared<ClientConnection>(loop, upstream.endpoint());
    std::optional<std::string> result;
    connection->start({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                       .timeout = 20_s,
                       .maxBodyBytes = maxBodyBytes,
                       .matchesRequest = [](const Response &it) { return find(it.headers, "Id") == "1"; },
                       .onResult =
                           [&](const ClientResult &it) {
                               const auto *error = std::get_if<ClientError>(&it);
                               result = error ? nameOf(*error) : "response";
                           }});
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(25);
    while (!(result && upstream.closedByClient) && std::chrono::steady_clock::now() < limit) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(5));
    }
    return {.result = result.value_or("none"), .sentBytes = upstream.sentBytes, .connectionClosed = upstream.closedByClient};
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kilobyte(1000, 'x');

}

TEST_CASE("An answer without end is given up at a bound of bytes and its connection is closed")
{
    struct EndlessAnswer
    {
        std::string name;
        std::string beginning;
        std::string repeated;
    };
    const std::vector<EndlessAnswer> answers{
        {"head line", "HTTP/1.1 200 OK\r\nX: ", kilobyte},
        {"head lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nabc"},
        {"chunks", chunkedHead, "3E8\r\n" + kilobyte + "\r\n"},
        {"one chunk", chunkedHead + "FFFFFFFFF\r\n", kilobyte},
        {"chunk extension", chunkedHead + "1;x=", kilobyte},
        {"trailer line", chunkedHead + "0\r\nX: ", kilobyte},
        {"trailer lines", chunkedHead + "0\r\n", "X: y\r\n"},
        {"body without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", kilobyte},
        {"body with a length beyond any memory", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000000000\r\n\r\n", kilobyte},
    };
    for (const auto &it : answers) {
        CAPTURE(it.name);
        const auto outcome = exchange(it.beginning, it.repeated);
        CHECK(outcome.result == "too-large");
        CHECK(outcome.connectionClosed);
        CHECK(outcome.sentBytes < maxSentBytes);
    }
}

TEST_CASE("An answer whose body is exactly as long as the bound is complete")
{
    const std::string body(maxBodyBytes, 'x');
    const auto length = std::to_string(maxBodyBytes);
    CHECK(exchange("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + length + "\r\n\r\n" + body, "x").result == "response");
    CHECK(exchange(chunkedHead + "F4240\r\n" + body + "\r\n0\r\n\r\n", "x").result == "response");
}

TEST_CASE("Some interim responses and late responses to other requests before the answer do not end the exchange")
{
    std::string other;
    for (int i = 0; i < 40; ++i) {
        other += "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nabc";
    }
    CHECK(exchange(other + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\n", "x").result == "response");
}
