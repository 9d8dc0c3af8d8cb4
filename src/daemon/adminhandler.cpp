#include "daemon/adminhandler.h"

#include "core/keyedhash.h"
#include "core/text.h"
#include "process/log.h"

#include <nlohmann/json.hpp>

namespace Laburnummast::Daemon
{
namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

void sendJson(Net::ServerRequest &request, int status, const Json &body)
{
    Net::sendResponse(request, {.status = status, .body = body.dump(2) + "\n"});
}

Json toJson(const std::vector<Config::Rejection> &reasons)
{
    Json list = Json::array();
    for (const auto &it : reasons) {
        list.push_back({{"kind", nameOf(it.kind)}, {"entity", describe(it.key)}, {"detail", it.detail}});
    }
    return list;
}

Json toJson(const Config::NoteOutcome &outcome)
{
    return {{"id", outcome.id},
            {"author", outcome.author},
            {"offset", outcome.offset},
            {"verdict", outcome.accepted ? "accepted" : "rejected"},
            {"reasons", toJson(outcome.reasons)}};
}

Json toJson(const Config::NoteError &failure)
{
    Json list = Json::array();
    std::visit(Overloaded{[&](const Config::SettingErrors &errors) {
                              for (const auto &it : errors) {
                                  list.push_back(describe(it));
                              }
                          },
                          [&](const Config::FutureFormat &it) {
                              list.push_back(Text::concat("format ", it.format, " is later than this build knows"));
                          }},
               failure);
    return list;
}

}

AdminHandler::AdminHandler(std::string operatorCredential, CallHandler &calls, Traffic &traffic, Control &control)
    : m_operatorCredential(std::move(operatorCredential))
    , m_calls(calls)
    , m_traffic(traffic)
    , m_control(control)
    , m_metrics(calls, traffic, control)
{
}

void AdminHandler::setOperatorCredential(std::string credential)
{
    const std::lock_guard lock(m_credentialMutex);
    m_operatorCredential = std::move(credential);
}

void AdminHandler::handle(Net::ServerRequest &request)
{
    const auto path = request.path();
    if (request.method() == "POST") {
        handlePost(request);
    } else if (path == "/metrics") {
        Net::sendResponse(request, {.status = statusOk, .contentType = "text/plain; version=0.0.4", .body = m_metrics.text()});
    } else if (path == "/v1/state") {
        Net::sendResponse(request, {.status = statusOk, .body = state()});
    } else if (path == "/v1/status") {
        Net::sendResponse(request, {.status = statusOk, .body = status()});
    } else if (path == "/v1/notes") {
        Net::sendResponse(request, {.status = statusOk, .body = notes()});
    } else if (path == "/v1/usage") {
        Net::sendResponse(request, {.status = statusOk, .body = usage()});
    } else if (path == "/v1/config") {
        Net::sendResponse(request, {.status = statusOk, .contentType = "application/octet-stream", .body = m_control.config().snapshot()});
    } else {
        sendJson(request, statusNotFound, {{"failure", "unknown-path"}});
    }
}

bool AdminHandler::authorizeOperator(Net::ServerRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto credential = request.header("Authorization").value_or("");
    const std::lock_guard lock(m_credentialMutex);
    if (credential.starts_with(scheme) && equalInConstantTime(credential.substr(scheme.size()), m_operatorCredential)) {
        return true;
    }
    ++m_deniedRequests;
    Process::logWarning("operator-denied", {{"path", std::string(request.path())}});
    request.closeAfterResponse();
    sendJson(request, statusUnauthorized, {{"failure", "wrong-credential"}});
    return false;
}

void AdminHandler::handlePost(Net::ServerRequest &request)
{
    if (!authorizeOperator(request)) {
        return;
    }
    if (request.path() == "/v1/notes") {
        publishNote(request);
    } else if (request.path() == "/v1/drain") {
        Process::logInfo("drain-requested");
        m_drainRequested = true;
        sendJson(request, statusAccepted, {{"draining", true}});
    } else {
        sendJson(request, statusNotFound, {{"failure", "unknown-path"}});
    }
}

void AdminHandler::publishNote(Net::ServerRequest &request)
{
    const auto body = Net::readBody(request, Config::maxNoteBytes);
    if (std::holds_alternative<Net::BodyError>(body)) {
        request.closeAfterResponse();
        sendJson(request, statusTooLarge, {{"failure", "too-large"}, {"most_bytes", Config::maxNoteBytes}});
        return;
    }
    const auto &text = std::get<std::string>(body);
    const auto parsed = Config::parseNote(text, "note");
    if (const auto *failure = std::get_if<Config::NoteError>(&parsed)) {
        sendJson(request, statusBadRequest, {{"failure", "malformed-note"}, {"errors", toJson(*failure)}});
        return;
    }
    const auto &note = std::get<Config::Note>(parsed);
    if (const auto known = m_control.config().outcomeOf(note.id)) {
        sendJson(request, known->accepted ? statusOk : statusConflict, toJson(*known));
        return;
    }
    // A note that conflicts with the state in force is rejected at once and not appended to the log.
    const auto reasons = m_control.config().check(note);
    if (!reasons.empty()) {
        sendJson(request,
                 statusConflict,
                 {{"id", note.id}, {"verdict", "rejected"}, {"offset", Config::noOffset}, {"reasons", toJson(reasons)}});
        return;
    }
    const auto outcome = m_control.config().publish(m_control.log(), text, note.id);
    if (const auto *failure = std::get_if<PublishError>(&outcome)) {
        const bool unreachable = failure->kind == PublishErrorKind::LogUnreachable;
        const Json answer{{"id", note.id}, {"failure", unreachable ? "log-unreachable" : "no-verdict-yet"}};
        sendJson(request, unreachable ? statusUnavailable : statusGatewayTimeout, answer);
        return;
    }
    const auto &verdict = std::get<Config::NoteOutcome>(outcome);
    sendJson(request, verdict.accepted ? statusOk : statusConflict, toJson(verdict));
}

std::string AdminHandler::state() const
{
    auto json = m_control.dump();
    const auto self = m_control.self();
    json["self"] = {{"host", self.info.host}, {"domain", self.info.domain}, {"state", nameOf(self.state)}, {"draining", m_draining.load()}};
    json["services"] = Json::array();
    for (const auto &it : m_traffic.runners()) {
        json["services"].push_back(it->dump());
    }
    const auto &calls = m_calls.counters();
    json["calls"] = {{"done", calls.done.load()},
                     {"replayed", calls.replayed.load()},
                     {"in_flight", calls.inFlight.load()},
                     {"buffered_bytes", calls.bufferedBytes.load()},
                     {"entries_answered", calls.entriesAnswered.load()}};
    for (std::size_t i = 0; i < callFailureCount; ++i) {
        json["calls"][std::string(nameOf(static_cast<CallFailure>(i)))] = calls.failed[i].load();
    }
    json["operator_actions_denied"] = m_deniedRequests.load();
    json["control"]["resident_bytes"] = residentBytes();
    json["attempt_threads"] = m_traffic.pool().threadCount();
    json["attempts_waiting"] = m_traffic.pool().queuedJobs();
    return json.dump(2) + "\n";
}

std::string AdminHandler::status() const
{
    const auto self = m_control.self();
    const auto position = m_control.config().position();
    Json members = Json::array();
    for (const auto &it : m_traffic.allMembers()) {
        members.push_back({{"host", it.info.host},
                           {"domain", it.info.domain},
                           {"state", nameOf(it.state)},
                           {"admin", Text::concat(it.info.admin.ip, ":", it.info.admin.port)}});
    }
    const Json json{{"host", self.info.host},
                    {"domain", self.info.domain},
                    {"state", m_draining ? "leaving" : nameOf(self.state)},
                    {"offset", position.offset},
                    {"hash", Text::hex((position.hash))},
                    {"in_flight", m_calls.counters().inFlight.load()},
                    {"members", members}};
    return json.dump(2) + "\n";
}

std::string AdminHandler::notes() const
{
    Json list = Json::array();
    for (const auto &it : m_control.config().outcomes()) {
        list.push_back(toJson(it));
    }
    return Json{{"notes", list}}.dump(2) + "\n";
}

std::string AdminHandler::usage() const
{
    Json sources = Json::array();
    const auto ledger = m_traffic.usage();
    for (const auto &[source, table] : ledger.sources()) {
        for (const auto &[key, it] : table) {
            sources.push_back({{"host", source.host},
                               {"incarnation", source.incarnation},
                               {"owner", key.owner},
                               {"partner", key.partner},
                               {"service", key.service},
                               {"calls", it.calls},
                               {"refused", it.refused},
                               {"slot_micros", it.slotMicros},
                               {"bytes_in", it.bytesIn},
                               {"bytes_out", it.bytesOut},
                               {"probes", it.probes}});
        }
    }
    return Json{{"usage", sources}}.dump(2) + "\n";
}

}
