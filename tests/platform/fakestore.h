#ifndef LABURNUMMAST_TESTS_PLATFORM_FAKESTORE_H
#define LABURNUMMAST_TESTS_PLATFORM_FAKESTORE_H

#include "core/text.h"
#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Laburnummast::Tests
{

/// Stand-in of the platform's store: keyed topics, held reads, expired records and outages. Runs on one loop's thread.
class FakeStore
{
public:
    /// How it treats calls.
    enum class Mood {
        Well,
        Unavailable,
        Throttling,
        Silent,
    };

    explicit FakeStore(boost::asio::io_context &loop)
        : m_loop(loop)
        , m_listener(loop,
                     {.onRequest = [this](const Http::Request &request,
                                          const Http::Responder &responder,
                                          std::uint64_t) { answer(request.target, responder); },
                      .onDisconnect = [](std::uint64_t) {}})
    {
    }

    bool start(const std::string &ip)
    {
        return !m_listener.start({boost::asio::ip::make_address(ip), 0}).has_value();
    }
    std::uint16_t port() const
    {
        return m_listener.endpoint().port();
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_topics[topic].log.push_back({key, value});
        wake(topic);
    }
    void remove(const std::string &topic, const std::string &key)
    {
        put(topic, key, "");
    }
    /// Forgets the records so far; the newest of each key can still be listed.
    void compact(const std::string &topic)
    {
        m_topics[topic].first = m_topics[topic].log.size();
    }
    void setMood(Mood mood)
    {
        m_mood = mood;
    }
    int calls() const
    {
        return m_calls;
    }

private:
    struct Topic
    {
        std::vector<std::pair<std::string, std::string>> log;
        std::size_t first = 0;
    };

    struct Held
    {
        std::string topic;
        std::size_t from = 0;
        Http::Responder responder;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i) {
            text.push_back(static_cast<char>(number >> (8 * i)));
        }
        return text;
    }

    void answer(const std::string &target, const Http::Responder &responder)
    {
        ++m_calls;
        if (m_mood == Mood::Silent) {
            return;
        }
        if (m_mood != Mood::Well) {
            responder.send({.status = m_mood == Mood::Throttling ? 429 : 503, .headers = {}, .body = {}, .keepAlive = true});
            return;
        }
        const auto topic = Http::queryParameter(target, "topic").value_or("");
        if (Http::pathOf(target) == "/laburnummast/log-newest") {
            responder.send({.status = 200, .headers = {}, .body = newest(topic), .keepAlive = true});
        } else if (Http::pathOf(target) == "/laburnummast/log-read") {
            const auto from = static_cast<std::size_t>(Text::parseInteger(Http::queryParameter(target, "from").value_or("")).value_or(0));
            read(topic, from, responder);
        } else {
            responder.send({.status = 404, .headers = {}, .body = {}, .keepAlive = true});
        }
    }

    std::string newest(const std::string &topic)
    {
        const auto &log = m_topics[topic].log;
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < log.size(); ++i) {
            last[log[i].first] = i;
        }
        std::string items;
        for (const auto &[key, i] : last) {
            if (!log[i].second.empty()) {
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
        }
        return Text::concat(R"({"items":[)", items, R"(],"more":false,"end":)", log.size(), "}");
    }

    void read(const std::string &topic, std::size_t from, const Http::Responder &responder)
    {
        auto &known = m_topics[topic];
        if (from < known.first) {
            responder.send({.status = 410, .headers = {}, .body = Text::concat(R"({"first":)", known.first, "}"), .keepAlive = true});
            return;
        }
        if (from < known.log.size()) {
            responder.send({.status = 200, .headers = {}, .body = records(topic, from), .keepAlive = true});
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, std::chrono::milliseconds(300));
        m_held.push_back({.topic = topic, .from = from, .responder = responder, .timer = timer});
        timer->async_wait([this, topic, from, responder, timer](const auto &ec) {
            if (!ec) {
                responder.send({.status = 200, .headers = {}, .body = records(topic, from), .keepAlive = true});
            }
        });
    }

    std::string records(const std::string &topic, std::size_t from)
    {
        const auto &known = m_topics[topic];
        auto body = bigEndian(known.log.size(), 8) + bigEndian(known.first, 8);
        for (std::size_t i = from; i < known.log.size(); ++i) {
            const auto content = std::string(1, static_cast<char>(known.log[i].first.size())) + known.log[i].first + known.log[i].second;
            body += bigEndian(content.size(), 4) + content;
        }
        return body;
    }

    void wake(const std::string &topic)
    {
        if (m_mood != Mood::Well) {
            return;
        }
        for (const auto &it : m_held) {
            if (it.topic == topic) {
                it.timer->cancel();
                it.responder.send({.status = 200, .headers = {}, .body = records(topic, it.from), .keepAlive = true});
            }
        }
        std::erase_if(m_held, [&](const Held &it) { return it.topic == topic; });
    }

    boost::asio::io_context &m_loop;
    Http::Listener m_listener;
    std::map<std::string, Topic> m_topics;
    std::vector<Held> m_held;
    Mood m_mood = Mood::Well;
    int m_calls = 0;
};

}

#endif
