#include "daemon/settings.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Laburnummast;
using Config::SettingErrorKind;
using Config::SettingErrors;

namespace
{

const std::string minimalSettings = "[daemon]\nhost = h\ndomain = d\n[entry]\naddress = 127.0.0.1:80\n[admin]\naddress = 127.0.0.1:81\n"
                                    "[peer]\naddress = 127.0.0.1:82\nkey_file = k\nseeds = 127.0.0.1:82, 127.0.0.2:82\n[log]\naddress = "
                                    "127.0.0.1:83\n[operators]\nkey_file = o\n";

SettingErrors errorsOf(const std::string &text)
{
    auto result = Daemon::parseSettings(text, "file.ini");
    REQUIRE(std::holds_alternative<SettingErrors>(result));
    return std::get<SettingErrors>(result);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST_CASE("Settings with only the required keys are valid and get defaults for the other keys")
{
    const auto result = Daemon::parseSettings(minimalSettings, "file.ini");
    REQUIRE(std::holds_alternative<Daemon::Settings>(result));
    const auto &settings = std::get<Daemon::Settings>(result);
    CHECK(settings.seeds.size() == 2);
    CHECK(settings.entryAddress.port == 80);
    CHECK(settings.drainTimeout == 10_s);
}

TEST_CASE("Each kind of error in the settings is reported with its kind, section and allowed values")
{
    const auto unknown = errorsOf(minimalSettings + "[limits]\ndrian_ms = 5\n");
    CHECK(unknown.at(0).kind == SettingErrorKind::UnknownKey);
    CHECK(unknown.at(0).section == "limits");
    CHECK(unknown.at(0).allowed.find("drain_ms") != std::string::npos);
    CHECK(errorsOf(minimalSettings + "[limits]\ndrain_ms = soon\n").at(0).kind == SettingErrorKind::NotANumber);
    CHECK(errorsOf(minimalSettings + "[limits]\ndrain_ms = 0\n").at(0).allowed == "1 to 600000");
    CHECK(errorsOf(minimalSettings + "[surprise]\nx = 1\n").at(0).kind == SettingErrorKind::UnknownSection);
    CHECK(errorsOf(replaced(minimalSettings, "host = h\n", "")).at(0).kind == SettingErrorKind::MissingKey);
    CHECK(errorsOf(replaced(minimalSettings, "127.0.0.1:80", "nowhere")).at(0).allowed == "IP:PORT");
    CHECK(errorsOf(replaced(minimalSettings, "127.0.0.1:80", "127.0.0.1:70000")).at(0).kind == SettingErrorKind::NotAllowed);
}

TEST_CASE("An empty settings file reports all missing required keys at once")
{
    const auto errors = errorsOf("");
    CHECK(errors.size() == 8);
    CHECK(std::all_of(errors.begin(), errors.end(), [](const auto &it) { return it.kind == SettingErrorKind::MissingKey; }));
}
