#include "entry/topicfollower.h"

#include "core/text.h"
#include "http/listener.h"
#include "process/wallclock.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <vector>

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
    std::vector<Millis> provenAt;
    events.onCaughtUp = [&](Millis requestedAt) { provenAt.push_back(requestedAt); };
    const auto startedAt = Process::bootNow();
    TopicFollower follower(loop, {.store = store.endpoint(), .topic = "t"}, feed, std::move(events));
    follower.setActive(true);
    for (int i = 0; i < 600 && !feed.hasSnapshot(); ++i) {
        loop.run_for(std::chrono::milliseconds(50));
    }
    CHECK(feed.hasSnapshot());
    CHECK(feed.end() == 6);
    // A slow answer does not prove the time of its arrival.
    REQUIRE(provenAt.size() == 1);
    CHECK(provenAt[0] - startedAt < 700_ms);
    CHECK(Process::bootNow() - provenAt[0] > 1000_ms);
    follower.setActive(false);
}

// Guards against a proof from a read that lacks records which the store had confirmed before its request.
TEST_CASE("A read proves that all records are known only if it reaches the end of the log, and as of its request")
{
    Asio::io_context loop;
    const auto recordsBody = [](int end, bool hasRecord) {
        std::string body(16, '\0');
        body[7] = static_cast<char>(end);
        return hasRecord ? body + std::string("\0\0\0\3\1kv", 7) : body;
    };
    Asio::steady_timer timer(loop);
    Http::Listener store(loop,
                         {.onRequest =
                              [&](const Http::Request &request, const Http::Responder &responder, std::uint64_t) {
                                  if (Http::pathOf(request.target) == "/laburnummast/log-newest") {
                                      responder.send({.status = 200, .body = R"({"items":[],"more":false,"end":0})"});
                                      return;
                                  }
                                  const auto from = Http::queryParameter(request.target, "from").value_or("");
                                  if (from == "2") {
                                      timer.expires_after(std::chrono::milliseconds(500));
                                      timer.async_wait([responder, body = recordsBody(2, false)](const auto &ec) {
                                          if (!ec) {
                                              responder.send({.status = 200, .body = body});
                                          }
                                      });
                                      return;
                                  }
                                  responder.send({.status = 200, .body = recordsBody(2, true)});
                              },
                          .onDisconnect = [](std::uint64_t) {}});
    REQUIRE_FALSE(store.start({Asio::ip::make_address("127.0.0.1"), 0}).has_value());
    Feed::KeyedFeed feed([](const Feed::KeyedRecord &) {});
    TopicFollower::Events events;
    events.onContact = [] {};
    events.onRecords = [](std::size_t) {};
    events.onFailure = [](std::string_view) {};
    events.onNewEra = [](std::int64_t) {};
    events.onRecordsGone = [](std::int64_t) {};
    std::vector<std::int64_t> ends;
    Millis heldReadAge{};
    events.onCaughtUp = [&](Millis requestedAt) {
        ends.push_back(feed.end());
        heldReadAge = Process::bootNow() - requestedAt;
    };
    TopicFollower follower(loop, {.store = store.endpoint(), .topic = "t"}, feed, std::move(events));
    follower.setActive(true);
    for (int i = 0; i < 600 && ends.size() < 3; ++i) {
        loop.run_for(std::chrono::milliseconds(20));
    }
    follower.setActive(false);
    // The snapshot; then the second of two records, as the answer with the first one did not reach the end; then the read held open.
    REQUIRE(ends.size() == 3);
    CHECK(ends[0] == 0);
    CHECK(ends[1] == 2);
    CHECK(ends[2] == 2);
    CHECK(heldReadAge > 490_ms);
}
