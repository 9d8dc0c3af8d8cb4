#include "entry/topicfollower.h"

#include "core/text.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Entry;

namespace
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

// A store behind a slow link: it answers each request with the same snapshot, one piece every 100 ms.
class SlowStore
{
public:
    SlowStore(Asio::io_context &loop, const std::string &body, std::size_t pieces)
        : m_acceptor(loop, {Asio::ip::make_address("127.0.0.1"), 0})
        , m_response(Text::concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body))
        , m_pieceBytes(m_response.size() / pieces + 1)
    {
        accept();
    }

    Tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    struct Session
    {
        explicit Session(Tcp::socket connection)
            : socket(std::move(connection))
            , timer(socket.get_executor())
        {
        }

        Tcp::socket socket;
        Asio::steady_timer timer;
        std::string request;
        std::size_t sent = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, Tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto session = std::make_shared<Session>(std::move(socket));
            Asio::async_read_until(
                session->socket, Asio::dynamic_buffer(session->request), "\r\n\r\n", [this, session](const auto &readError, std::size_t) {
                    if (!readError) {
                        sendPiece(session);
                    }
                });
            accept();
        });
    }

    void sendPiece(const std::shared_ptr<Session> &session)
    {
        const auto piece = m_response.substr(session->sent, m_pieceBytes);
        session->sent += piece.size();
        boost::system::error_code ec;
        Asio::write(session->socket, Asio::buffer(piece), ec);
        if (ec || session->sent == m_response.size()) {
            return;
        }
        session->timer.expires_after(std::chrono::milliseconds(100));
        session->timer.async_wait([this, session](const auto &timerError) {
            if (!timerError) {
                sendPiece(session);
            }
        });
    }

    Tcp::acceptor m_acceptor;
    std::string m_response;
    std::size_t m_pieceBytes;
};

}

TEST_CASE("A snapshot that takes long on a slow link is read to its end")
{
    Asio::io_context loop;
    SlowStore store(loop, R"({"items":[{"key":"config","value":"eA==","offset":4}],"more":false,"end":6})", 15);
    Feed::KeyedFeed feed([](const Feed::KeyedRecord &) {});
    TopicFollower::Events events;
    events.onContact = [] {};
    events.onRecords = [](std::size_t) {};
    events.onFailure = [](std::string_view) {};
    events.onNewEra = [](std::int64_t) {};
    events.onRecordsGone = [](std::int64_t) {};
    TopicFollower follower(loop, {.store = store.endpoint(), .topic = "t"}, feed, std::move(events));
    follower.setActive(true);
    for (int i = 0; i < 600 && !feed.hasSnapshot(); ++i) {
        loop.run_for(std::chrono::milliseconds(50));
    }
    CHECK(feed.hasSnapshot());
    CHECK(feed.end() == 6);
    follower.setActive(false);
}
