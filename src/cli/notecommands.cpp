// Commands about release notes: check, plan, publish, notes.

#include "cli/client.h"
#include "core/text.h"
#include "process/wallclock.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, id, "", "plan: id of the note; made from the time if not given");
ABSL_FLAG(std::string, author, "", "plan: author of the note");
ABSL_FLAG(int, wait_s, 15, "publish: how long to wait until the note is in force on every live daemon");

namespace Laburnummast::Cli
{
namespace
{

constexpr Millis pollPause = 50_ms;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusDenied = 401;
constexpr int statusConflict = 409;

void printErrors(const Config::SettingErrors &errors)
{
    for (const auto &it : errors) {
        std::cerr << describe(it) << "\n";
    }
}

void printFailure(const Config::NoteFailure &failure)
{
    std::visit(Overloaded{[](const Config::SettingErrors &it) { printErrors(it); },
                          [](const Config::FutureFormat &it) {
                              complain(Text::concat("note format ", it.format, " is later than this build knows"));
                          }},
               failure);
}

void printReasons(const nlohmann::json &verdict)
{
    for (const auto &it : verdict.value("reasons", nlohmann::json::array())) {
        std::cerr << it.value("entity", "") << ": " << it.value("kind", "") << ": " << it.value("detail", "") << "\n";
    }
}

bool inForce(const DaemonRef &daemon, Config::Offset offset)
{
    const auto answer = get(daemon.admin, "/v1/status");
    return answer && answer->json.is_object() && answer->json.value("offset", Config::noOffset) >= offset;
}

bool isLive(const DaemonRef &daemon)
{
    return daemon.state == "alive" || daemon.state == "suspect" || daemon.state == "leaving";
}

// The hosts among the live daemons where the note is not in force after the wait.
std::vector<std::string> waitUntilInForce(Config::Offset offset, Millis limit)
{
    const auto until = Process::steadyNow() + limit;
    while (true) {
        std::vector<std::string> missing;
        const auto daemons = fetchDaemons();
        for (const auto &it : daemons.value_or(std::vector<DaemonRef>{})) {
            if (isLive(it) && !inForce(it, offset)) {
                missing.push_back(it.host);
            }
        }
        if ((daemons && missing.empty()) || Process::steadyNow() >= until) {
            return missing;
        }
        std::this_thread::sleep_for(Process::toChrono(pollPause));
    }
}

ExitCode reportRefusal(const Answer &answer)
{
    if (wantsJson()) {
        std::cout << answer.body;
    }
    switch (answer.status) {
    case statusDenied:
        complain("the operator's credential is wrong");
        return ExitCode::Denied;
    case statusConflict:
        printReasons(answer.json);
        complain("rejected");
        return ExitCode::Refused;
    case statusBadRequest:
        for (const auto &it : answer.json.value("errors", nlohmann::json::array())) {
            std::cerr << it.get<std::string>() << "\n";
        }
        return ExitCode::Usage;
    default:
        complain(Text::concat("no verdict: ",
                              answer.json.is_object() ? answer.json.value("failure", "unknown") : "unknown",
                              "; publish the same note again: its id keeps it from taking effect twice"));
        return ExitCode::Unreachable;
    }
}

}

ExitCode checkNote(Arguments arguments)
{
    const auto text = readText(arguments[0]);
    if (!text) {
        return ExitCode::Usage;
    }
    const auto note = Config::parseNote(*text, arguments[0]);
    if (const auto *failure = std::get_if<Config::NoteFailure>(&note)) {
        printFailure(*failure);
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
    const auto text = readText(arguments[0]);
    if (!text) {
        return ExitCode::Usage;
    }
    const auto declarations = Config::parseDeclarations(*text, arguments[0]);
    if (const auto *errors = std::get_if<Config::SettingErrors>(&declarations)) {
        printErrors(*errors);
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
        complain("nothing differs from what is in force");
        return ExitCode::Ok;
    }
    std::cout << writeNote(note);
    return ExitCode::Ok;
}

ExitCode publishNote(Arguments arguments)
{
    const auto text = readText(arguments[0]);
    const auto key = operatorKey();
    const auto address = daemonAddress();
    if (!text || !address) {
        return ExitCode::Usage;
    }
    if (!key) {
        return ExitCode::Denied;
    }
    const auto started = Process::steadyNow();
    const auto answer = post(*address, "/v1/notes", *text, *key);
    if (!answer) {
        complain("the daemon did not answer; publish the same note again: its id keeps it from taking effect twice");
        return ExitCode::Unreachable;
    }
    if (answer->status != statusOk) {
        return reportRefusal(*answer);
    }
    const auto offset = answer->json.value("offset", Config::noOffset);
    const auto missing = waitUntilInForce(offset, Millis{1000.0 * absl::GetFlag(FLAGS_wait_s)});
    const auto took = Process::steadyNow() - started;
    if (wantsJson()) {
        std::cout << nlohmann::json{{"offset", offset}, {"in_force_ms", took.count}, {"missing", missing}}.dump() << "\n";
    } else {
        std::cout << absl::StrFormat(
            "accepted at offset %d; in force %s after %.0f ms\n", offset, missing.empty() ? "everywhere" : "not everywhere", took.count);
    }
    for (const auto &it : missing) {
        complain(Text::concat("not in force on ", it));
    }
    return missing.empty() ? ExitCode::Ok : ExitCode::Unreachable;
}

ExitCode listNotes(Arguments /*arguments*/)
{
    const auto address = daemonAddress();
    if (!address) {
        return ExitCode::Usage;
    }
    const auto answer = get(*address, "/v1/notes");
    if (!answer || !answer->json.contains("notes")) {
        complain("the daemon did not answer");
        return ExitCode::Unreachable;
    }
    if (wantsJson()) {
        std::cout << answer->body;
        return ExitCode::Ok;
    }
    for (const auto &it : answer->json["notes"]) {
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
