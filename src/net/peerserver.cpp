#include "net/peerserver.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <openssl/rand.h>

namespace Laburnummast::Net
{
namespace
{

namespace Asio = boost::asio;
using Udp = Asio::ip::udp;
using Tcp = Asio::ip::tcp;

// Further TCP connections are closed immediately.
constexpr int maxSessions = 128;
// Longest time of a session without any byte sent or received.
constexpr std::chrono::seconds stallTimeout(5);
// Limit for a whole session.
constexpr std::chrono::seconds sessionTimeout(60);

}

// One accepted connection: sends a nonce, reads one request, sends one reply and closes.
class PeerServer::Session : public std::enable_shared_from_this<PeerServer::Session>
{
public:
    Session(PeerServer &server, Tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_sessionCount(server.m_sessionCount)
        , m_largeReplyCount(server.m_largeReplyCount)
    {
        ++*m_sessionCount;
    }

    ~Session()
    {
        --*m_sessionCount;
        if (m_sendsLargeReply) {
            --*m_largeReplyCount;
        }
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start()
    {
        m_nonce.resize(nonceBytes);
        RAND_bytes(reinterpret_cast<unsigned char *>(m_nonce.data()), static_cast<int>(m_nonce.size()));
        m_endsAt = std::chrono::steady_clock::now() + sessionTimeout;
        restartTimer();
        Asio::async_write(
            m_socket, Asio::buffer(m_nonce), [self = shared_from_this()](const auto &ec, std::size_t) { self->onNonceSent(ec); });
    }

private:
    void restartTimer()
    {
        ++m_timerCount;
        m_timer.expires_at(std::min(m_endsAt, std::chrono::steady_clock::now() + stallTimeout));
        m_timer.async_wait([self = shared_from_this(), timer = m_timerCount](const auto &ec) {
            // A timer that expired before it was set again may still report here.
            if (!ec && self->m_timerCount == timer) {
                self->m_socket.close();
            }
        });
    }

    // Completion condition of reads and writes: restarts the timer whenever bytes were transferred.
    auto untilComplete()
    {
        return [this](const boost::system::error_code &ec, std::size_t n) {
            if (!ec && n > 0) {
                restartTimer();
            }
            return Asio::transfer_all()(ec, n);
        };
    }

    void onNonceSent(const boost::system::error_code &ec)
    {
        if (failed(ec)) {
            return;
        }
        Asio::async_read(m_socket, Asio::buffer(m_header), [self = shared_from_this()](const auto &failure, std::size_t) {
            self->onHeaderRead(failure);
        });
    }

    void onHeaderRead(const boost::system::error_code &ec)
    {
        if (failed(ec)) {
            return;
        }
        const auto length = frameLength({m_header.data(), m_header.size()});
        if (length > maxFrameBytes) {
            ++m_server.m_counters.rejectedFrames;
            m_timer.cancel();
            return;
        }
        m_remaining = length;
        readPayload();
    }

    // Grows the buffer as data arrives, so that a large length in the header alone allocates no memory.
    void readPayload()
    {
        constexpr std::size_t stepBytes = 64 << 10;
        if (m_remaining == 0) {
            handle();
            return;
        }
        const auto n = std::min(m_remaining, stepBytes);
        const auto sizeBefore = m_payload.size();
        m_payload.resize(sizeBefore + n);
        m_remaining -= n;
        Asio::async_read(m_socket,
                         Asio::buffer(m_payload.data() + sizeBefore, n),
                         untilComplete(),
                         [self = shared_from_this()](const auto &ec, std::size_t) {
                             if (!self->failed(ec)) {
                                 self->readPayload();
                             }
                         });
    }

    void handle()
    {
        auto request = decodeRequest(m_payload, m_server.m_key, m_nonce);
        if (std::holds_alternative<PeerError>(request)) {
            ++m_server.m_counters.rejectedFrames;
            m_timer.cancel();
            return;
        }
        m_server.m_counters.bytesIn += m_payload.size();
        encodeReplyTo(std::get<PeerRequest>(request));
        if (m_payload.size() > largeReplyBytes) {
            m_sendsLargeReply = true;
            ++*m_largeReplyCount;
        }
        m_server.m_counters.bytesOut += m_payload.size();
        Asio::async_write(m_socket, Asio::buffer(m_payload), untilComplete(), [self = shared_from_this()](const auto &, std::size_t) {
            self->m_timer.cancel();
        });
    }

    // Sets the payload to the reply, or to Busy if that is one more large configuration than may be sent at once.
    void encodeReplyTo(const PeerRequest &request)
    {
        m_payload = encodeFrame(m_server.m_onRequest(request), m_server.m_key, m_nonce);
        if (std::holds_alternative<FetchConfig>(request) && m_payload.size() > largeReplyBytes && *m_largeReplyCount >= maxLargeReplies) {
            m_payload = encodeFrame(Busy{}, m_server.m_key, m_nonce);
        }
    }

    bool failed(const boost::system::error_code &ec)
    {
        if (ec) {
            m_timer.cancel();
        }
        return static_cast<bool>(ec);
    }

    PeerServer &m_server;
    Tcp::socket m_socket;
    Asio::steady_timer m_timer;
    // How often the timer was set.
    std::uint64_t m_timerCount = 0;
    std::chrono::steady_clock::time_point m_endsAt;
    std::shared_ptr<int> m_sessionCount;
    std::shared_ptr<int> m_largeReplyCount;
    bool m_sendsLargeReply = false;
    std::string m_nonce;
    std::array<char, frameHeaderBytes> m_header{};
    std::string m_payload;
    std::size_t m_remaining = 0;
};

PeerServer::PeerServer(Asio::io_context &loop, std::string key)
    : m_key(std::move(key))
    , m_udpSocket(loop)
    , m_tcpAcceptor(loop)
{
}

std::optional<Membership::Address> PeerServer::start(const Membership::Address &address, MessageHandler onMessage, RequestHandler onRequest)
{
    m_onMessage = std::move(onMessage);
    m_onRequest = std::move(onRequest);
    try {
        const auto ip = Asio::ip::make_address(address.ip);
        m_udpSocket.open(ip.is_v6() ? Udp::v6() : Udp::v4());
        m_udpSocket.bind({ip, address.port});
        m_udpSocket.non_blocking(true);
        m_tcpAcceptor.open(ip.is_v6() ? Tcp::v6() : Tcp::v4());
        m_tcpAcceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_tcpAcceptor.bind({ip, address.port});
        m_tcpAcceptor.listen();
    } catch (const boost::system::system_error &) {
        return address;
    }
    receive();
    accept();
    return std::nullopt;
}

void PeerServer::stop()
{
    boost::system::error_code ec;
    m_udpSocket.close(ec);
    m_tcpAcceptor.close(ec);
}

void PeerServer::receive()
{
    m_udpSocket.async_receive_from(Asio::buffer(m_datagramBuffer), m_datagramSender, [this](const auto &ec, std::size_t n) {
        if (ec == Asio::error::operation_aborted || !m_udpSocket.is_open()) {
            return;
        }
        if (!ec) {
            handleDatagram(n);
        }
        receive();
    });
}

void PeerServer::handleDatagram(std::size_t n)
{
    ++m_counters.datagramsIn;
    m_counters.bytesIn += n;
    const auto message = Membership::decode({m_datagramBuffer.data(), n}, m_key);
    if (const auto *failure = std::get_if<Membership::MessageError>(&message)) {
        ++m_counters.rejectedDatagrams[static_cast<std::size_t>(*failure)];
        return;
    }
    m_onMessage(std::get<Membership::Message>(message), {.ip = m_datagramSender.address().to_string(), .port = m_datagramSender.port()});
}

void PeerServer::accept()
{
    m_tcpAcceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
        if (ec == Asio::error::operation_aborted || !m_tcpAcceptor.is_open()) {
            return;
        }
        if (!ec && *m_sessionCount < maxSessions) {
            std::make_shared<Session>(*this, std::move(socket))->start();
        }
        accept();
    });
}

void PeerServer::send(const Membership::Address &to, const Membership::Message &message)
{
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(to.ip, ec);
    if (ec) {
        return;
    }
    const auto bytes = Membership::encode(message, m_key);
    ++m_counters.datagramsOut;
    m_counters.bytesOut += bytes.size();
    m_udpSocket.send_to(Asio::buffer(bytes), {ip, to.port}, 0, ec);
}

}
