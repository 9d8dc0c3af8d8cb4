// laburnummast-entry: daemon that serves callers on an entry host of the platform.

#include "core/config/address.h"
#include "core/text.h"
#include "entry/admin.h"
#include "entry/node.h"
#include "platform/settings.h"
#include "process/files.h"
#include "process/log.h"
#include "process/signals.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <thread>

ABSL_FLAG(std::string, settings, "", "settings file; by default the one that the environment names");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace Laburnummast::Entry
{
namespace
{

// Exit codes. exitCallsCancelled: calls were still in flight at the end of the drain time.
constexpr int exitOk = 0;
constexpr int exitCallsCancelled = 1;
constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 3;
constexpr Millis signalPollInterval{500};
// Longer buffers are mapped on their own and returned to the system once they are freed. By default the bound rises to 32 MiB with the
// longest buffer that was freed; bodies then fragment the heap, which takes much more memory than the bodies.
constexpr int mappedBufferBytes = 131072;

std::optional<NodeSettings> loadSettings(const std::string &path)
{
    const auto text = Process::readFile(path);
    if (const auto *failure = std::get_if<Process::FileError>(&text)) {
        std::cerr << "laburnummast-entry: " << Process::describe(*failure) << "\n";
        return std::nullopt;
    }
    auto settings = Platform::parseSettings(std::get<std::string>(text));
    if (const auto *problems = std::get_if<std::vector<Platform::SettingProblem>>(&settings)) {
        for (const auto &it : *problems) {
            std::cerr << "laburnummast-entry: " << path << ": " << it.field
                      << (it.value.empty() ? " is missing" : " has an invalid value: " + it.value) << "\n";
        }
        return std::nullopt;
    }
    return std::get<NodeSettings>(settings);
}

int run(const NodeSettings &settings, const std::string &path)
{
    Process::blockSignals();
    Process::startLog(settings.host);
    Node node(settings);
    if (const auto failure = node.start()) {
        Process::logError("listen-failed", {{"address", Config::toString(*failure)}});
        Process::stopLog();
        return exitCannotListen;
    }
    Admin admin(node);
    if (const auto failure = admin.start(internalAddress(settings, InternalPort::Admin))) {
        Process::logWarning("metrics-listen-failed", {{"address", Config::toString(*failure)}});
    }
    Process::logInfo("started", {{"front", Config::toString(settings.front)}, {"domain", settings.domain}});
    while (true) {
        const auto signal = Process::waitForSignal(signalPollInterval);
        if (!signal) {
            continue;
        }
        if (*signal != SIGHUP) {
            break;
        }
        if (const auto fresh = loadSettings(path)) {
            node.reload(*fresh);
            Process::logInfo("reloaded", {{"settings", path}});
        } else {
            Process::logError("reload-failed", {{"settings", path}});
        }
    }
    Process::logInfo("draining");
    const auto unanswered = node.drain();
    // Little of the grace period may be left, and both wait for open connections.
    std::thread adminStop([&admin] { admin.stop(); });
    node.endCalls();
    adminStop.join();
    node.stop();
    Process::logInfo("stopped", {{"cut", Text::concat(unanswered)}});
    Process::stopLog();
    return unanswered == 0 ? exitOk : exitCallsCancelled;
}

}
}

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, Laburnummast::Entry::mappedBufferBytes);
    mallopt(M_TRIM_THRESHOLD, Laburnummast::Entry::mappedBufferBytes);
    absl::SetProgramUsageMessage("laburnummast-entry [--settings=FILE]: serves callers on one entry host of the platform");
    absl::ParseCommandLine(argc, argv);
    auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        path = Laburnummast::Platform::settingsPath();
    }
    const auto settings = Laburnummast::Entry::loadSettings(path);
    if (!settings) {
        return Laburnummast::Entry::exitBadSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": ok\n";
        return Laburnummast::Entry::exitOk;
    }
    return Laburnummast::Entry::run(*settings, path);
}
