#include "net/httpclient.h"

#include "core/text.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace Laburnummast;
using namespace Laburnummast::Net;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

// A server for one connection: reads the head of a request, sends `bytes`, and then closes or resets the connection.
class OneAnswerServer
{
public:
    OneAnswerServer(const std::string &bytes, bool reset)
        : m_acceptor(m_loop, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0))
    {
        // A small buffer keeps a long request from being taken by the system as a whole.
        m_acceptor.set_option(Asio::socket_base::receive_buffer_size(32768));
        m_thread = std::thread([this, bytes, reset] {
            auto socket = m_acceptor.accept();
            std::string request;
            Asio::read_until(socket, Asio::dynamic_buffer(request), "\r\n\r\n");
            Asio::write(socket, Asio::buffer(bytes));
            if (reset) {
                socket.set_option(Asio::socket_base::linger(true, 0));
            }
            socket.close();
        });
    }

    ~OneAnswerServer()
    {
        m_thread.join();
    }

    OneAnswerServer(const OneAnswerServer &) = delete;
    OneAnswerServer &operator=(const OneAnswerServer &) = delete;

    Address address() const
    {
        return {.ip = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

private:
    Asio::io_context m_loop;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string textOf(const Result<ClientResponse, HttpError> &result)
{
    const auto *response = std::get_if<ClientResponse>(&result);
    return response ? "answered " + response->body : std::string(nameOf(std::get<HttpError>(result)));
}

// Result of an exchange with a server that sends `bytes` and then closes or resets the connection.
std::string resultOf(const std::string &bytes, bool reset, const std::string &requestBody = {})
{
    const OneAnswerServer server(bytes, reset);
    return textOf(fetch(server.address(), {.method = "POST", .target = "/", .body = requestBody}, 20_s, 1000));
}

// The same with a request body that is sent in parts, as the daemon sends long ones, and a server that resets the connection.
std::string streamedResultOf(const std::string &bytes, const std::string &requestBody, bool chunked)
{
    const OneAnswerServer server(bytes, true);
    auto connection = std::get<HttpConnection>(HttpConnection::connect(server.address()));
    const auto length = chunked ? -1 : static_cast<std::int64_t>(requestBody.size());
    if (connection.sendRequest({.method = "PUT", .target = "/", .streamedLength = length})) {
        return "write-failed";
    }
    constexpr std::size_t partBytes = 65536;
    for (std::size_t i = 0; i < requestBody.size(); i += partBytes) {
        if (!connection.sendBodyData(std::string_view(requestBody).substr(i, partBytes), chunked)) {
            return "write-failed";
        }
    }
    return "sent whole";
}

}

// Guards against a partial answer that is taken as complete because the write, not the read, was told of the reset.
TEST_CASE("A response that is reset while a long request is still being sent is no answer for the blocking client")
{
    const std::string body(32 << 20, 'b');
    for (const std::string rest :
         {"\r\n\r\na part", "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n", "\r\nContent-Length: 7\r\n\r\na part"}) {
        CAPTURE(rest);
        CHECK(resultOf("HTTP/1.1 200 OK" + rest, true, body) == "write-failed");
        CHECK(resultOf("HTTP/1.1 200 OK" + rest, false, body) == "write-failed");
        CHECK(streamedResultOf("HTTP/1.1 200 OK" + rest, body, false) == "write-failed");
        CHECK(streamedResultOf("HTTP/1.1 200 OK" + rest, body, true) == "write-failed");
    }
}

// Guards against an upstream in trouble whose answer has a status that no answer can have: 600 and 999 were taken as answers.
TEST_CASE("A response whose status is not three digits from 200 to 599 is no answer for the blocking client")
{
    for (const std::string status :
         {"000", "001", "099", "100", "199", "600", "999", "0", "20", "2000", "-20", "-200", "+20", "+200", "2e2", "abc", ""}) {
        CAPTURE(status);
        for (const std::string rest : {"\r\nContent-Length: 1\r\n\r\nx",
                                       "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                                       "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                                       "\r\n\r\n"}) {
            CAPTURE(rest);
            const auto result = resultOf(Text::concat("HTTP/1.1 ", status, " Odd", rest), false);
            CHECK_MESSAGE((result == "malformed" || result == "broken-off"), result);
        }
    }
    CHECK(resultOf("HTTP/1.1 599 Odd\r\nContent-Length: 1\r\n\r\nx", false) == "answered x");
}

TEST_CASE("A response that ends before its last byte of data is reported as broken off by the blocking client")
{
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n";
    for (const bool reset : {false, true}) {
        CAPTURE(reset);
        for (const auto &whole : {length, chunks + "0\r\n\r\n"}) {
            const auto end = whole == length ? length.size() : chunks.size();
            for (std::size_t cut = 0; cut < end; ++cut) {
                CAPTURE(cut);
                CHECK(resultOf(whole.substr(0, cut), reset) == "broken-off");
            }
        }
        CHECK(resultOf("HTTP/1.1 200 OK\r\n\r\nabc", reset) == "broken-off");
    }
    CHECK(resultOf(length, false) == "answered abc");
    CHECK(resultOf(chunks + "0\r\n\r\n", false) == "answered abc");
}
