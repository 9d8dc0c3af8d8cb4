#ifndef LABURNUMMAST_HTTP_SERVERCONNECTION_H
#define LABURNUMMAST_HTTP_SERVERCONNECTION_H

#include "core/millis.h"
#include "http/message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Laburnummast::Http
{

/// What a client may send and how long it may take.
struct ServerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 67108864;
    /// From the first byte of a request to the end of its head, and between pieces of its body.
    Millis headerTimeout{3000};
    /// How long a connection may stay without a request.
    Millis idleTimeout{15000};
};

/// Counts of one listener; each only grows.
struct ServerCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0;
    std::uint64_t timedOut = 0;
    /// Clients that left before their answer.
    std::uint64_t disconnected = 0;
};

class ServerConnection;

/// Answers one request; may be kept until the answer is known.
class Responder
{
public:
    explicit Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t requestId);

    void send(Response response) const;
    /// Ends the connection without an answer.
    void abort() const;

private:
    std::weak_ptr<ServerConnection> m_connection;
    std::uint64_t m_requestId;
};

/// What takes the requests of a listener.
struct ServerHandler
{
    std::function<void(Request, Responder, std::uint64_t id)> onRequest;
    /// The client of the request `id` has closed its connection before the answer.
    std::function<void(std::uint64_t id)> onDisconnect;
};

/// What the connections of one listener share.
struct ListenerState
{
    ServerHandler handler;
    ServerLimits limits;
    ServerCounters counters;
    std::uint64_t nextRequestId = 1;
    /// Idle connections are closed, and each answer is the last of its connection.
    bool draining = false;
};

/// One accepted connection: a request at a time, pipelined ones wait in the buffer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener);

    void start();
    void respond(std::uint64_t requestId, Response response);
    void abort(std::uint64_t requestId);
    /// Closes the connection if no request is read or being answered.
    void closeIfIdle();
    void close();
    bool busy() const
    {
        return m_state == State::AwaitingResponse || m_state == State::Writing || m_buffer.size() > 0;
    }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class State {
        Reading,
        AwaitingResponse,
        Writing,
        Lingering,
        Closed,
    };

    void readNextRequest();
    void parseBuffered();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void dispatch();
    void reject(int status);
    void sendContinue();
    void onWritten(const boost::system::error_code &ec);
    void linger();
    void onClientDisconnected();
    void startTimer(Millis timeout);
    void onTimeout();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ListenerState> m_listener;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::string m_writeBuffer;
    State m_state = State::Reading;
    std::uint64_t m_requestId = 0;
    bool m_readPending = false;
    bool m_requestStarted = false;
    bool m_continueSent = false;
    bool m_headRequest = false;
    bool m_keepAlive = true;
};

}

#endif
