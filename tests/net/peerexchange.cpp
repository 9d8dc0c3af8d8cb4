#include "daemon/system.h"
#include "net/peerclient.h"
#include "net/peerserver.h"

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

const std::string key = "secret";

// Position of a member that lacks only a small note, and of one whose request blocks the server's thread for `blockingTime`.
constexpr Config::Offset nearlyCurrent = 1;
constexpr Config::Offset blocking = 2;
// Longer than a session of the server may stall.
constexpr std::chrono::seconds blockingTime(6);

// A peer port that answers FetchConfig with a snapshot of the given size.
class ConfigServer
{
public:
    explicit ConfigServer(std::size_t bytes)
        : address(freeAddress())
        , m_server(m_context, key)
    {
        Process::blockSignals();
        REQUIRE_FALSE(m_server.start(
            address,
            [](const auto &, const auto &) {},
            [this, bytes](const Net::PeerRequest &request) -> Net::PeerReply {
                ++requests;
                const auto *fetch = std::get_if<Net::FetchConfig>(&request);
                if (fetch != nullptr && fetch->knownOffset == nearlyCurrent) {
                    return Net::ConfigReply{.snapshot = {}, .records = {{.offset = nearlyCurrent + 1, .data = "note"}}};
                }
                if (fetch != nullptr && fetch->knownOffset == blocking) {
                    std::this_thread::sleep_for(blockingTime);
                }
                return Net::ConfigReply{.snapshot = std::string(bytes, 'x'), .records = {}};
            }));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~ConfigServer()
    {
        m_context.stop();
        m_thread.join();
    }
    ConfigServer(const ConfigServer &) = delete;
    ConfigServer &operator=(const ConfigServer &) = delete;

    Net::Address address;
    /// Requests answered with the snapshot.
    std::atomic<int> requests = 0;

private:
    Asio::io_context m_context;
    Net::PeerServer m_server;
    std::thread m_thread;
};

// Relays one connection to a target, `bytesPerSecond` in the direction of the client, and nothing more after `limit` bytes.
class SlowLink
{
public:
    SlowLink(const Net::Address &target, std::size_t bytesPerSecond, std::size_t limit)
        : address(freeAddress())
        , m_acceptor(m_context, Tcp::endpoint(Asio::ip::make_address(address.ip), address.port))
        , m_client(m_context)
        , m_server(m_context)
        , m_timer(m_context)
        , m_chunkBytes(bytesPerSecond / chunksPerSecond)
        , m_remaining(limit)
    {
        m_acceptor.async_accept(m_client, [this, target](const auto &) {
            // A large receive buffer would take whole replies from the server at once.
            constexpr int receiveBufferBytes = 16 << 10;
            m_server.open(Tcp::v4());
            m_server.set_option(Tcp::socket::receive_buffer_size(receiveBufferBytes));
            m_server.connect({Asio::ip::make_address(target.ip), target.port});
            relayRequest();
            relayReply();
        });
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~SlowLink()
    {
        m_context.stop();
        m_thread.join();
    }
    SlowLink(const SlowLink &) = delete;
    SlowLink &operator=(const SlowLink &) = delete;

    Net::Address address;

private:
    static constexpr std::size_t chunksPerSecond = 20;

    void relayRequest()
    {
        m_client.async_read_some(Asio::buffer(m_request), [this](const auto &ec, std::size_t n) {
            if (!ec) {
                Asio::write(m_server, Asio::buffer(m_request.data(), n));
                relayRequest();
            }
        });
    }

    void relayReply()
    {
        m_reply.resize(std::min(m_chunkBytes, m_remaining));
        if (m_reply.empty()) {
            return;
        }
        m_server.async_read_some(Asio::buffer(m_reply), [this](const auto &ec, std::size_t n) {
            boost::system::error_code failure = ec;
            if (!failure) {
                Asio::write(m_client, Asio::buffer(m_reply.data(), n), failure);
            }
            if (failure) {
                return;
            }
            m_remaining -= n;
            m_timer.expires_after(std::chrono::milliseconds(1000 / chunksPerSecond));
            m_timer.async_wait([this](const auto &) { relayReply(); });
        });
    }

    Asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    Tcp::socket m_client;
    Tcp::socket m_server;
    Asio::steady_timer m_timer;
    std::size_t m_chunkBytes;
    std::size_t m_remaining;
    std::array<char, 4096> m_request{};
    std::string m_reply;
    std::thread m_thread;
};

bool isConfig(const Result<Net::PeerReply, Net::PeerError> &result)
{
    const auto *reply = std::get_if<Net::PeerReply>(&result);
    return reply != nullptr && std::holds_alternative<Net::ConfigReply>(*reply);
}

}

TEST_CASE("A configuration that takes longer to transfer than a transfer may stall is fetched over a slow link")
{
    const ConfigServer server(400000);
    const SlowLink link(server.address, 200000, 1000000);
    CHECK(isConfig(Net::askPeer(link.address, Net::FetchConfig{}, key, {.stall = 500_ms, .total = 30_s})));
}

TEST_CASE("A transfer that stalls in the middle is given up long before its total limit")
{
    const ConfigServer server(400000);
    const SlowLink link(server.address, 2000000, 200000);
    const auto started = Process::steadyNow();
    CHECK_FALSE(isConfig(Net::askPeer(link.address, Net::FetchConfig{}, key, {.stall = 500_ms, .total = 30_s})));
    CHECK(Process::steadyNow() - started < 15_s);
}

TEST_CASE("A member that sends large configurations to four others refuses a fifth at once instead of slowing down all of them")
{
    const ConfigServer server(8 << 20);
    std::vector<std::unique_ptr<SlowLink>> links;
    std::vector<std::thread> fetches;
    for (int i = 0; i < Net::maxLargeReplies; ++i) {
        links.push_back(std::make_unique<SlowLink>(server.address, 100000, 100000000));
        fetches.emplace_back(
            [address = links.back()->address] { (void)Net::askPeer(address, Net::FetchConfig{}, key, {.stall = 3_s, .total = 3_s}); });
    }
    const auto isBusy = [&] {
        const auto result = Net::askPeer(server.address, Net::FetchConfig{}, key, 1_s);
        const auto *reply = std::get_if<Net::PeerReply>(&result);
        return reply != nullptr && std::holds_alternative<Net::Busy>(*reply);
    };
    CHECK(eventually([&] { return server.requests == Net::maxLargeReplies; }));
    CHECK(isBusy());
    CHECK(isConfig(Net::askPeer(server.address, Net::FetchConfig{.knownOffset = nearlyCurrent}, key, 1_s)));
    for (auto &it : fetches) {
        it.join();
    }
    links.clear();
    CHECK(eventually([&] { return isConfig(Net::askPeer(server.address, Net::FetchConfig{}, key, 5_s)); }));
}

TEST_CASE("A session whose bytes arrived while the server was blocked is not closed by a timeout that expired meanwhile")
{
    const ConfigServer server(100);
    Asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({Asio::ip::make_address(server.address.ip), server.address.port});
    std::string nonce(Net::nonceBytes, '\0');
    Asio::read(socket, Asio::buffer(nonce));
    const auto frame = Net::encodeFrame(Net::PeerRequest(Net::FetchConfig{}), key, nonce);
    const auto part = Net::frameHeaderBytes + 1;
    Asio::write(socket, Asio::buffer(frame.data(), part));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    std::thread blocker([&] { (void)Net::askPeer(server.address, Net::FetchConfig{.knownOffset = blocking}, key, 30_s); });
    CHECK(eventually([&] { return server.requests == 1; }));
    Asio::write(socket, Asio::buffer(frame.data() + part, 1));
    blocker.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    boost::system::error_code ec;
    Asio::write(socket, Asio::buffer(frame.data() + part + 1, frame.size() - part - 1), ec);
    std::string header(Net::frameHeaderBytes, '\0');
    Asio::read(socket, Asio::buffer(header), ec);
    CHECK_FALSE(ec);
}
