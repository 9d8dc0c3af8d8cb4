// Memory of a connection: what it reserves, what it does without memory, and how it ends in favour of others.

#include "http/bodymemory.h"
#include "http/rejectreason.h"
#include "http/serverconnection.h"
#include "process/wallclock.h"

#include <boost/beast/http/error.hpp>

namespace Laburnummast::Http
{
namespace
{

// Memory of a connection without buffers, and of a call beside its head and body.
constexpr std::uint64_t connectionMemory = 2048;
constexpr std::uint64_t callMemory = 2048;
// Memory of a header beside its text, in the parser and in the copy that is passed on.
constexpr std::uint64_t headerMemory = 192;
// A client counts as stalled if nothing was transferred for this time.
constexpr Millis stallTime = 250_ms;
// A client with more pipelined requests in a row counts as stalled too: its connection is never idle, and it may read no answer.
constexpr std::uint32_t maxPipelinedCount = 32;
// How long a request waits for memory before others are closed for it.
constexpr Millis undisturbedMemoryWait = 250_ms;
// How long a request waits for memory for its body before it is refused, and how often that is checked.
constexpr Millis maxMemoryWait = 1000_ms;
constexpr Millis memoryCheckInterval = 10_ms;

}

void ServerConnection::parse()
{
    m_lacksMemory = false;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const bool inHead = !m_parser->is_header_done();
        if (!inHead && !reserveBody()) {
            m_lacksMemory = true;
            return;
        }
        boost::system::error_code ec;
        const auto n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        m_parsedBytes += n;
        if (ec == boost::beast::http::error::need_more) {
            break;
        }
        if (ec) {
            reject(reasonOf(ec));
            return;
        }
        if (inHead && m_parser->is_header_done() && !reserveHead()) {
            reject(RejectReason::NoMemory);
            return;
        }
        if (n == 0) {
            break;
        }
    }
    releaseBuffer();
    // The body of a request whose length is known is reserved before it arrives.
    m_lacksMemory = m_parser->is_header_done() && !m_parser->is_done() && !reserveBody();
}

bool ServerConnection::reserveBody()
{
    if (!m_listener->budget) {
        return true;
    }
    if (!m_reservation) {
        m_reservation = std::make_shared<BufferReservation>(m_listener->budget, BufferUse::Request);
    }
    const auto length = m_parser->content_length();
    return growBody(m_parser->get().body(),
                    *m_reservation,
                    {.length = length ? std::optional<std::uint64_t>(*length) : std::nullopt,
                     .arrivedBytes = m_parser->chunked() ? m_buffer.size() : 0,
                     .maxBodyBytes = m_listener->limits.maxBodyBytes});
}

bool ServerConnection::reserveHead()
{
    if (!m_held) {
        return true;
    }
    m_headMemory = callMemory;
    for (const auto &it : m_parser->get()) {
        m_headMemory += headerMemory + 2 * (it.name_string().size() + it.value().size());
    }
    return reserveConnection();
}

bool ServerConnection::reserveConnection(std::uint64_t responseBytes)
{
    if (!m_held) {
        return true;
    }
    const auto needed = connectionMemory + m_buffer.capacity() + m_headMemory + responseBytes;
    m_held->lowerTo(needed);
    if (m_held->raiseTo(needed)) {
        return true;
    }
    m_listener->guard->makeRoomInMemory(this);
    return m_held->raiseTo(needed);
}

void ServerConnection::releaseBuffer()
{
    if (m_buffer.size() == 0) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
}

void ServerConnection::waitForMemory()
{
    const auto now = Process::steadyNow();
    m_waitsForMemorySince = m_waitsForMemorySince.value_or(now);
    const bool tooLarge = !m_listener->budget->canHold(BufferUse::Request, m_parser->content_length().value_or(0));
    const auto waited = now - *m_waitsForMemorySince;
    if (tooLarge || waited >= maxMemoryWait) {
        reject(RejectReason::NoMemory);
        return;
    }
    if (waited >= undisturbedMemoryWait && m_listener->guard) {
        m_listener->guard->makeRoomInMemory(this);
    }
    startTimer(memoryCheckInterval);
}

void ServerConnection::onMemoryCheck()
{
    if (!reserveBody()) {
        waitForMemory();
        return;
    }
    m_waitsForMemorySince.reset();
    m_progressAt = Process::steadyNow();
    startTimer(m_listener->limits.headerTimeout);
    parseBuffered();
}

void ServerConnection::evict()
{
    if (m_state == State::Reading && m_requestStarted) {
        reject(RejectReason::NoMemory);
    } else {
        close();
    }
}

ConnectionLoad ServerConnection::load() const
{
    const auto held = (m_held ? m_held->bytes() : 0) + (m_reservation ? m_reservation->bytes() : 0)
        + (m_responseReservation ? m_responseReservation->bytes() : 0);
    const bool transfers = m_state == State::Writing || m_state == State::Lingering || (m_state == State::Reading && m_requestStarted);
    if (transfers) {
        if (m_pipelinedCount > maxPipelinedCount) {
            return {.activity = ConnectionActivity::Stalled, .bytes = held, .since = m_pipelinedSince};
        }
        const bool stalled = Process::steadyNow() - m_progressAt >= stallTime;
        return {
            .activity = stalled ? ConnectionActivity::Stalled : ConnectionActivity::Transferring, .bytes = held, .since = m_transferSince};
    }
    if (m_state == State::Reading) {
        return {.activity = m_hasResponded ? ConnectionActivity::Idle : ConnectionActivity::New, .bytes = held, .since = m_idleSince};
    }
    return {.activity = ConnectionActivity::Working, .bytes = held, .since = m_transferSince};
}

}
