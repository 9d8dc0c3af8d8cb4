#include "platform/requests.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <utility>

using namespace Laburnummast;
using namespace Laburnummast::Platform;
using Entry::AnswerKind;

namespace
{

// Request with headers that may be forwarded, and with some that must be removed.
Http::Request callerRequest()
{
    return {.method = "POST",
            .target = "/p/x?y=1",
            .headers = {{"Host", "h.example"},
                        {"laburnummast-request-id", "9c41"},
                        {"Laburnummast-Deadline-Milliseconds", "800"},
                        {"Laburnummast-Expected-Instance", "forged"},
                        {"Connection", "keep-alive, X-Hop"},
                        {"X-Hop", "1"},
                        {"X-Kept", "2"},
                        {"Transfer-Encoding", "chunked"}},
            .body = "bytes"};
}

Http::Response response(int status, const Http::Headers &headers)
{
    return {.status = status, .headers = headers, .body = "body"};
}

const Http::Header signature{"Laburnummast-Response-Signature", "3e1b.07"};

}

TEST_CASE("An attempt carries the caller's request without hop-by-hop headers, with the remaining time and the expected upstream")
{
    const auto decoded = decodeCall(callerRequest());
    REQUIRE(std::holds_alternative<Entry::IncomingCall>(decoded));
    const auto &call = std::get<Entry::IncomingCall>(decoded);
    CHECK(call.id == "9c41");
    CHECK(call.callerTimeout == 800_ms);
    const auto sent = attemptHead(call, "i-1", 640.7_ms);
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/p/x?y=1");
    CHECK(*call.body == "bytes");
    CHECK(Http::find(sent.headers, "X-Kept") == "2");
    CHECK_FALSE(Http::find(sent.headers, "X-Hop"));
    CHECK_FALSE(Http::find(sent.headers, "Connection"));
    CHECK_FALSE(Http::find(sent.headers, "Transfer-Encoding"));
    CHECK(Http::find(sent.headers, "Laburnummast-Request-Id") == "9c41");
    CHECK(Http::find(sent.headers, "Laburnummast-Deadline-Milliseconds") == "640");
    CHECK(Http::find(sent.headers, "Laburnummast-Expected-Instance") == "i-1");
}

TEST_CASE("A request without a host or an id or with an invalid deadline is rejected")
{
    auto request = callerRequest();
    request.headers.erase(request.headers.begin());
    CHECK(std::get<Entry::CallError>(decodeCall(request)) == Entry::CallError::NoHost);
    request = callerRequest();
    request.headers.erase(request.headers.begin() + 1);
    CHECK(std::get<Entry::CallError>(decodeCall(request)) == Entry::CallError::NoId);
    request = callerRequest();
    request.headers[2].value = "soon";
    CHECK(std::get<Entry::CallError>(decodeCall(request)) == Entry::CallError::BadDeadline);
}

TEST_CASE("A target in absolute form is decoded to its host and path, as without it no route matches")
{
    const std::map<std::string, std::pair<std::string, std::string>> hostAndTarget{
        {"http://o.example/p/x?y=http://z/", {"o.example", "/p/x?y=http://z/"}},
        {"HTTP://o.example:80/p/", {"o.example:80", "/p/"}},
        {"http://o.example", {"o.example", "/"}},
        {"http://o.example?y", {"o.example", "/?y"}},
        {"/p/x?y=http://z/", {"h.example", "/p/x?y=http://z/"}},
        {"/http://z/", {"h.example", "/http://z/"}},
        {"*", {"h.example", "*"}},
    };
    for (const auto &[received, expected] : hostAndTarget) {
        const auto &target = received;
        CAPTURE(target);
        auto request = callerRequest();
        request.target = target;
        const auto call = std::get<Entry::IncomingCall>(decodeCall(request));
        CHECK(call.host == expected.first);
        CHECK(Http::find(call.headers, "Host") == expected.first);
        CHECK(call.target == expected.second);
    }
}

TEST_CASE("A deadline with a fraction is accepted")
{
    auto request = callerRequest();
    request.headers[2].value = "800.25";
    CHECK(std::get<Entry::IncomingCall>(decodeCall(request)).callerTimeout == 800.25_ms);
}

TEST_CASE("A response with status 200 is a success only if it is signed and has no content encoding")
{
    CHECK(decodeAnswer(response(200, {signature})).kind == AnswerKind::Success);
    CHECK(decodeAnswer(response(200, {})).kind == AnswerKind::Unusable);
    CHECK(decodeAnswer(response(200, {signature, {"Content-Encoding", "gzip"}})).kind == AnswerKind::Unusable);
}

TEST_CASE("Status 408, 429 or 503 means not run only with the not-executed header, and status 421 means the wrong upstream")
{
    for (const int status : {408, 429, 503}) {
        CHECK(decodeAnswer(response(status, {{"Laburnummast-Not-Executed", "1"}})).kind == AnswerKind::NotRun);
        CHECK(decodeAnswer(response(status, {})).kind == AnswerKind::Unusable);
        CHECK(decodeAnswer(response(status, {signature})).kind == AnswerKind::Unusable);
    }
    CHECK(decodeAnswer(response(421, {})).kind == AnswerKind::WrongInstance);
}

TEST_CASE("A server error or a signed client error of an upstream is passed on, an unsigned client error is not")
{
    CHECK(decodeAnswer(response(500, {})).kind == AnswerKind::Failure);
    CHECK(decodeAnswer(response(504, {signature})).kind == AnswerKind::Failure);
    CHECK(decodeAnswer(response(404, {signature})).kind == AnswerKind::Failure);
    CHECK(decodeAnswer(response(404, {})).kind == AnswerKind::Unusable);
}

TEST_CASE("The load report is read from a response and removed from the headers that the caller gets")
{
    const auto answer = decodeAnswer(response(200, {signature, {"Laburnummast-Server-Load", "2,1,3,500"}}));
    REQUIRE(answer.load);
    CHECK(answer.load->running == 2);
    CHECK(answer.load->waiting == 1);
    CHECK(answer.load->slots == 3);
    CHECK(answer.load->slowness == 5);
    CHECK_FALSE(Http::find(answer.response.headers, "Laburnummast-Server-Load"));
    CHECK(decodeAnswer(response(200, {{"Laburnummast-Server-Load", "2,1,3"}})).load->slowness == 1);
    CHECK_FALSE(decodeAnswer(response(200, {{"Laburnummast-Server-Load", "2,x,3"}})).load);
}

TEST_CASE("A response with another request id is not taken for the response to this call")
{
    CHECK(isResponseToCall(response(200, {{"Laburnummast-Request-Id", "9c41"}}), "9c41"));
    CHECK_FALSE(isResponseToCall(response(200, {{"Laburnummast-Request-Id", "other"}}), "9c41"));
    CHECK_FALSE(isResponseToCall(response(200, {}), "9c41"));
    // A refusal without an id may be an earlier one, sent once more.
    CHECK_FALSE(isResponseToCall(response(503, {{"Laburnummast-Not-Executed", "1"}}), "9c41"));
    CHECK_FALSE(isResponseToCall(response(503, {}), "9c41"));
    CHECK_FALSE(isResponseToProbe(response(200, {{"Laburnummast-Request-Id", "9c41"}})));
}

TEST_CASE("A probe distinguishes a wrong instance, an unhealthy upstream and one without a free slot")
{
    const Http::Header instance{"Laburnummast-Instance-Id", "i-1"};
    CHECK(decodeProbeResponse(response(200, {instance}), "i-1").healthy);
    CHECK(decodeProbeResponse(response(200, {instance}), "i-2").wrongInstance);
    CHECK_FALSE(decodeProbeResponse(response(503, {instance}), "i-1").healthy);
    CHECK(decodeProbeResponse(response(503, {instance, {"Laburnummast-Not-Executed", "1"}}), "i-1").healthy);
}

TEST_CASE("A refusal states the retry delay in seconds with fractions")
{
    const auto refusal = notRunResponse("9c41", 62.5_ms);
    CHECK(refusal.status == 503);
    CHECK(Http::find(refusal.headers, "Retry-After") == "0.062");
    CHECK(Http::find(refusal.headers, "Laburnummast-Request-Id") == "9c41");
}

TEST_CASE("The limit of an upstream is read from its own answers only")
{
    const auto limitIn = [](Http::Headers headers, int status = 200) {
        return namedLimit({.status = status, .headers = std::move(headers), .body = {}}, "u1");
    };
    using Limit = std::optional<double>;
    CHECK(std::get<Limit>(limitIn({{"Server-Limit", " 5.8"}, {"Laburnummast-Response-Signature", "s"}})) == 5.8);
    CHECK(std::get<Limit>(limitIn({{"server-limit", "2"}, {"Laburnummast-Not-Executed", "1"}}, 503)) == 2.0);
    CHECK(std::get<Limit>(limitIn({{"Server-Limit", "0"}})) == 0.0);
    CHECK_FALSE(std::get<Limit>(limitIn({{"Laburnummast-Response-Signature", "s"}})));
    CHECK(std::get<Entry::LimitError>(limitIn({})) == Entry::LimitError::NotStated);
    CHECK(std::get<Entry::LimitError>(limitIn({{"Server-Limit", "5"}}, 421)) == Entry::LimitError::NotStated);
    CHECK(std::get<Entry::LimitError>(limitIn({{"Server-Limit", "5"}, {"Laburnummast-Instance-Id", "u2"}}))
          == Entry::LimitError::NotStated);
    for (const auto *value : {"", "fast", "-1", "nan", "inf", "5,6"}) {
        CAPTURE(value);
        CHECK(std::get<Entry::LimitError>(limitIn({{"Server-Limit", value}})) == Entry::LimitError::NotARate);
    }
}

TEST_CASE("An answer tells whether its upstream is leaving and for how long it wants no calls")
{
    const auto noticeIn = [](int status, Http::Headers headers) {
        return availabilityNotice({.status = status, .headers = std::move(headers), .body = {}}, "u1");
    };
    CHECK(noticeIn(200, {{"Server-Leaving", "1"}}).leaving);
    CHECK(noticeIn(503, {{"server-leaving", " 1 "}, {"Laburnummast-Not-Executed", "1"}}).leaving);
    CHECK(noticeIn(200, {{"Server-Leaving", "1"}, {"Laburnummast-Instance-Id", "u1"}}).leaving);
    CHECK(noticeIn(200, {{"Server-Leaving", "0"}}).empty());
    CHECK(noticeIn(200, {}).empty());
    CHECK(noticeIn(503, {{"Retry-After", "1.25"}}).pause == 1250_ms);
    CHECK(noticeIn(503, {{"retry-after", " 2 "}, {"Laburnummast-Not-Executed", "1"}}).pause == 2_s);
    CHECK(noticeIn(200, {{"Retry-After", "2"}}).empty());
    // Another upstream has taken over the address.
    CHECK(noticeIn(503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}, {"Laburnummast-Instance-Id", "u2"}}).empty());
    CHECK(noticeIn(421, {{"Server-Leaving", "1"}}).empty());
}

TEST_CASE("A delay that is no number of seconds is ignored and recognized as unreadable")
{
    for (const auto *value : {"", "soon", "-1", "nan", "inf", "1e999", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CAPTURE(value);
        const Http::Response refusal{.status = 503, .headers = {{"Retry-After", value}}, .body = {}};
        CHECK(availabilityNotice(refusal, "u1").empty());
        CHECK(hasUnreadableRetryAfter(refusal));
    }
    CHECK_FALSE(hasUnreadableRetryAfter({.status = 503, .headers = {{"Retry-After", "0.5"}}, .body = {}}));
    CHECK_FALSE(hasUnreadableRetryAfter({.status = 503, .headers = {}, .body = {}}));
}

namespace
{

Entry::IncomingCall callWith(const Http::Headers &headers)
{
    auto request = callerRequest();
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    return std::get<Entry::IncomingCall>(decodeCall(std::move(request)));
}

}

// Guards against upstreams that learn a caller's key or believe a workspace that the caller names.
TEST_CASE("The credential and the workspace that a caller states are taken out of the call in every spelling")
{
    auto call = callWith({{"authorization", "token  48wuakn2 "},
                          {"Laburnummast-Tenant-Name", "forged"},
                          {"LABURNUMMAST-TENANT-NAME", "forged"},
                          {"laburnummast_tenant_name", "forged"}});
    const auto credential = takeCredential(call);
    REQUIRE(std::holds_alternative<std::string>(credential));
    CHECK(std::get<std::string>(credential) == "48wuakn2");
    call.workspace = "yefi830";
    const auto sent = attemptHead(call, "i-1", 640_ms);
    int workspaceHeaders = 0;
    for (const auto &it : sent.headers) {
        CHECK(it.value.find("48wuakn2") == std::string::npos);
        CHECK(it.value != "forged");
        workspaceHeaders += it.value == "yefi830" ? 1 : 0;
    }
    CHECK(workspaceHeaders == 1);
    CHECK(Http::find(sent.headers, "Laburnummast-Tenant-Name") == "yefi830");
    CHECK(Http::find(sent.headers, "X-Kept") == "2");
}

TEST_CASE("Only exactly one credential of the supported scheme is accepted")
{
    using Workspaces::CredentialError;
    const std::map<CredentialError, std::vector<Http::Headers>> rejected{
        {CredentialError::Missing, {{}}},
        {CredentialError::Repeated, {{{"Authorization", "Token a"}, {"authorization", "Token a"}}}},
        {CredentialError::UnsupportedScheme, {{{"Authorization", "Basic a"}}, {{"Authorization", "Tokena"}}, {{"Authorization", ""}}}},
        {CredentialError::Malformed,
         {{{"Authorization", "Token"}}, {{"Authorization", "Token   "}}, {{"Authorization", "Token " + std::string(513, 'k')}}}}};
    for (const auto &[error, cases] : rejected) {
        for (const auto &headers : cases) {
            auto call = callWith(headers);
            const auto credential = takeCredential(call);
            REQUIRE(std::holds_alternative<CredentialError>(credential));
            CHECK(std::get<CredentialError>(credential) == error);
        }
    }
}

TEST_CASE("A call without a workspace keeps its headers, a credential included")
{
    const auto call = callWith({{"Authorization", "Token a"}});
    const auto sent = attemptHead(call, "i-1", 640_ms);
    CHECK(Http::find(sent.headers, "Authorization") == "Token a");
    CHECK_FALSE(Http::find(sent.headers, "Laburnummast-Tenant-Name"));
}
