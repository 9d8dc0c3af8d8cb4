#ifndef LABURNUMMAST_TESTS_PLATFORM_FAKEUPSTREAM_H
#define LABURNUMMAST_TESTS_PLATFORM_FAKEUPSTREAM_H

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

/// Test double of an upstream that answers with its signature and load, or fails as `mode` says.
class FakeUpstream
{
public:
    /// How the upstream responds to calls; probes always succeed.
    enum class Mode {
        Normal,
        /// Refuses the request as not executed.
        Shedding,
        /// Executes the request and closes the connection without a response.
        DroppingConnections,
        /// Responds without a signature.
        Unsigned,
        /// Never responds.
        Unresponsive,
        /// Responds with status 500.
        Failing,
    };

    FakeUpstream(boost::asio::io_context &loop, std::string id)
        : m_id(std::move(id))
        , m_listener(loop,
                     {.onRequest = [this](const Http::Request &request,
                                          const Http::Responder &responder,
                                          std::uint64_t) { handleRequest(request, responder); },
                      .onDisconnect = [this](std::uint64_t) { ++abandonedRequests; }})
    {
    }

    /// Listens on a free port of `ip`. Returns whether that succeeded.
    bool start(const std::string &ip)
    {
        return !m_listener.start({boost::asio::ip::make_address(ip), 0}).has_value();
    }

    /// Record with which this upstream registers for `service` in the store.
    std::string registrationRecord(const std::string &service, const std::string &state = "ready") const
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

    Mode mode = Mode::Normal;
    /// Limit that its answers to calls name, in calls per second; none if empty.
    std::string limit;
    /// States in all its answers that it is leaving.
    bool leaving = false;
    /// `Retry-After` of its refusals; none if empty.
    std::string retryAfter;
    /// Requests executed so far, including those that were not answered.
    std::vector<Http::Request> executed;
    int probes = 0;
    /// Requests refused as not executed.
    int refusals = 0;
    /// Requests whose client closed the connection before the response.
    int abandonedRequests = 0;

private:
    void handleRequest(const Http::Request &request, const Http::Responder &responder)
    {
        const Http::Header load{"Laburnummast-Server-Load", "1,0,3,100"};
        const auto id = Http::find(request.headers, "Laburnummast-Request-Id");
        if (!id) {
            ++probes;
            Http::Headers headers{load, {"Laburnummast-Instance-Id", m_id}};
            if (leaving) {
                headers.push_back({"Server-Leaving", "1"});
            }
            responder.send({.status = 200, .headers = headers, .body = {}, .keepAlive = true});
            return;
        }
        if (Http::find(request.headers, "Laburnummast-Expected-Instance") != m_id) {
            responder.send({.status = 421, .headers = {{"Laburnummast-Instance-Id", m_id}}, .body = {}, .keepAlive = true});
            return;
        }
        Http::Headers headers{load, {"Laburnummast-Request-Id", std::string(*id)}};
        if (leaving) {
            headers.push_back({"Server-Leaving", "1"});
        }
        if (!limit.empty()) {
            headers.push_back({"Server-Limit", limit});
        }
        const auto body = Text::concat(m_id, " ", request.method, " ", request.target, " ", request.body);
        switch (mode) {
        case Mode::Shedding:
            ++refusals;
            headers.push_back({"Laburnummast-Not-Executed", "1"});
            if (!retryAfter.empty()) {
                headers.push_back({"Retry-After", retryAfter});
            }
            responder.send({.status = 503, .headers = headers, .body = {}, .keepAlive = true});
            return;
        case Mode::DroppingConnections:
            executed.push_back(request);
            responder.abort();
            return;
        case Mode::Unsigned:
            executed.push_back(request);
            responder.send({.status = 200, .headers = headers, .body = body, .keepAlive = true});
            return;
        case Mode::Unresponsive:
            executed.push_back(request);
            return;
        case Mode::Failing:
            executed.push_back(request);
            responder.send({.status = 500, .headers = headers, .body = "worker failed", .keepAlive = true});
            return;
        case Mode::Normal:
            executed.push_back(request);
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
