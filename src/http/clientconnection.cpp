#include "http/clientconnection.h"

#include "core/text.h"
#include "http/bodymemory.h"
#include "process/wallclock.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>

namespace Laburnummast::Http
{
namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast::http;

constexpr std::size_t readSizeBytes = 16384;
constexpr std::uint32_t maxHeadBytes = 65536;
// Interim responses and responses to other requests that are discarded in one exchange before it is given up.
constexpr int maxDiscardedResponses = 100;
// How often a connection that waits for memory checks for it.
constexpr std::chrono::milliseconds memoryCheckInterval(10);
// Memory of a header beside its text, in the parser and in the copy that is passed on.
constexpr std::uint64_t headerMemory = 192;
// Assumed keep-alive timeout of a server that does not announce one; a common server default.
constexpr Millis defaultKeepAlive = 5_s;

Millis keepAliveTimeoutOf(const Response &response)
{
    const auto header = find(response.headers, "Keep-Alive");
    if (!header) {
        return defaultKeepAlive;
    }
    for (const auto it : Text::split(*header, ',')) {
        const auto [key, value] = Text::splitOnce(it, '=');
        const auto seconds = Text::parseInteger(Text::trim(value));
        if (Text::equalsIgnoreCase(Text::trim(key), "timeout") && seconds) {
            return Millis{static_cast<double>(*seconds) * 1000};
        }
    }
    return defaultKeepAlive;
}

Response toResponse(Beast::response<Beast::string_body> &&message)
{
    Response response;
    response.status = static_cast<int>(message.result_int());
    response.keepAlive = message.keep_alive();
    for (const auto &it : message) {
        response.headers.push_back(
            {std::string(it.name_string().data(), it.name_string().size()), std::string(it.value().data(), it.value().size())});
    }
    response.body = std::move(message.body());
    return response;
}

ClientError errorOf(const boost::system::error_code &ec)
{
    const bool tooLarge = ec == Beast::error::header_limit || ec == Beast::error::body_limit || ec == Beast::error::buffer_overflow;
    return tooLarge ? ClientError::TooLarge : ClientError::Malformed;
}

}

std::string_view nameOf(ClientError error)
{
    switch (error) {
    case ClientError::CannotConnect:
        return "cannot-connect";
    case ClientError::ConnectionLost:
        return "connection-lost";
    case ClientError::Malformed:
        return "malformed";
    case ClientError::TooLarge:
        return "too-large";
    case ClientError::TimedOut:
        return "timed-out";
    case ClientError::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

ClientConnection::ClientConnection(Asio::io_context &loop, const Asio::ip::tcp::endpoint &server)
    : m_socket(loop)
    , m_timer(loop)
    , m_server(server)
{
}

void ClientConnection::start(Exchange exchange)
{
    m_exchange = std::move(exchange);
    ++m_exchangeCount;
    m_requestState = RequestState::Sending;
    m_responseStreamEnded = false;
    m_deadline = Process::steadyNow() + m_exchange.timeout;
    m_discardedResponses = 0;
    startTimer();
    if (m_connected) {
        send();
    } else {
        connect();
    }
}

void ClientConnection::connect()
{
    m_state = State::Connecting;
    boost::system::error_code failure;
    m_socket.open(m_server.protocol(), failure);
    if (failure) {
        // Posted to the event loop, because the caller of start() does not expect onResult to run inside the call.
        Asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(ClientError::CannotConnect); });
        return;
    }
    m_socket.async_connect(m_server, [self = shared_from_this()](const auto &ec) {
        if (self->m_state != State::Connecting) {
            return;
        }
        if (ec) {
            self->fail(ClientError::CannotConnect);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        // Connecting can take seconds if the first packet is lost, so what allowed the request may no longer hold.
        if (self->m_exchange.maySend && !self->m_exchange.maySend()) {
            self->fail(ClientError::CannotConnect);
            return;
        }
        self->m_connected = true;
        self->send();
    });
}

void ClientConnection::send()
{
    m_state = State::Exchanging;
    resetParser();
    const std::array<Asio::const_buffer, 2> buffers{Asio::buffer(m_exchange.bytes),
                                                    m_exchange.body ? Asio::buffer(*m_exchange.body) : Asio::const_buffer()};
    Asio::async_write(m_socket, buffers, [self = shared_from_this(), exchange = m_exchangeCount](const auto &ec, std::size_t) {
        if (self->m_exchangeCount != exchange || self->m_state != State::Exchanging) {
            return;
        }
        self->onRequestSent(ec);
    });
    read();
}

void ClientConnection::onRequestSent(const boost::system::error_code &ec)
{
    // A failed write does not end the exchange: an early response may have arrived before the server reset the connection.
    m_requestState = ec ? RequestState::SendFailed : RequestState::Sent;
    if (m_responseStreamEnded) {
        onStreamEnded();
    }
}

void ClientConnection::resetParser()
{
    m_parser.emplace();
    m_reservation.reset();
    m_headMemory = 0;
    // Not eager: an eager parser goes on to the body when the head's Content-Length is beyond the limit, and reserves that length.
    m_parser->skip(m_exchange.headRequest);
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(m_exchange.maxBodyBytes);
}

void ClientConnection::read()
{
    if (m_readPending || m_state == State::Closed) {
        return;
    }
    m_readPending = true;
    // Waits before it reads, so that an idle connection needs no buffer.
    m_socket.async_wait(Asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto &ec) { self->onReadable(ec); });
}

void ClientConnection::onReadable(boost::system::error_code ec)
{
    m_readPending = false;
    if (m_state == State::Closed) {
        return;
    }
    thread_local std::array<char, readSizeBytes> received;
    std::size_t n = 0;
    if (!ec) {
        n = m_socket.read_some(Asio::buffer(received), ec);
        if (ec == Asio::error::would_block || ec == Asio::error::try_again) {
            read();
            return;
        }
    }
    if (m_state != State::Exchanging) {
        // Data or end of stream without a pending request belongs to no exchange, so the connection cannot be reused.
        close();
        return;
    }
    if (ec) {
        m_responseStreamEnded = ec == Asio::error::eof && m_parser->got_some() && m_parser->is_header_done() && m_parser->need_eof();
        if (!m_responseStreamEnded) {
            fail(ClientError::ConnectionLost);
            return;
        }
        onStreamEnded();
        return;
    }
    m_buffer.commit(Asio::buffer_copy(m_buffer.prepare(n), Asio::buffer(received, n)));
    if (m_exchange.progressTimeout) {
        startTimer();
    }
    parseBuffered();
}

bool ClientConnection::parse()
{
    m_lacksMemory = false;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        if (!reserve()) {
            m_lacksMemory = true;
            return true;
        }
        boost::system::error_code ec;
        const auto n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (ec == Beast::error::need_more) {
            break;
        }
        if (ec) {
            fail(errorOf(ec));
            return false;
        }
        if (n == 0) {
            break;
        }
    }
    // The parser accepts any three digits. What such a response says about the request is unknown, also if it names another request.
    if (m_parser->is_header_done() && !isValidStatus(static_cast<int>(m_parser->get().result_int()))) {
        fail(ClientError::Malformed);
        return false;
    }
    if (m_buffer.size() == 0) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
    m_lacksMemory = !m_parser->is_done() && !reserve();
    return true;
}

void ClientConnection::parseBuffered()
{
    if (!parse()) {
        return;
    }
    if (m_lacksMemory) {
        waitForMemory();
        return;
    }
    if (m_parser->is_done()) {
        onResponse();
        return;
    }
    // The parser takes body bytes at once; what it leaves is part of a head, or of a chunk header or trailer without end.
    if (m_buffer.size() > maxHeadBytes) {
        fail(ClientError::TooLarge);
        return;
    }
    read();
}

bool ClientConnection::reserve()
{
    if (!m_exchange.budget) {
        return true;
    }
    if (!m_reservation) {
        m_reservation = std::make_shared<BufferReservation>(m_exchange.budget, BufferUse::Answer);
    }
    if (!m_parser->is_header_done()) {
        return m_reservation->raiseTo(m_buffer.capacity());
    }
    if (m_headMemory == 0) {
        for (const auto &it : m_parser->get()) {
            m_headMemory += headerMemory + 2 * (it.name_string().size() + it.value().size());
        }
    }
    const auto length = m_parser->content_length();
    const bool hasLength = m_exchange.headRequest || length.has_value();
    return growBody(m_parser->get().body(),
                    *m_reservation,
                    {.length = hasLength ? std::optional<std::uint64_t>(m_exchange.headRequest ? 0 : *length) : std::nullopt,
                     .arrivedBytes = m_buffer.size(),
                     .maxBodyBytes = m_exchange.maxBodyBytes,
                     .extraBytes = m_headMemory});
}

void ClientConnection::waitForMemory()
{
    const auto length = m_parser->is_header_done() ? m_parser->content_length().value_or(0) : 0;
    if (!m_exchange.budget->canHold(BufferUse::Answer, length)) {
        fail(ClientError::TooLarge);
        return;
    }
    m_exchange.budget->reportShortage();
    m_memoryTimer.emplace(m_socket.get_executor(), memoryCheckInterval);
    m_memoryTimer->async_wait([self = shared_from_this(), exchange = m_exchangeCount](const auto &ec) {
        if (!ec && self->m_exchangeCount == exchange && self->m_state == State::Exchanging) {
            self->parseBuffered();
        }
    });
}

// The end of the stream alone does not tell a complete response from one that a reset cut off: a socket reports a reset only once, and a
// write that is pending takes it first, after which reads end like those of a closed stream. So the write decides.
void ClientConnection::onStreamEnded()
{
    switch (m_requestState) {
    case RequestState::Sending:
        return;
    case RequestState::SendFailed:
        fail(ClientError::ConnectionLost);
        return;
    case RequestState::Sent:
        boost::system::error_code ignored;
        m_parser->put_eof(ignored);
        onResponse();
        return;
    }
}

void ClientConnection::onResponse()
{
    const bool endsConnection = m_parser->need_eof();
    if (m_reservation) {
        trimBody(m_parser->get().body(), *m_reservation, m_headMemory);
    }
    auto response = toResponse(m_parser->release());
    response.reservation = std::move(m_reservation);
    if (response.status < 200 || (m_exchange.matchesRequest && !m_exchange.matchesRequest(response))) {
        if (endsConnection) {
            fail(ClientError::ConnectionLost);
            return;
        }
        if (++m_discardedResponses > maxDiscardedResponses) {
            fail(ClientError::TooLarge);
            return;
        }
        resetParser();
        if (m_buffer.size() > 0) {
            parseBuffered();
        } else {
            read();
        }
        return;
    }
    // If the response came before the request was fully written, the server still expects the rest of the body on this connection.
    const bool reusable = response.keepAlive && !endsConnection && m_requestState == RequestState::Sent && m_buffer.size() == 0;
    m_serverKeepAlive = keepAliveTimeoutOf(response);
    m_timer.cancel();
    if (reusable) {
        m_state = State::Idle;
        m_idleSince = Process::steadyNow();
        read();
    } else {
        close();
    }
    finish(std::move(response));
}

void ClientConnection::fail(ClientError error)
{
    if (m_state == State::Closed) {
        return;
    }
    close();
    finish(error);
}

void ClientConnection::finish(ClientResult result)
{
    const auto onResult = std::move(m_exchange.onResult);
    m_exchange = {};
    if (onResult) {
        onResult(std::move(result));
    }
}

void ClientConnection::cancel()
{
    m_exchange.onResult = nullptr;
    close();
}

void ClientConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_timer.cancel();
    m_memoryTimer.reset();
    m_reservation.reset();
    boost::system::error_code ec;
    m_socket.close(ec);
}

void ClientConnection::startTimer()
{
    const auto left = std::max(0_ms, m_deadline - Process::steadyNow());
    const auto timeout = std::min(left, m_exchange.progressTimeout.value_or(left));
    ++m_timerCount;
    m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout.count * 1000)));
    m_timer.async_wait([self = shared_from_this(), timer = m_timerCount](const auto &ec) {
        // A timer that expired before it was set again may still report here.
        if (ec || self->m_timerCount != timer || self->m_state == State::Idle) {
            return;
        }
        self->fail(self->m_state == State::Connecting ? ClientError::CannotConnect : ClientError::TimedOut);
    });
}

}
