#include "entry/datagramport.h"

#include <utility>

namespace Laburnummast::Entry
{

namespace Asio = boost::asio;

DatagramPort::DatagramPort(Asio::io_context &loop, OnDatagram onDatagram)
    : m_onDatagram(std::move(onDatagram))
    , m_socket(loop)
{
}

std::optional<Address> DatagramPort::start(const Address &address)
{
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(address.ip, ec);
    if (!ec) {
        m_socket.open(Udp::v4(), ec);
    }
    if (!ec) {
        m_socket.bind({ip, address.port}, ec);
    }
    if (ec) {
        return address;
    }
    m_socket.non_blocking(true, ec);
    receive();
    return std::nullopt;
}

void DatagramPort::receive()
{
    m_socket.async_receive_from(Asio::buffer(m_buf), m_from, [this](const auto &ec, std::size_t n) {
        if (ec == Asio::error::operation_aborted || m_stopped) {
            return;
        }
        if (!ec) {
            ++m_received;
            m_onDatagram({m_buf.data(), n}, {.ip = m_from.address().to_string(), .port = m_from.port()});
        }
        receive();
    });
}

void DatagramPort::send(std::string_view bytes, const Address &to)
{
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(to.ip, ec);
    if (ec || m_stopped) {
        return;
    }
    m_socket.send_to(Asio::buffer(bytes.data(), bytes.size()), {ip, to.port}, 0, ec);
    ++m_sent;
}

void DatagramPort::stop()
{
    m_stopped = true;
    boost::system::error_code ec;
    m_socket.close(ec);
}

}
