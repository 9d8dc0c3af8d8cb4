#ifndef LABURNUMMAST_TESTS_HOSTILE_CROWD_H
#define LABURNUMMAST_TESTS_HOSTILE_CROWD_H

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Laburnummast::Tests
{

/// What each client of a crowd does.
struct CrowdOptions
{
    std::size_t clients = 0;
    /// Sent first.
    std::string head;
    /// Sent `repeats` times after it, then the connection stays open.
    std::string block;
    std::size_t repeats = 0;
    /// Time between two reads of a single byte; nothing is read if it is 0.
    std::chrono::milliseconds readInterval{0};
    /// How often a client connects again after the daemon has closed its connection.
    int reconnects = 3;
};

/// Clients that do the same, each on one connection at a time.
class Crowd
{
public:
    Crowd(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server, CrowdOptions options)
        : m_loop(loop)
        , m_server(server)
        , m_options(std::move(options))
    {
        for (std::size_t i = 0; i < m_options.clients; ++i) {
            connect(m_options.reconnects);
        }
    }

private:
    using Tcp = boost::asio::ip::tcp;

    struct Client
    {
        explicit Client(boost::asio::io_context &loop)
            : socket(loop)
            , timer(loop)
        {
        }

        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 1> byte{};
        std::size_t sentBlocks = 0;
        int reconnects = 0;
    };
    using ClientPtr = std::shared_ptr<Client>;

    void connect(int reconnects)
    {
        const auto client = std::make_shared<Client>(m_loop);
        client->reconnects = reconnects;
        client->socket.async_connect(m_server, [this, client](const auto &ec) {
            if (ec) {
                connectAgain(client);
                return;
            }
            boost::asio::async_write(client->socket, boost::asio::buffer(m_options.head), [this, client](const auto &writeError, auto) {
                if (writeError) {
                    connectAgain(client);
                } else {
                    sendBlocks(client);
                }
            });
            if (m_options.readInterval.count() > 0) {
                readByte(client);
            }
        });
    }

    void connectAgain(const ClientPtr &client)
    {
        boost::system::error_code ec;
        client->socket.close(ec);
        client->timer.cancel();
        if (client->reconnects > 0) {
            connect(client->reconnects - 1);
        }
    }

    void sendBlocks(const ClientPtr &client)
    {
        if (client->sentBlocks == m_options.repeats) {
            client->socket.async_wait(Tcp::socket::wait_error, [client](const auto &) {});
            return;
        }
        boost::asio::async_write(client->socket, boost::asio::buffer(m_options.block), [this, client](const auto &ec, auto) {
            if (ec) {
                connectAgain(client);
                return;
            }
            ++client->sentBlocks;
            sendBlocks(client);
        });
    }

    void readByte(const ClientPtr &client)
    {
        client->socket.async_read_some(boost::asio::buffer(client->byte), [this, client](const auto &ec, auto) {
            if (ec) {
                return;
            }
            client->timer.expires_after(m_options.readInterval);
            client->timer.async_wait([this, client](const auto &timerError) {
                if (!timerError) {
                    readByte(client);
                }
            });
        });
    }

    boost::asio::io_context &m_loop;
    Tcp::endpoint m_server;
    CrowdOptions m_options;
};

}

#endif
