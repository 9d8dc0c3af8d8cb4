// Commands for release notes: check, plan, publish, notes.

#include "cli/client.h"
#include "core/text.h"
#include "process/wallclock.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, id, "", "plan: id of the note; generated from the current time if empty");
ABSL_FLAG(std::string, author, "", "plan: author of the note");
ABSL_FLAG(int, wait_s, 15, "publish: seconds to wait at most until the note is in force on every live daemon");

namespace Laburnummast::Cli
{
namespace
{

constexpr Millis pollInterval = 50_ms;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusConflict = 409;

void printSettingErrors(const Config::SettingErrors &errors)
{
    for (const auto &it : errors) {
        std::cerr << describe(it) << "\n";
    }
}

void printNoteFailure(const Config::NoteError &failure)
{
    std::visit(Overloaded{[](const Config::SettingErrors &it) { printSettingErrors(it); },
                          [](const Config::FutureFormat &it) {
                              printError(Text::concat("note format ", it.format, " is newer than this version supports"));
                          }},
               failure);
}

void printRejectionReasons(const nlohmann::json &verdict)
{
    for (const auto &it : verdict.value("reasons", nlohmann::json::array())) {
        std::cerr << it.value("entity", "") << ": " << it.value("kind", "") << ": " << it.value("detail", "") << "\n";
    }
}

// Whether the record at `offset` is in force on a daemon; also false if the daemon does not respond.
bool isInForce(const DaemonInfo &daemon, Config::Offset offset)
{
    const auto response = get(daemon.adminAddress, "/v1/status");
    return response && response->json.is_object() && response->json.value("offset", Config::noOffset) >= offset;
}

// Whether the daemon counts as running, according to its membership state.
bool isLive(const DaemonInfo &daemon)
{
    return daemon.state == "alive" || daemon.state == "suspect" || daemon.state == "leaving";
}

// Waits until the record at `offset` is in force on every live daemon, at most for `timeout`. Returns the hosts of the live
// daemons where it was not in force at the last check. The result is also empty if the member list could not be fetched at the last
// check.
std::vector<std::string> waitUntilInForce(Config::Offset offset, Millis timeout)
{
    const auto deadline = Process::steadyNow() + timeout;
    while (true) {
        std::vector<std::string> missing;
        const auto daemons = fetchDaemons();
        for (const auto &it : daemons.value_or(std::vector<DaemonInfo>{})) {
            if (isLive(it) && !isInForce(it, offset)) {
                missing.push_back(it.host);
            }
        }
        if ((daemons && missing.empty()) || Process::steadyNow() >= deadline) {
            return missing;
        }
        std::this_thread::sleep_for(Process::toChrono(pollInterval));
    }
}

// Prints why a note was not accepted, and returns the exit code for the reason.
ExitCode reportFailedPublish(const Response &response)
{
    if (wantsJson()) {
        std::cout << response.body;
    }
    switch (response.status) {
    case statusUnauthorized:
        printError("the operator's credential was rejected");
        return ExitCode::Denied;
    case statusConflict:
        printRejectionReasons(response.json);
        printError("the note was rejected");
        return ExitCode::Refused;
    case statusBadRequest:
        for (const auto &it : response.json.value("errors", nlohmann::json::array())) {
            std::cerr << it.get<std::string>() << "\n";
        }
        return ExitCode::Usage;
    default:
        printError(Text::concat("no verdict: ",
                                response.json.is_object() ? response.json.value("failure", "unknown") : "unknown",
                                "; publish the same note again: its id prevents it from being applied twice"));
        return ExitCode::Unreachable;
    }
}

}

ExitCode checkNote(Arguments arguments)
{
    const auto text = readTextFile(arguments[0]);
    if (!text) {
        return ExitCode::Usage;
    }
    const auto note = Config::parseNote(*text, arguments[0]);
    if (const auto *failure = std::get_if<Config::NoteError>(&note)) {
        printNoteFailure(*failure);
        return ExitCode::Usage;
    }
    const auto &parsed = std::get<Config::Note>(note);
    if (wantsJson()) {
        std::cout << nlohmann::json{{"id", parsed.id}, {"changes", parsed.changes.size()}}.dump() << "\n";
    } else {
        std::cout << arguments[0] << ": ok, " << parsed.changes.size() << " changes\n";
    }
    return ExitCode::Ok;
}

ExitCode planNote(Arguments arguments)
{
    const auto text = readTextFile(arguments[0]);
    if (!text) {
        return ExitCode::Usage;
    }
    const auto declarations = Config::parseDeclarations(*text, arguments[0]);
    if (const auto *errors = std::get_if<Config::SettingErrors>(&declarations)) {
        printSettingErrors(*errors);
        return ExitCode::Usage;
    }
    const auto state = fetchConfig();
    if (!state) {
        return ExitCode::Unreachable;
    }
    auto id = absl::GetFlag(FLAGS_id);
    if (id.empty()) {
        id = Text::concat("note-", static_cast<std::int64_t>(Process::wallNow().count));
    }
    const auto note = Config::planNote(*state, std::get<Config::Declarations>(declarations), id, absl::GetFlag(FLAGS_author));
    if (note.changes.empty()) {
        printError("the declarations match the configuration in force");
        return ExitCode::Ok;
    }
    std::cout << writeNote(note);
    return ExitCode::Ok;
}

ExitCode publishNote(Arguments arguments)
{
    const auto text = readTextFile(arguments[0]);
    const auto credential = readOperatorCredential();
    const auto address = daemonAddress();
    if (!text || !address) {
        return ExitCode::Usage;
    }
    if (!credential) {
        return ExitCode::Denied;
    }
    const auto start = Process::steadyNow();
    const auto response = post(*address, "/v1/notes", *text, *credential);
    if (!response) {
        printError("the daemon did not respond; publish the same note again: its id prevents it from being applied twice");
        return ExitCode::Unreachable;
    }
    if (response->status != statusOk) {
        return reportFailedPublish(*response);
    }
    const auto offset = response->json.value("offset", Config::noOffset);
    const auto missing = waitUntilInForce(offset, Millis{1000.0 * absl::GetFlag(FLAGS_wait_s)});
    const auto elapsed = Process::steadyNow() - start;
    if (wantsJson()) {
        std::cout << nlohmann::json{{"offset", offset}, {"in_force_ms", elapsed.count}, {"missing", missing}}.dump() << "\n";
    } else {
        std::cout << absl::StrFormat(
            "accepted at offset %d; in force %s after %.0f ms\n", offset, missing.empty() ? "everywhere" : "not everywhere", elapsed.count);
    }
    for (const auto &it : missing) {
        printError(Text::concat("the note is not in force on ", it));
    }
    return missing.empty() ? ExitCode::Ok : ExitCode::Unreachable;
}

ExitCode listNotes(Arguments /*arguments*/)
{
    const auto address = daemonAddress();
    if (!address) {
        return ExitCode::Usage;
    }
    const auto response = get(*address, "/v1/notes");
    if (!response || !response->json.contains("notes")) {
        printError("no valid response from the daemon");
        return ExitCode::Unreachable;
    }
    if (wantsJson()) {
        std::cout << response->body;
        return ExitCode::Ok;
    }
    for (const auto &it : response->json["notes"]) {
        std::cout << absl::StrFormat(
            "%8d  %-9s  %-32s %s\n", it.value("offset", 0), it.value("verdict", ""), it.value("id", ""), it.value("author", ""));
        for (const auto &reason : it.value("reasons", nlohmann::json::array())) {
            std::cout << "          " << reason.value("entity", "") << ": " << reason.value("kind", "") << ": "
                      << reason.value("detail", "") << "\n";
        }
    }
    return ExitCode::Ok;
}

}
