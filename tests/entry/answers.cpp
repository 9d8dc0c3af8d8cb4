#include "nodesystem.h"
#include "platform/rawupstream.h"

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

using Answer = std::function<std::string(const std::string &idLine)>;

// Two upstreams that answer alike, so that a second attempt has somewhere to go.
class RawSystem
{
public:
    RawSystem(const Answer &answer, bool resetsConnection)
    {
        m_system.publishAll();
        for (const std::string id : {"raw0", "raw1"}) {
            m_upstreams.push_back(std::make_unique<RawUpstream>(m_system.loop(), id));
            m_upstreams.back()->answer = answer;
            m_upstreams.back()->resetsConnection = resetsConnection;
            m_system.store().put(upstreamsTopic, id, m_upstreams.back()->registrationRecord("s"));
        }
        // Retries are not allowed before this time has passed; the other members are known at once, as there are none.
        auto settings = m_system.settingsOf(0);
        settings.bounds.catchUp = 200_ms;
        m_system.startNode(settings);
        REQUIRE(m_system.ready(0));
        REQUIRE(m_system.runUntil([&] { return m_system.retriesLeft(0) > 1; }));
    }

    Http::Response call(const std::string &target, const std::string &method, const std::string &body = {})
    {
        return m_system.call(0, target, method, body);
    }
    int calls() const
    {
        return m_upstreams[0]->calls + m_upstreams[1]->calls;
    }

private:
    System m_system{0};
    std::vector<std::unique_ptr<RawUpstream>> m_upstreams;
};

const std::string signature = "\r\nLaburnummast-Response-Signature: s";
const std::string notExecuted = "\r\nLaburnummast-Not-Executed: 1";

}

// Guards against a status that no answer can have reaching a caller, and against a second run of a call that ran at an upstream in trouble.
TEST_CASE("An answer with a status that no answer can have is not delivered, and its call is neither refused as not run nor run again")
{
    for (const std::string status : {"000", "099", "600", "999", "-200", "2000"}) {
        CAPTURE(status);
        for (const auto &headers : {std::string(), signature + notExecuted}) {
            CAPTURE(headers);
            RawSystem system(
                [&](const std::string &idLine) { return Text::concat("HTTP/1.1 ", status, " Odd\r\n", idLine, headers, "\r\n\r\nbody"); },
                false);
            const auto answer = system.call("/t/x", "POST", "x");
            CHECK(answer.status == 502);
            CHECK(answer.body.empty());
            CHECK(system.calls() == 1);
            CHECK_FALSE(Http::find(answer.headers, "Laburnummast-Not-Executed").has_value());
        }
    }
    RawSystem system([&](const std::string &idLine) { return "HTTP/1.1 600 Odd\r\n" + idLine + notExecuted + "\r\n\r\n"; }, false);
    CHECK(system.call("/r/x", "GET").status == 502);
    CHECK(system.calls() == 2);
}

// Guards against a partial answer that is delivered as complete. On a busy machine the deadline of the call may come first.
TEST_CASE("An answer without a length that is reset while a long upload is still being sent is not delivered")
{
    RawSystem system([](const std::string &idLine) { return "HTTP/1.1 200 OK\r\n" + idLine + signature + "\r\n\r\na part"; }, true);
    const auto answer = system.call("/t/x", "PUT", std::string(16 << 20, 'b'));
    CHECK_MESSAGE((answer.status == 502 || answer.status == 504), answer.status);
    CHECK(answer.body.empty());
    CHECK(system.calls() <= 1);
}
