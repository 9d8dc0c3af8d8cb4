#ifndef LABURNUMMAST_TESTS_PLATFORM_FAKEWORKER_H
#define LABURNUMMAST_TESTS_PLATFORM_FAKEWORKER_H

#include "core/text.h"
#include "http/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Laburnummast::Tests
{

/// Stand-in of a worker: answers with its signature and load, or fails as it is told.
class FakeWorker
{
public:
    enum class Mood {
        Well,
        /// Says that it did not run the request.
        Shedding,
        /// Runs it and breaks the connection.
        LosingAnswers,
        /// Answers bytes without its signature.
        Garbling,
        /// Answers nothing.
        Mute,
        /// Fails on its own.
        Failing,
    };

    FakeWorker(boost::asio::io_context &loop, std::string id)
        : m_id(std::move(id))
        , m_listener(
              loop,
              {.onRequest
               = [this](const Http::Request &request, const Http::Responder &responder, std::uint64_t) { answer(request, responder); },
               .onDisconnect = [this](std::uint64_t) { ++left; }})
    {
    }

    bool start(const std::string &ip)
    {
        return !m_listener.start({boost::asio::ip::make_address(ip), 0}).has_value();
    }

    std::string entry(const std::string &service, const std::string &state = "ready") const
    {
        return Text::concat(R"({"service":")",
                            service,
                            R"(","address":"127.0.0.1:)",
                            m_listener.endpoint().port(),
                            R"(","zone":"a","version":"v1","slots":3,"state":")",
                            state,
                            R"(","cold-remaining":"0ms","sequence-number":1,"born":1700000000000})");
    }

    const std::string &id() const
    {
        return m_id;
    }

    Mood mood = Mood::Well;
    std::vector<Http::Request> ran;
    int probes = 0;
    int left = 0;

private:
    void answer(const Http::Request &request, const Http::Responder &responder)
    {
        const Http::Header load{"Laburnummast-Server-Load", "1,0,3,100"};
        const auto id = Http::find(request.headers, "Laburnummast-Request-Id");
        if (!id) {
            ++probes;
            responder.send({.status = 200, .headers = {load, {"Laburnummast-Instance-Id", m_id}}, .body = {}, .keepAlive = true});
            return;
        }
        if (Http::find(request.headers, "Laburnummast-Expected-Instance") != m_id) {
            responder.send({.status = 421, .headers = {{"Laburnummast-Instance-Id", m_id}}, .body = {}, .keepAlive = true});
            return;
        }
        Http::Headers headers{load, {"Laburnummast-Request-Id", std::string(*id)}};
        const auto body = Text::concat(m_id, " ", request.method, " ", request.target, " ", request.body);
        switch (mood) {
        case Mood::Shedding:
            headers.push_back({"Laburnummast-Not-Executed", "1"});
            responder.send({.status = 503, .headers = headers, .body = {}, .keepAlive = true});
            return;
        case Mood::LosingAnswers:
            ran.push_back(request);
            responder.abort();
            return;
        case Mood::Garbling:
            ran.push_back(request);
            responder.send({.status = 200, .headers = headers, .body = body, .keepAlive = true});
            return;
        case Mood::Mute:
            ran.push_back(request);
            return;
        case Mood::Failing:
            ran.push_back(request);
            responder.send({.status = 500, .headers = headers, .body = "worker failed", .keepAlive = true});
            return;
        case Mood::Well:
            ran.push_back(request);
            headers.push_back({"Laburnummast-Response-Signature", "signed-" + m_id});
            responder.send({.status = 200, .headers = headers, .body = body, .keepAlive = true});
            return;
        }
    }

    std::string m_id;
    Http::Listener m_listener;
};

}

#endif
