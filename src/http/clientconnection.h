#ifndef LABURNUMMAST_HTTP_CLIENTCONNECTION_H
#define LABURNUMMAST_HTTP_CLIENTCONNECTION_H

#include "core/millis.h"
#include "core/result.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Http
{

/// Why an exchange ended without a whole response.
enum class ClientError : std::uint8_t {
    /// No connection: nothing was sent.
    CannotConnect,
    /// The connection ended before the whole response.
    ConnectionLost,
    /// The bytes received are no response.
    Malformed,
    TimedOut,
    Cancelled,
};

std::string_view nameOf(ClientError error);

using ClientResult = Result<Response, ClientError>;

/// One exchange on a connection.
struct Exchange
{
    /// The whole request as bytes; empty with `onResult` unset means none.
    std::string bytes;
    Millis timeout{1000};
    /// Whether a response to HEAD is expected, which has no body.
    bool headRequest = false;
    /// Responses for which this is false belong to another request and are dropped.
    std::function<bool(const Response &)> matchesRequest;
    std::function<void(ClientResult)> onResult;
};

/// A kept-alive connection to one server, with at most one exchange at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);

    /// Sends a request; connects first where needed.
    void start(Exchange exchange);
    /// Ends the exchange and the connection; its result is not reported.
    void cancel();
    void close();

    bool usable() const
    {
        return m_state == State::Idle;
    }
    bool closed() const
    {
        return m_state == State::Closed;
    }
    /// Whether it was connected before the present exchange.
    bool reused() const
    {
        return m_exchangeCount > 1;
    }
    Millis idleSince() const
    {
        return m_idleSince;
    }
    const boost::asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }
    /// How long the server says it keeps an idle connection.
    Millis serverKeepAlive() const
    {
        return m_serverKeepAlive;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    enum class State {
        Idle,
        Connecting,
        Exchanging,
        Closed,
    };

    void connect();
    void send();
    void resetParser();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parseBuffered();
    void onResponse();
    void finish(ClientResult result);
    void fail(ClientError error);
    void startTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Exchange m_exchange;
    State m_state = State::Idle;
    bool m_connected = false;
    bool m_readPending = false;
    bool m_requestWritten = false;
    std::uint64_t m_exchangeCount = 0;
    Millis m_idleSince{};
    Millis m_serverKeepAlive{};
};

}

#endif
