#ifndef LABURNUMMAST_ENTRY_DATAGRAMPORT_H
#define LABURNUMMAST_ENTRY_DATAGRAMPORT_H

#include "entry/nodesettings.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace Laburnummast::Entry
{

/// UDP socket that receives all datagrams sent to one address of this daemon.
class DatagramPort
{
public:
    using OnDatagram = std::function<void(std::string_view bytes, const Address &from)>;

    DatagramPort(boost::asio::io_context &loop, OnDatagram onDatagram);
    DatagramPort(const DatagramPort &) = delete;
    DatagramPort &operator=(const DatagramPort &) = delete;

    /// Binds to `address` and starts to receive. Returns the address if it cannot be bound.
    std::optional<Address> start(const Address &address);
    /// Sends a datagram; one that the socket does not accept at once is dropped.
    void send(std::string_view bytes, const Address &to);
    void stop();

    /// Datagrams received and sent since the start; those that the socket dropped count as sent.
    std::uint64_t received() const
    {
        return m_received;
    }
    std::uint64_t sent() const
    {
        return m_sent;
    }

private:
    using Udp = boost::asio::ip::udp;

    void receive();

    OnDatagram m_onDatagram;
    Udp::socket m_socket;
    std::array<char, 2048> m_buf{};
    Udp::endpoint m_from;
    bool m_stopped = false;
    std::uint64_t m_received = 0;
    std::uint64_t m_sent = 0;
};

}

#endif
