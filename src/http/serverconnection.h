#ifndef LABURNUMMAST_HTTP_SERVERCONNECTION_H
#define LABURNUMMAST_HTTP_SERVERCONNECTION_H

#include "core/millis.h"
#include "http/connectionguard.h"
#include "http/message.h"
#include "http/rejectreason.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Laburnummast::Http
{

/// Size and time limits for the clients of a listener.
struct ServerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 67108864;
    /// Limit from the first byte of a request to the end of its header, and between two reads of its body.
    Millis headerTimeout{3000};
    /// How long a connection may stay open without a request, and how long its client may take to read a part of a response.
    Millis idleTimeout{15000};
    /// Whether the limits that apply are not known yet. A request beyond the sizes is then answered 503 instead of 413 or 431.
    bool provisional = false;
};

/// A request that was rejected before it was passed to the handler.
struct RejectedRequest
{
    RejectReason reason;
    /// Status of the response.
    int status;
    /// Bytes of the request that were parsed or buffered.
    std::uint64_t receivedBytes;
};

/// Counts since the creation of a listener; they never decrease.
struct ServerCounters
{
    /// Accepted connections.
    std::uint64_t accepted = 0;
    /// Complete requests passed to the handler.
    std::uint64_t requests = 0;
    /// Requests rejected before they were passed to the handler, indexed by `RejectReason`.
    std::array<std::uint64_t, rejectReasonCount> rejected{};
    /// Clients that disconnected before their response.
    std::uint64_t disconnected = 0;
};

class ServerConnection;

/// Sends the response to one request; may be copied and kept until the response is available. Does nothing if the connection is closed.
class Responder
{
public:
    explicit Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t requestId);

    void send(Response response) const;
    /// Closes the connection without a response.
    void abort() const;

private:
    std::weak_ptr<ServerConnection> m_connection;
    std::uint64_t m_requestId;
};

/// Callbacks that handle the requests of a listener.
struct ServerHandler
{
    /// Called for each complete request; `id` is unique within the listener.
    std::function<void(Request, Responder, std::uint64_t id)> onRequest;
    /// Called when the client of the request `id` has closed its connection before the response.
    std::function<void(std::uint64_t id)> onDisconnect;
    /// Called for each request that is rejected; may be unset.
    std::function<void(const RejectedRequest &)> onReject = nullptr;
};

/// State that a listener shares with its connections.
struct ListenerState
{
    ServerHandler handler;
    ServerLimits limits;
    /// Limits the memory for the bodies of requests; null for no limit.
    std::shared_ptr<BufferBudget> budget;
    /// Limits the connections and all else that they hold; null for no limit.
    std::shared_ptr<ConnectionGuard> guard;
    ServerCounters counters;
    std::uint64_t nextRequestId = 1;
    /// Whether each connection is closed after the responses to the requests that it has received.
    bool draining = false;
};

/// One accepted connection; handles one request at a time, pipelined requests wait in the buffer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Starts to read requests.
    void start();
    /// Sends the response to the request `requestId`; ignored if that request is no longer pending.
    void respond(std::uint64_t requestId, Response response);
    /// Closes the connection if the request `requestId` is still pending.
    void abort(std::uint64_t requestId);
    /// Called when the listener begins to drain: closes the connection if it is idle.
    void beginDraining();
    /// Ends a connection that has not received a complete request: rejects the request if a part of it has arrived, else closes.
    void refuseIncompleteRequest();
    /// Ends the connection in favour of others: rejects a request that has arrived in part, else closes.
    void evict();
    ConnectionLoad load() const;
    void close();
    /// Whether a request, or a part of one, has arrived whose response is not sent yet.
    bool hasUnansweredRequest() const
    {
        return m_state == State::AwaitingResponse || m_state == State::Writing || (m_state == State::Reading && m_requestStarted);
    }
    bool closed() const
    {
        return m_state == State::Closed;
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
    /// Drops empty lines before a request and returns whether a byte of the request itself is buffered.
    bool requestBegins();
    void parseBuffered();
    /// Passes what is buffered to the parser, as far as there is memory for the body.
    void parse();
    /// Reserves memory for what has arrived of the body; returns false if there is none at present.
    bool reserveBody();
    /// Reserves memory for the head of the request, with its copies; returns false if there is none.
    bool reserveHead();
    /// Reserves memory for all but the bodies: this connection, what is buffered, the head and `responseBytes`.
    bool reserveConnection(std::uint64_t responseBytes = 0);
    /// Frees the buffer for received bytes if it is empty.
    void releaseBuffer();
    /// Stops reading, so that the client stops sending, until there is memory for the body.
    void waitForMemory();
    void onMemoryCheck();
    void read();
    void onReadable(boost::system::error_code ec);
    void onReceived();
    void dispatch();
    void reject(RejectReason reason);
    void sendContinue();
    void write();
    void onWritten(const boost::system::error_code &ec);
    void linger();
    void onClientDisconnected();
    Millis idleTimeout() const;
    void startTimer(Millis timeout);
    void onTimeout();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    /// How often the timer was set.
    std::uint64_t m_timerCount = 0;
    std::shared_ptr<ListenerState> m_listener;
    /// Memory for all but the bodies; empty without a guard.
    std::optional<BufferReservation> m_held;
    /// Memory for the head of the request and its copies.
    std::uint64_t m_headMemory = 0;
    /// Requests that had arrived before the previous one was answered, without a pause, and when the first of them began.
    std::uint32_t m_pipelinedCount = 0;
    Millis m_pipelinedSince{};
    /// Start of the transfer of the request or response, and when a part of it was transferred last, on the steady clock.
    Millis m_transferSince{};
    Millis m_progressAt{};
    /// Received bytes that are not parsed yet.
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    /// For the body that is being received; null before its head is complete or without a budget.
    std::shared_ptr<BufferReservation> m_reservation;
    /// Whether the parser has to wait until there is memory for the body.
    bool m_lacksMemory = false;
    /// Since when the connection waits for memory, on the steady clock.
    std::optional<Millis> m_waitsForMemorySince;
    /// The response that is being written, and how much of its body has been passed to the socket.
    std::string m_responseHead;
    std::string m_responseBody;
    std::shared_ptr<BufferReservation> m_responseReservation;
    std::size_t m_passedBodyBytes = 0;
    State m_state = State::Reading;
    std::uint64_t m_requestId = 0;
    /// Parsed bytes of the request that is being read.
    std::uint64_t m_parsedBytes = 0;
    /// When the connection was last without a request, on the steady clock.
    Millis m_idleSince{};
    bool m_readPending = false;
    /// Whether a byte of the request that is being read has arrived.
    bool m_requestStarted = false;
    /// Whether a response has been sent on this connection.
    bool m_hasResponded = false;
    bool m_continueSent = false;
    bool m_headRequest = false;
    bool m_keepAlive = true;
};

}

#endif
