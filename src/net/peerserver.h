#ifndef LABURNUMMAST_NET_PEERSERVER_H
#define LABURNUMMAST_NET_PEERSERVER_H

#include "core/membership/message.h"
#include "net/peermessage.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Laburnummast::Net
{

/// Traffic and rejected messages of the peer port.
struct PeerServerCounters
{
    /// Rejected datagrams, indexed by Membership::MessageError.
    std::array<std::atomic<std::uint64_t>, Membership::messageErrorCount> rejectedDatagrams{};
    /// Rejected TCP frames.
    std::atomic<std::uint64_t> rejectedFrames = 0;
    /// Received datagrams, rejected ones included.
    std::atomic<std::uint64_t> datagramsIn = 0;
    std::atomic<std::uint64_t> datagramsOut = 0;
    /// Bytes of received datagrams and accepted requests.
    std::atomic<std::uint64_t> bytesIn = 0;
    /// Bytes of sent datagrams and replies.
    std::atomic<std::uint64_t> bytesOut = 0;
};

/// Replies of this size share the bandwidth of the sender's link for long.
constexpr std::size_t largeReplyBytes = 64 << 10;
/// Number of large replies that are sent at once. While so many are, a FetchConfig whose reply is large too is answered by Busy: more of
/// them would only make all of them slower, and members that have completed one can pass it on.
constexpr int maxLargeReplies = 4;

/// Peer port of a process: membership messages over UDP and requests over TCP. Runs on the control thread.
class PeerServer
{
public:
    using MessageHandler = std::function<void(const Membership::Message &, const Membership::Address &)>;
    using RequestHandler = std::function<PeerReply(const PeerRequest &)>;

    /// `key` is the secret with which all messages are signed and verified.
    PeerServer(boost::asio::io_context &loop, std::string key);

    /// Opens the UDP and TCP ports. Returns the address that cannot be bound; nothing on success.
    std::optional<Membership::Address> start(const Membership::Address &address, MessageHandler onMessage, RequestHandler onRequest);
    /// Sends a datagram; errors are ignored.
    void send(const Membership::Address &to, const Membership::Message &message);
    /// Closes the listening sockets; open sessions are not closed.
    void stop();

    const PeerServerCounters &counters() const
    {
        return m_counters;
    }

private:
    class Session;

    void receive();
    void handleDatagram(std::size_t n);
    void accept();

    std::string m_key;
    boost::asio::ip::udp::socket m_udpSocket;
    boost::asio::ip::tcp::acceptor m_tcpAcceptor;
    boost::asio::ip::udp::endpoint m_datagramSender;
    std::array<char, 2 * Membership::maxDatagramBytes> m_datagramBuffer{};
    MessageHandler m_onMessage;
    RequestHandler m_onRequest;
    PeerServerCounters m_counters;
    /// Replies of more than largeReplyBytes that are being sent; shared for the same reason as m_sessionCount.
    std::shared_ptr<int> m_largeReplyCount = std::make_shared<int>(0);
    /// Shared with the sessions, because the last callback of a session may be destroyed after the server.
    std::shared_ptr<int> m_sessionCount = std::make_shared<int>(0);
};

}

#endif
