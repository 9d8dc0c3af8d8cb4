#ifndef LABURNUMMAST_TESTS_PLATFORM_RAWUPSTREAM_H
#define LABURNUMMAST_TESTS_PLATFORM_RAWUPSTREAM_H

#include "core/text.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Laburnummast::Tests
{

/// Test double of an upstream that answers probes properly, and the head of each call with the bytes that the test gives; it then closes or
/// resets the connection without reading on.
class RawUpstream
{
public:
    RawUpstream(boost::asio::io_context &loop, std::string id)
        : m_id(std::move(id))
        , m_acceptor(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        // A small buffer keeps a long request from being taken by the system as a whole.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(32768));
        accept();
    }

    /// Record with which this upstream registers for `service` in the store.
    std::string registrationRecord(const std::string &service) const
    {
        return Text::concat(R"({"service":")",
                            service,
                            R"(","address":"127.0.0.1:)",
                            m_acceptor.local_endpoint().port(),
                            R"(","zone":"a","version":"v1","slots":3,"state":"ready","cold-remaining":"0ms","sequence-number":1,)",
                            R"("born":1700000000000})");
    }

    const std::string &id() const
    {
        return m_id;
    }

    /// Bytes of the answer to a call; `idLine` is the header line with the call's id, without its end.
    std::function<std::string(const std::string &idLine)> answer;
    /// Whether the connection is reset after the answer to a call, not closed.
    bool resetsConnection = false;
    int calls = 0;

private:
    using Tcp = boost::asio::ip::tcp;

    struct Connection
    {
        Tcp::socket socket;
        std::string received;
        std::string response;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
            if (ec) {
                return;
            }
            serve(std::make_shared<Connection>(Connection{.socket = std::move(socket), .received = {}, .response = {}}));
            accept();
        });
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->received), "\r\n\r\n", [this, connection](const auto &ec, auto n) {
                if (ec) {
                    return;
                }
                const auto head = connection->received.substr(0, n);
                connection->received.erase(0, n);
                respond(connection, head);
            });
    }

    void respond(const std::shared_ptr<Connection> &connection, const std::string &head)
    {
        const auto at = head.find("Laburnummast-Request-Id: ");
        const bool isCall = at != std::string::npos;
        if (isCall) {
            ++calls;
            connection->response = answer(head.substr(at, head.find('\r', at) - at));
        } else {
            connection->response = Text::concat("HTTP/1.1 200 OK\r\nLaburnummast-Server-Load: 0,0,3,100\r\nLaburnummast-Instance-Id: ",
                                                m_id,
                                                "\r\nContent-Length: 0\r\n\r\n");
        }
        boost::asio::async_write(
            connection->socket, boost::asio::buffer(connection->response), [this, connection, isCall](const auto &ec, auto) {
                if (ec) {
                    return;
                }
                if (!isCall) {
                    serve(connection);
                    return;
                }
                boost::system::error_code ignored;
                if (resetsConnection) {
                    connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                }
                connection->socket.close(ignored);
            });
    }

    std::string m_id;
    Tcp::acceptor m_acceptor;
};

}

#endif
