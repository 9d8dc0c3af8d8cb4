// laburnummastd: the daemon that runs on each entry host.

#include "core/config/address.h"
#include "daemon/daemon.h"
#include "process/files.h"
#include "process/log.h"
#include "process/signals.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <iostream>
#include <optional>

ABSL_FLAG(std::string, config, "", "settings file (INI); docs/CONFIGURATION.md lists its keys");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace Laburnummast::Daemon
{
namespace
{

constexpr int exitOk = 0;
// The drain time ended while calls were in flight.
constexpr int exitCallsAborted = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitAddressUnavailable = 3;
constexpr Millis signalPollInterval{200};

// The settings and the keys from the files that they name.
struct LoadedSettings
{
    Settings settings;
    DaemonKeys keys;
};

void printError(const Process::FileError &error)
{
    std::cerr << "laburnummastd: " << Process::describe(error) << "\n";
}

std::optional<std::string> loadKey(const std::string &path)
{
    auto key = Process::readKeyFile(path);
    if (const auto *failure = std::get_if<Process::FileError>(&key)) {
        printError(*failure);
        return std::nullopt;
    }
    return std::get<std::string>(key);
}

std::optional<LoadedSettings> loadSettings(const std::string &path)
{
    const auto text = Process::readFile(path);
    if (const auto *failure = std::get_if<Process::FileError>(&text)) {
        printError(*failure);
        return std::nullopt;
    }
    auto settings = parseSettings(std::get<std::string>(text), path);
    if (const auto *errors = std::get_if<Config::SettingErrors>(&settings)) {
        for (const auto &it : *errors) {
            std::cerr << "laburnummastd: " << describe(it) << "\n";
        }
        return std::nullopt;
    }
    auto &parsed = std::get<Settings>(settings);
    const auto peer = loadKey(parsed.peerKeyFile);
    const auto operators = loadKey(parsed.operatorKeyFile);
    if (!peer || !operators) {
        return std::nullopt;
    }
    return LoadedSettings{.settings = std::move(parsed), .keys = {.peer = *peer, .operators = *operators}};
}

int run(const LoadedSettings &loaded, const std::string &path)
{
    Process::blockSignals();
    Process::startLog(loaded.settings.host);
    Daemon daemon(loaded.settings, loaded.keys);
    if (const auto failure = daemon.start()) {
        Process::logError("listen-failed", {{"address", Config::toString(*failure)}});
        Process::stopLog();
        return exitAddressUnavailable;
    }
    while (!daemon.drainRequested()) {
        const auto signal = Process::waitForSignal(signalPollInterval);
        if (signal == SIGHUP) {
            if (const auto reloaded = loadSettings(path)) {
                daemon.reload(reloaded->settings, reloaded->keys);
            } else {
                Process::logError("reload-failed");
            }
        } else if (signal) {
            break;
        }
    }
    const bool drainedCompletely = daemon.drain();
    daemon.stop();
    Process::logInfo("stopped");
    Process::stopLog();
    return drainedCompletely ? exitOk : exitCallsAborted;
}

}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("laburnummastd --config=FILE: runs the daemon of one entry host");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_config);
    const auto loaded = Laburnummast::Daemon::loadSettings(path);
    if (!loaded) {
        return Laburnummast::Daemon::exitInvalidSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": ok\n";
        return Laburnummast::Daemon::exitOk;
    }
    return Laburnummast::Daemon::run(*loaded, path);
}
