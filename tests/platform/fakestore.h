#ifndef LABURNUMMAST_TESTS_PLATFORM_FAKESTORE_H
#define LABURNUMMAST_TESTS_PLATFORM_FAKESTORE_H

#include "core/text.h"
#include "http/listener.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Laburnummast::Tests
{

/// Test double of the platform's store with keyed topics, long-poll reads, expired records, outages and returns from a copy.
///
/// All members must be used on the thread of the event loop.
class FakeStore
{
    struct Topic
    {
        /// Keys and values; an empty value removes the key.
        std::vector<std::pair<std::string, std::string>> log;
        /// Records before this offset can no longer be read from the log.
        std::size_t firstOffset = 0;
    };

public:
    using Copy = std::map<std::string, Topic>;

    /// How the store responds to requests.
    enum class Mode {
        Normal,
        /// Status 503.
        Unavailable,
        /// Status 429.
        Throttling,
        /// Requests are never answered.
        Unresponsive,
    };

    explicit FakeStore(boost::asio::io_context &loop)
        : m_loop(loop)
        , m_listener(loop,
                     {.onRequest = [this](const Http::Request &request,
                                          const Http::Responder &responder,
                                          std::uint64_t) { handleRequest(request.target, responder); },
                      .onDisconnect = [](std::uint64_t) {}})
    {
    }

    /// Listens on a free port of `ip`. Returns whether that succeeded.
    bool start(const std::string &ip)
    {
        return !m_listener.start({boost::asio::ip::make_address(ip), 0}).has_value();
    }
    std::uint16_t port() const
    {
        return m_listener.endpoint().port();
    }

    /// Appends a record to the log of a topic and, in mode Normal, answers the reads that wait for it.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_topics[topic].log.push_back({key, value});
        answerWaitingReads(topic);
    }
    void remove(const std::string &topic, const std::string &key)
    {
        put(topic, key, "");
    }
    /// Makes the present records unavailable to reads of the log; the snapshot still has the latest record of each key.
    void expireRecords(const std::string &topic)
    {
        m_topics[topic].firstOffset = m_topics[topic].log.size();
    }
    Copy copy() const
    {
        return m_topics;
    }
    /// Returns to an earlier copy: later records are lost, and their offsets are given out again in the next era.
    void restore(const Copy &copy)
    {
        m_topics = copy;
        ++m_era;
        for (const auto &it : std::exchange(m_waitingReads, {})) {
            it.timer->cancel();
            send(it.responder, 503, {});
        }
    }
    /// Limits the keys of one page of a snapshot; `afterPage` is called after each page that another one follows.
    void setPages(std::size_t size, std::function<void()> afterPage)
    {
        m_pageSize = size;
        m_afterPage = std::move(afterPage);
    }
    /// Whether responses state the era.
    void setEraStated(bool stated)
    {
        m_eraStated = stated;
    }
    void setMode(Mode mode)
    {
        m_mode = mode;
    }
    /// Requests received since the start, including those that were refused or not answered.
    int requestCount() const
    {
        return m_requestCount;
    }

private:
    /// Longest time that a read is held open, in milliseconds, also if its request states a longer one.
    static constexpr std::int64_t longestWait = 300;

    /// A read of records that do not exist yet.
    struct WaitingRead
    {
        std::string topic;
        std::size_t from = 0;
        Http::Responder responder;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    static std::string encodeBigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i) {
            text.push_back(static_cast<char>(number >> (8 * i)));
        }
        return text;
    }

    void send(const Http::Responder &responder, int status, std::string body) const
    {
        Http::Headers headers;
        if (m_eraStated) {
            headers.push_back({"Store-Era", std::to_string(m_era)});
        }
        responder.send({.status = status, .headers = std::move(headers), .body = std::move(body), .keepAlive = true});
    }

    void handleRequest(const std::string &target, const Http::Responder &responder)
    {
        ++m_requestCount;
        if (m_mode == Mode::Unresponsive) {
            return;
        }
        if (m_mode != Mode::Normal) {
            send(responder, m_mode == Mode::Throttling ? 429 : 503, {});
            return;
        }
        const auto topic = Http::queryParameter(target, "topic").value_or("");
        if (Http::pathOf(target) == "/laburnummast/log-newest") {
            sendSnapshotPage(topic, Http::queryParameter(target, "after").value_or(""), responder);
        } else if (Http::pathOf(target) == "/laburnummast/log-read") {
            const auto from = static_cast<std::size_t>(Text::parseInteger(Http::queryParameter(target, "from").value_or("")).value_or(0));
            const auto wait = Text::parseInteger(Http::queryParameter(target, "wait-ms").value_or("")).value_or(longestWait);
            handleRead(topic, from, std::chrono::milliseconds(std::min(wait, longestWait)), responder);
        } else {
            send(responder, 404, {});
        }
    }

    void sendSnapshotPage(const std::string &topic, const std::string &after, const Http::Responder &responder)
    {
        const auto &log = m_topics[topic].log;
        std::map<std::string, std::size_t> latestIndices;
        for (std::size_t i = 0; i < log.size(); ++i) {
            latestIndices[log[i].first] = i;
        }
        std::erase_if(latestIndices, [&](const auto &it) { return it.first <= after || log[it.second].second.empty(); });
        const bool hasMore = latestIndices.size() > m_pageSize;
        if (hasMore) {
            latestIndices.erase(std::next(latestIndices.begin(), static_cast<std::ptrdiff_t>(m_pageSize)), latestIndices.end());
        }
        std::string items;
        for (const auto &[key, i] : latestIndices) {
            Text::append(items,
                         items.empty() ? "" : ",",
                         R"({"key":")",
                         key,
                         R"(","value":")",
                         Text::toBase64(log[i].second),
                         R"(","offset":)",
                         i,
                         "}");
        }
        send(responder,
             200,
             Text::concat(R"({"items":[)", items, R"(],"more":)", hasMore ? "true" : "false", R"(,"end":)", log.size(), "}"));
        if (hasMore && m_afterPage) {
            m_afterPage();
        }
    }

    void handleRead(const std::string &topic, std::size_t from, std::chrono::milliseconds wait, const Http::Responder &responder)
    {
        auto &state = m_topics[topic];
        if (from < state.firstOffset || from > state.log.size()) {
            send(responder, 410, Text::concat(R"({"first":)", state.firstOffset, "}"));
            return;
        }
        if (from < state.log.size()) {
            send(responder, 200, logBody(topic, from));
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, wait);
        m_waitingReads.push_back({.topic = topic, .from = from, .responder = responder, .timer = timer});
        timer->async_wait([this, topic, from, responder, timer](const auto &ec) {
            if (!ec) {
                send(responder, 200, logBody(topic, from));
            }
        });
    }

    std::string logBody(const std::string &topic, std::size_t from)
    {
        const auto &state = m_topics[topic];
        auto body = encodeBigEndian(state.log.size(), 8) + encodeBigEndian(state.firstOffset, 8);
        for (std::size_t i = from; i < state.log.size(); ++i) {
            const auto content = std::string(1, static_cast<char>(state.log[i].first.size())) + state.log[i].first + state.log[i].second;
            body += encodeBigEndian(content.size(), 4) + content;
        }
        return body;
    }

    void answerWaitingReads(const std::string &topic)
    {
        if (m_mode != Mode::Normal) {
            return;
        }
        for (const auto &it : m_waitingReads) {
            if (it.topic == topic) {
                it.timer->cancel();
                send(it.responder, 200, logBody(topic, it.from));
            }
        }
        std::erase_if(m_waitingReads, [&](const WaitingRead &it) { return it.topic == topic; });
    }

    boost::asio::io_context &m_loop;
    Http::Listener m_listener;
    std::map<std::string, Topic> m_topics;
    std::vector<WaitingRead> m_waitingReads;
    Mode m_mode = Mode::Normal;
    std::int64_t m_era = 1;
    bool m_eraStated = true;
    std::size_t m_pageSize = 500;
    std::function<void()> m_afterPage;
    int m_requestCount = 0;
};

}

#endif
