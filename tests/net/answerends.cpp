#include "net/httpclient.h"

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

// Result of an exchange with a server that sends `bytes` and then closes or resets the connection.
std::string resultOf(const std::string &bytes, bool reset)
{
    Asio::io_context loop;
    Tcp::acceptor acceptor(loop, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&] {
        auto socket = acceptor.accept();
        std::string request;
        Asio::read_until(socket, Asio::dynamic_buffer(request), "\r\n\r\n");
        Asio::write(socket, Asio::buffer(bytes));
        if (reset) {
            socket.set_option(Asio::socket_base::linger(true, 0));
        }
        socket.close();
    });
    const auto result = fetch({.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()}, {.method = "GET", .target = "/"}, 20_s, 1000);
    server.join();
    const auto *response = std::get_if<ClientResponse>(&result);
    return response ? "answered " + response->body : std::string(nameOf(std::get<HttpError>(result)));
}

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
