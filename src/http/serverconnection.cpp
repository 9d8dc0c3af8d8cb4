#include "http/serverconnection.h"

#include "core/text.h"
#include "http/bodymemory.h"
#include "http/rejectreason.h"
#include "process/wallclock.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>

namespace Laburnummast::Http
{
namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast::http;

// Limit for pipelined bytes that are buffered while a response is pending, so that a client that disconnects is noticed. The rest stays in
// the socket, whose full buffer stops the client.
constexpr std::size_t maxPipelinedBytes = 4096;
// A client that sends nothing for this time after an answer has ended its pipelined requests.
constexpr Millis pipeliningPause = 100_ms;
// Longest part of a request that is read at once.
constexpr std::size_t readSizeBytes = 16384;
// `Retry-After` of a request that was refused for want of memory, in seconds.
constexpr const char *noMemoryRetryAfter = "1";
// Time for the client to read the last response before the connection is closed. Closing a socket with unread data resets the
// connection, which can discard the response.
constexpr Millis lingerTimeout = 500_ms;
// While the listener drains, a new connection gets this time for its first request.
constexpr Millis drainingIdleTimeout = 500_ms;
// Longest part of a body that is written at once; the client has to read it within the idle timeout.
constexpr std::size_t maxWriteBytes = 262144;

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

Request toRequest(Beast::request<Beast::string_body> &&message)
{
    Request request;
    request.method = std::string(toView(message.method_string()));
    request.target = std::string(toView(message.target()));
    request.keepAlive = message.keep_alive();
    for (const auto &it : message) {
        request.headers.push_back({std::string(toView(it.name_string())), std::string(toView(it.value()))});
    }
    request.body = std::move(message.body());
    return request;
}

}

ServerConnection::ServerConnection(Asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_listener(std::move(listener))
{
    if (m_listener->guard) {
        m_held.emplace(m_listener->guard->budget(), BufferUse::Connection);
        m_listener->guard->add(*this);
    }
}

ServerConnection::~ServerConnection()
{
    if (m_listener->guard) {
        m_listener->guard->remove(*this);
    }
}

void ServerConnection::start()
{
    boost::system::error_code ec;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    m_progressAt = Process::steadyNow();
    if (!reserveConnection()) {
        close();
        return;
    }
    readNextRequest();
}

void ServerConnection::readNextRequest()
{
    m_state = State::Reading;
    // Not eager: memory for the body is reserved between the head and the body.
    m_parser.emplace();
    m_reservation.reset();
    m_headMemory = 0;
    releaseBuffer();
    reserveConnection();
    m_waitsForMemorySince.reset();
    m_requestStarted = false;
    m_parsedBytes = 0;
    m_continueSent = false;
    if (requestBegins()) {
        m_pipelinedSince = m_pipelinedCount == 0 ? m_transferSince : m_pipelinedSince;
        ++m_pipelinedCount;
        parseBuffered();
        return;
    }
    m_idleSince = Process::steadyNow();
    startTimer(idleTimeout());
    read();
    if (m_listener->draining) {
        beginDraining();
    }
}

Millis ServerConnection::idleTimeout() const
{
    const auto timeout = m_listener->limits.idleTimeout;
    return m_listener->draining ? std::min(timeout, drainingIdleTimeout) : timeout;
}

bool ServerConnection::requestBegins()
{
    const auto buffered = [this] {
        const auto bytes = m_buffer.cdata();
        return std::string_view(static_cast<const char *>(bytes.data()), bytes.size());
    };
    // Some clients send an empty line after a body; RFC 9112, section 2.2.
    while (buffered().starts_with("\r\n")) {
        m_buffer.consume(2);
    }
    return !buffered().empty() && buffered() != "\r";
}

void ServerConnection::parseBuffered()
{
    if (!m_requestStarted) {
        m_requestStarted = true;
        m_transferSince = Process::steadyNow();
        m_parser->header_limit(m_listener->limits.maxHeaderBytes);
        m_parser->body_limit(m_listener->limits.maxBodyBytes);
        startTimer(m_listener->limits.headerTimeout);
    }
    parse();
    if (m_state != State::Reading) {
        return;
    }
    if (m_lacksMemory) {
        waitForMemory();
        return;
    }
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    const bool headDone = m_parser->is_header_done();
    // The parser takes body bytes at once; what it leaves behind a head is part of a chunk header or trailer.
    if (m_buffer.size() > m_listener->limits.maxHeaderBytes) {
        reject(headDone ? RejectReason::Malformed : RejectReason::HeadTooLarge);
        return;
    }
    if (headDone) {
        startTimer(m_listener->limits.headerTimeout);
        sendContinue();
    }
    read();
}

void ServerConnection::sendContinue()
{
    if (m_continueSent || !Text::equalsIgnoreCase(toView(m_parser->get()[Beast::field::expect]), "100-continue")) {
        return;
    }
    m_continueSent = true;
    boost::system::error_code ec;
    // A blocking write is fine here: no other write is pending, so these few bytes fit into the socket's send buffer.
    Asio::write(m_socket, Asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ec);
}

void ServerConnection::read()
{
    if (m_readPending || m_state == State::Closed) {
        return;
    }
    m_readPending = true;
    // Waits before it reads, so that a connection without data needs no buffer.
    m_socket.async_wait(Asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto &ec) { self->onReadable(ec); });
}

void ServerConnection::onReadable(boost::system::error_code ec)
{
    m_readPending = false;
    if (m_state == State::Closed) {
        return;
    }
    thread_local std::array<char, readSizeBytes> received;
    std::size_t n = 0;
    if (!ec) {
        const bool isPipelined = m_state == State::AwaitingResponse || m_state == State::Writing;
        const auto most = isPipelined ? maxPipelinedBytes - std::min(maxPipelinedBytes - 1, m_buffer.size()) : received.size();
        n = m_socket.read_some(Asio::buffer(received.data(), most), ec);
        if (ec == Asio::error::would_block || ec == Asio::error::try_again) {
            read();
            return;
        }
    }
    if (ec) {
        onClientDisconnected();
        return;
    }
    if (m_state == State::Lingering) {
        read();
        return;
    }
    if (m_state == State::Reading) {
        m_progressAt = Process::steadyNow();
        const bool paused = !m_requestStarted && m_progressAt - m_idleSince >= pipeliningPause;
        m_pipelinedCount = paused ? 0 : m_pipelinedCount;
    }
    m_buffer.commit(Asio::buffer_copy(m_buffer.prepare(n), Asio::buffer(received, n)));
    onReceived();
}

void ServerConnection::onReceived()
{
    if (!reserveConnection()) {
        if (m_state == State::Reading && m_requestStarted) {
            reject(RejectReason::NoMemory);
        } else {
            onClientDisconnected();
        }
        return;
    }
    switch (m_state) {
    case State::Reading:
        if (m_requestStarted || requestBegins()) {
            parseBuffered();
        } else {
            read();
        }
        return;
    case State::AwaitingResponse:
        if (m_buffer.size() < maxPipelinedBytes) {
            read();
        }
        return;
    // A client that does not read its response is not read either.
    case State::Writing:
    case State::Lingering:
    case State::Closed:
        return;
    }
}

void ServerConnection::dispatch()
{
    m_timer.cancel();
    m_state = State::AwaitingResponse;
    m_requestId = m_listener->nextRequestId++;
    ++m_listener->counters.requests;
    if (m_reservation) {
        trimBody(m_parser->get().body(), *m_reservation, 0);
    }
    auto request = toRequest(m_parser->release());
    request.reservation = std::move(m_reservation);
    m_headRequest = request.method == "HEAD";
    m_keepAlive = request.keepAlive;
    // Keeps a read pending to notice a client that disconnects before its response.
    if (m_buffer.size() < maxPipelinedBytes) {
        read();
    }
    m_listener->handler.onRequest(std::move(request), Responder(weak_from_this(), m_requestId), m_requestId);
}

void ServerConnection::reject(RejectReason reason)
{
    m_timer.cancel();
    m_state = State::AwaitingResponse;
    m_requestId = m_listener->nextRequestId++;
    m_keepAlive = false;
    m_headRequest = false;
    const auto receivedBytes = m_parsedBytes + m_buffer.size();
    // Releases what was received of the body.
    m_parser.emplace();
    m_reservation.reset();
    m_headMemory = 0;
    m_buffer.consume(m_buffer.size());
    releaseBuffer();
    ++m_listener->counters.rejected[static_cast<std::size_t>(reason)];
    const auto status = statusOf(reason, m_listener->limits.provisional);
    if (m_listener->handler.onReject) {
        m_listener->handler.onReject({.reason = reason, .status = status, .receivedBytes = receivedBytes});
    }
    Headers headers;
    if (reason == RejectReason::NoMemory) {
        headers.push_back({"Retry-After", noMemoryRetryAfter});
    }
    respond(m_requestId, {.status = status, .headers = std::move(headers), .body = {}, .keepAlive = false});
}

void ServerConnection::respond(std::uint64_t requestId, Response response)
{
    if (m_state != State::AwaitingResponse || requestId != m_requestId) {
        return;
    }
    m_state = State::Writing;
    m_hasResponded = true;
    m_transferSince = Process::steadyNow();
    m_progressAt = m_transferSince;
    // Pipelined requests that have arrived are answered before the connection is closed.
    boost::system::error_code ec;
    m_keepAlive = m_keepAlive && response.keepAlive && (!m_listener->draining || m_buffer.size() > 0 || m_socket.available(ec) > 0);
    response.keepAlive = m_keepAlive;
    if (m_keepAlive) {
        const auto seconds = static_cast<int>(m_listener->limits.idleTimeout / 1_s);
        if (seconds > 0) {
            response.headers.push_back({"Keep-Alive", Text::concat("timeout=", seconds)});
        }
    }
    const bool hasBody = response.status >= 200 && response.status != 204 && response.status != 304;
    m_responseHead = encodeHead(response, hasBody);
    m_responseBody = hasBody && !m_headRequest ? std::move(response.body) : std::string();
    m_responseReservation = std::move(response.reservation);
    m_passedBodyBytes = 0;
    // The head of the request is no longer needed.
    m_headMemory = 0;
    if (!reserveConnection(m_responseHead.capacity() + (m_responseReservation ? 0 : m_responseBody.capacity()))) {
        close();
        return;
    }
    write();
}

void ServerConnection::write()
{
    startTimer(m_listener->limits.idleTimeout);
    const auto part = std::string_view(m_responseBody).substr(m_passedBodyBytes, maxWriteBytes);
    m_passedBodyBytes += part.size();
    const std::array<Asio::const_buffer, 2> buffers{Asio::buffer(m_responseHead), Asio::buffer(part)};
    Asio::async_write(m_socket, buffers, [self = shared_from_this()](const auto &ec, std::size_t) { self->onWritten(ec); });
}

void ServerConnection::onWritten(const boost::system::error_code &ec)
{
    if (m_state == State::Closed) {
        return;
    }
    if (ec) {
        close();
        return;
    }
    m_progressAt = Process::steadyNow();
    m_responseHead = {};
    if (m_passedBodyBytes < m_responseBody.size()) {
        write();
        return;
    }
    m_responseBody = {};
    m_responseReservation.reset();
    if (m_keepAlive) {
        readNextRequest();
    } else {
        linger();
    }
}

void ServerConnection::linger()
{
    m_state = State::Lingering;
    boost::system::error_code ec;
    m_socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ec);
    m_buffer.consume(m_buffer.size());
    releaseBuffer();
    startTimer(lingerTimeout);
    read();
}

void ServerConnection::abort(std::uint64_t requestId)
{
    if (m_state == State::AwaitingResponse && requestId == m_requestId) {
        close();
    }
}

void ServerConnection::onClientDisconnected()
{
    const bool pending = m_state == State::AwaitingResponse;
    close();
    if (pending) {
        ++m_listener->counters.disconnected;
        m_listener->handler.onDisconnect(m_requestId);
    }
}

void ServerConnection::beginDraining()
{
    if (m_state != State::Reading || m_requestStarted || m_buffer.size() > 0) {
        return;
    }
    // A request may be on its way on a new connection, and bytes of one may have arrived that are not read yet.
    boost::system::error_code ec;
    const bool awaitsRequest = !m_hasResponded || m_socket.available(ec) > 0;
    if (awaitsRequest && !ec) {
        startTimer(idleTimeout());
    } else {
        close();
    }
}

void ServerConnection::refuseIncompleteRequest()
{
    if (m_state != State::Reading) {
        return;
    }
    if (m_requestStarted) {
        reject(RejectReason::Draining);
    } else {
        close();
    }
}

void ServerConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
    if (m_listener->guard) {
        m_listener->guard->remove(*this);
    }
    // Pending handlers may keep this object for a while.
    m_parser.reset();
    m_reservation.reset();
    m_held.reset();
}

void ServerConnection::startTimer(Millis timeout)
{
    m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout.count * 1000)));
    ++m_timerCount;
    m_timer.async_wait([self = shared_from_this(), timer = m_timerCount](const auto &ec) {
        // A timer that expired before it was set again may still report here.
        if (!ec && self->m_timerCount == timer) {
            self->onTimeout();
        }
    });
}

void ServerConnection::onTimeout()
{
    if (m_state == State::Lingering || m_state == State::Writing) {
        close();
        return;
    }
    if (m_state != State::Reading) {
        return;
    }
    if (m_waitsForMemorySince) {
        onMemoryCheck();
        return;
    }
    if (!m_requestStarted) {
        // The timeout may have been changed since the timer was set.
        const auto left = m_idleSince + idleTimeout() - Process::steadyNow();
        if (left > 0_ms) {
            startTimer(left);
        } else {
            close();
        }
        return;
    }
    reject(RejectReason::Incomplete);
}

}
