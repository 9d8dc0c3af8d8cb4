#ifndef LABURNUMMAST_TESTS_FREEPORTS_H
#define LABURNUMMAST_TESTS_FREEPORTS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Tests
{

/// Allocates ports for test servers that no other test process allocates.
///
/// The ports lie below the ephemeral range: an outgoing connection could otherwise take a port between the check that it is free
/// and the bind of the server. Each test process reserves a block of ports by listening on the block's first port.
class FreePorts
{
public:
    static FreePorts &instance()
    {
        static FreePorts ports;
        return ports;
    }

    /// Returns the first of `count` consecutive ports that are free on all of `ips`; reuses ports once the block is exhausted.
    std::uint16_t take(int count, const std::vector<std::string> &ips = {"127.0.0.1"})
    {
        while (true) {
            if (m_next + count > blockSize) {
                m_next = 1;
            }
            const int base = m_block + m_next;
            m_next += count;
            bool free = true;
            for (int i = 0; i < count; ++i) {
                for (const auto &ip : ips) {
                    free = free && bind(ip, base + i).has_value();
                }
            }
            if (free) {
                return static_cast<std::uint16_t>(base);
            }
        }
    }

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    // The last block ends at 32000; by default, Linux takes ports from 32768 on for outgoing connections.
    static constexpr int firstPort = 18000;
    static constexpr int blockSize = 500;
    static constexpr int blockCount = 28;

    FreePorts()
    {
        while (!m_blockLock) {
            for (int i = 0; i < blockCount && !m_blockLock; ++i) {
                m_block = firstPort + i * blockSize;
                m_blockLock = bind("127.0.0.1", m_block);
            }
        }
        m_blockLock->listen();
    }

    std::optional<Acceptor> bind(const std::string &ip, int port)
    {
        boost::system::error_code ec;
        Acceptor acceptor(m_context);
        acceptor.open(boost::asio::ip::tcp::v4(), ec);
        acceptor.bind({boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}, ec);
        return ec ? std::nullopt : std::optional(std::move(acceptor));
    }

    boost::asio::io_context m_context;
    std::optional<Acceptor> m_blockLock;
    int m_block = firstPort;
    int m_next = 1;
};

}

#endif
