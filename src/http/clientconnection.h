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

/// Why an exchange ended without a complete response.
enum class ClientError : std::uint8_t {
    /// The connection could not be established; nothing was sent.
    CannotConnect,
    /// The connection closed before the response was complete.
    ConnectionLost,
    /// The received bytes are not a valid HTTP response, or their status is none that a response can have.
    Malformed,
    /// The response, or the other responses before it, are longer than the limits allow.
    TooLarge,
    /// No complete response arrived within the timeout of the exchange.
    TimedOut,
    /// The exchange was cancelled. Not reported by ClientConnection, whose cancel() gives no result.
    Cancelled,
};

/// Name of an error in lower case with hyphens.
std::string_view nameOf(ClientError error);

/// The response, or why there is none.
using ClientResult = Result<Response, ClientError>;

/// One request and the handling of its response.
struct Exchange
{
    /// The complete request in wire format, or its head alone if there is a `body`; empty, with `onResult` unset, if there is no exchange.
    std::string bytes;
    /// Body that is sent after `bytes`; may be null.
    std::shared_ptr<const std::string> body = nullptr;
    /// Limit for the whole exchange, including a connect.
    Millis timeout{1000};
    /// Limit for the time without a byte from the server; empty for none but `timeout`.
    std::optional<Millis> progressTimeout;
    /// Longest body of a response that is accepted.
    std::uint64_t maxBodyBytes = 67108864;
    /// Limits the memory for the body of the response; null for no limit but `maxBodyBytes`.
    std::shared_ptr<BufferBudget> budget = nullptr;
    /// Whether this is a HEAD request, whose response has no body.
    bool headRequest = false;
    /// Responses for which this returns false belong to another request and are discarded; if unset, every response is accepted.
    std::function<bool(const Response &)> matchesRequest;
    /// Asked once a connection that had to be opened first is open; if it returns false, nothing is sent and the exchange fails with
    /// `CannotConnect`. May be unset.
    std::function<bool()> maySend = nullptr;
    /// Called once with the result, unless the exchange is cancelled or the connection is closed first.
    std::function<void(ClientResult)> onResult;
};

/// A persistent connection to one server, with at most one exchange at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);

    /// Sends a request, after connecting if the connection is not open yet.
    void start(Exchange exchange);
    /// Drops the callback of the current exchange without calling it, and closes the connection.
    void cancel();
    /// Closes the connection; the current exchange gets no result.
    void close();

    /// Whether another exchange can start on this connection.
    bool usable() const
    {
        return m_state == State::Idle;
    }
    bool closed() const
    {
        return m_state == State::Closed;
    }
    /// Whether the connection carried an exchange before the current one.
    bool reused() const
    {
        return m_exchangeCount > 1;
    }
    /// End of the last exchange, on the steady clock.
    Millis idleSince() const
    {
        return m_idleSince;
    }
    const boost::asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }
    /// How long the server keeps an idle connection, from its `Keep-Alive` header or a default.
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
    enum class RequestState {
        Sending,
        Sent,
        SendFailed,
    };

    void connect();
    void send();
    void onRequestSent(const boost::system::error_code &ec);
    void resetParser();
    void read();
    void onReadable(boost::system::error_code ec);
    void parseBuffered();
    /// Passes what is buffered to the parser, as far as there is memory; returns false if the exchange has failed.
    bool parse();
    void onStreamEnded();
    void onResponse();
    /// Reserves memory for the head or the part of the body that is being received; returns false if there is none at present.
    bool reserve();
    /// Stops reading, so that the server stops sending, until there is memory for the body.
    void waitForMemory();
    void finish(ClientResult result);
    void fail(ClientError error);
    void startTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    /// Set while the connection waits for memory.
    std::optional<boost::asio::steady_timer> m_memoryTimer;
    boost::asio::ip::tcp::endpoint m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    /// For the response that is being received; null without a budget.
    std::shared_ptr<BufferReservation> m_reservation;
    /// Memory for the head of the response.
    std::uint64_t m_headMemory = 0;
    /// Whether the parser has to wait until there is memory for the response.
    bool m_lacksMemory = false;
    Exchange m_exchange;
    State m_state = State::Idle;
    bool m_connected = false;
    bool m_readPending = false;
    RequestState m_requestState = RequestState::Sending;
    /// Whether the server has ended its stream after a response whose length only the end of the stream tells.
    bool m_responseStreamEnded = false;
    /// How often the timer was set.
    std::uint64_t m_timerCount = 0;
    /// When the current exchange times out, on the steady clock.
    Millis m_deadline{};
    std::uint64_t m_exchangeCount = 0;
    /// Interim responses and responses to other requests that the current exchange has discarded.
    int m_discardedResponses = 0;
    Millis m_idleSince{};
    Millis m_serverKeepAlive{};
};

}

#endif
