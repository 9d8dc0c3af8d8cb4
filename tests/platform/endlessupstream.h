#ifndef LABURNUMMAST_TESTS_PLATFORM_ENDLESSUPSTREAM_H
#define LABURNUMMAST_TESTS_PLATFORM_ENDLESSUPSTREAM_H

#include "core/text.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace Laburnummast::Tests
{

/// Test double of an upstream that answers probes properly, and calls with a body that does not end until the client closes.
class EndlessUpstream
{
public:
    /// How the body is sent.
    enum class Framing {
        /// Without a length: the end of the connection would end it.
        UntilClose,
        Chunked,
    };

    EndlessUpstream(boost::asio::io_context &loop, std::string id, Framing framing = Framing::UntilClose)
        : m_id(std::move(id))
        , m_framing(framing)
        , m_acceptor(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    /// Record with which this upstream registers for `service` in the store.
    std::string registrationRecord(const std::string &service) const
    {
        return Text::concat(R"({"service":")",
                            service,
                            R"(","address":"127.0.0.1:)",
                            m_acceptor.local_endpoint().port(),
                            R"(","zone":"a","version":"v1","slots":30,"state":"ready","cold-remaining":"0ms","sequence-number":1,)",
                            R"("born":1700000000000})");
    }

    const std::string &id() const
    {
        return m_id;
    }

    int calls = 0;
    std::uint64_t sentBytes = 0;

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
        const std::string idHeader = "Laburnummast-Request-Id: ";
        const std::string common = "HTTP/1.1 200 OK\r\nLaburnummast-Server-Load: 0,0,30,100\r\nLaburnummast-Instance-Id: " + m_id + "\r\n";
        const auto at = head.find(idHeader);
        const bool isCall = at != std::string::npos;
        if (isCall) {
            ++calls;
            const auto id = head.substr(at, head.find('\r', at) - at);
            connection->response = common + id + "\r\nLaburnummast-Response-Signature: s\r\n"
                + (m_framing == Framing::Chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
        } else {
            connection->response = common + "Content-Length: 0\r\n\r\n";
        }
        boost::asio::async_write(
            connection->socket, boost::asio::buffer(connection->response), [this, connection, isCall](const auto &ec, auto) {
                if (ec) {
                    return;
                }
                if (isCall) {
                    sendBlocks(connection);
                } else {
                    serve(connection);
                }
            });
    }

    void sendBlocks(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_write(connection->socket, boost::asio::buffer(m_block), [this, connection](const auto &ec, auto n) {
            sentBytes += n;
            if (!ec) {
                sendBlocks(connection);
            }
        });
    }

    std::string m_id;
    Framing m_framing;
    Tcp::acceptor m_acceptor;
    // In chunked framing, one chunk.
    std::string m_block = m_framing == Framing::Chunked ? "40000\r\n" + std::string(262144, 'x') + "\r\n" : std::string(262144, 'x');
};

}

#endif
