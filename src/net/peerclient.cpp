#include "net/peerclient.h"

#include "process/wallclock.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>

namespace Laburnummast::Net
{
namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

// One request and its reply, as a chain of asynchronous operations with a common time limit.
class Exchange
{
public:
    Exchange(const Membership::Address &address, const PeerRequest &request, std::string_view key)
        : m_address(address)
        , m_request(request)
        , m_key(key)
        , m_socket(m_context)
        , m_stallTimer(m_context)
    {
    }

    Result<PeerReply, PeerError> run(const ExchangeLimits &limits)
    {
        m_stallLimit = std::chrono::duration_cast<std::chrono::microseconds>(Process::toChrono(limits.stall));
        boost::system::error_code ec;
        const auto ip = Asio::ip::make_address(m_address.ip, ec);
        if (ec) {
            return PeerError::CannotConnect;
        }
        m_socket.async_connect({ip, m_address.port}, [this](const auto &failure) { onConnected(failure); });
        restartStallTimer();
        m_context.run_for(std::chrono::duration_cast<std::chrono::microseconds>(Process::toChrono(limits.total)));
        return m_result;
    }

private:
    void restartStallTimer()
    {
        ++m_timerCount;
        m_stallTimer.expires_after(m_stallLimit);
        m_stallTimer.async_wait([this, timer = m_timerCount](const auto &ec) {
            // A timer that expired before it was set again may still report here.
            if (!ec && m_timerCount == timer) {
                m_context.stop();
            }
        });
    }

    // Completion condition of reads and writes: restarts the stall timer whenever bytes were transferred.
    auto untilComplete()
    {
        return [this](const boost::system::error_code &ec, std::size_t n) {
            if (n > 0) {
                restartStallTimer();
            }
            return Asio::transfer_all()(ec, n);
        };
    }

    void onConnected(const boost::system::error_code &ec)
    {
        if (ec) {
            m_result = PeerError::CannotConnect;
            m_stallTimer.cancel();
            return;
        }
        m_nonce.resize(nonceBytes);
        Asio::async_read(
            m_socket, Asio::buffer(m_nonce), untilComplete(), [this](const auto &failure, std::size_t) { onNonceRead(failure); });
    }

    void onNonceRead(const boost::system::error_code &ec)
    {
        if (failed(ec)) {
            return;
        }
        m_frame = encodeFrame(m_request, m_key, m_nonce);
        Asio::async_write(
            m_socket, Asio::buffer(m_frame), untilComplete(), [this](const auto &failure, std::size_t) { onRequestSent(failure); });
    }

    void onRequestSent(const boost::system::error_code &ec)
    {
        if (failed(ec)) {
            return;
        }
        Asio::async_read(
            m_socket, Asio::buffer(m_header), untilComplete(), [this](const auto &failure, std::size_t) { onHeaderRead(failure); });
    }

    void onHeaderRead(const boost::system::error_code &ec)
    {
        if (failed(ec)) {
            return;
        }
        const auto length = frameLength({m_header.data(), m_header.size()});
        if (length > maxFrameBytes) {
            m_result = PeerError::TooLong;
            m_stallTimer.cancel();
            return;
        }
        m_payload.resize(length);
        Asio::async_read(
            m_socket, Asio::buffer(m_payload), untilComplete(), [this](const auto &failure, std::size_t) { onPayloadRead(failure); });
    }

    void onPayloadRead(const boost::system::error_code &ec)
    {
        if (!failed(ec)) {
            m_result = decodeReply(m_payload, m_key, m_nonce);
            m_stallTimer.cancel();
        }
    }

    bool failed(const boost::system::error_code &ec)
    {
        if (ec) {
            m_result = PeerError::TimedOut;
            m_stallTimer.cancel();
        }
        return static_cast<bool>(ec);
    }

    const Membership::Address &m_address;
    const PeerRequest &m_request;
    std::string_view m_key;
    Asio::io_context m_context;
    Tcp::socket m_socket;
    Asio::steady_timer m_stallTimer;
    // How often the stall timer was set.
    std::uint64_t m_timerCount = 0;
    std::chrono::microseconds m_stallLimit{};
    std::string m_nonce;
    std::string m_frame;
    std::array<char, frameHeaderBytes> m_header{};
    std::string m_payload;
    Result<PeerReply, PeerError> m_result = PeerError::TimedOut;
};

}

Result<PeerReply, PeerError>
askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, const ExchangeLimits &limits)
{
    return Exchange(address, request, key).run(limits);
}

Result<PeerReply, PeerError> askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, Millis timeout)
{
    return askPeer(address, request, key, ExchangeLimits{.stall = timeout, .total = timeout});
}

}
