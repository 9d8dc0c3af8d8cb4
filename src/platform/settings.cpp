#include "platform/settings.h"

#include "core/config/address.h"
#include "core/text.h"

#include <cstdlib>
#include <map>

namespace Laburnummast::Platform
{
namespace
{

constexpr const char *settingsPathVariable = "LABURNUMMAST_NODE_FILE";
constexpr const char *defaultSettingsPath = "/etc/laburnummast/settings.conf";

using KeyValues = std::map<std::string, std::string, std::less<>>;

// Each line is `key = value`; lines that begin with # are comments. The last of several lines with the same key counts.
KeyValues parseKeyValues(std::string_view text)
{
    KeyValues values;
    while (!text.empty()) {
        const auto [line, rest] = Text::splitOnce(text, '\n');
        text = rest;
        const auto [key, value] = Text::splitOnce(Text::trim(line), '=');
        if (!key.empty() && key.front() != '#') {
            values[std::string(Text::trim(key))] = std::string(Text::trim(value));
        }
    }
    return values;
}

// Reads typed fields and collects the problems found. An empty value counts as missing.
class SettingsReader
{
public:
    explicit SettingsReader(std::string_view text)
        : m_values(parseKeyValues(text))
    {
    }

    std::string text(std::string_view key, bool required = true)
    {
        const auto it = m_values.find(key);
        if (it != m_values.end() && !it->second.empty()) {
            return it->second;
        }
        if (required) {
            m_problems.push_back({.field = std::string(key), .value = {}});
        }
        return {};
    }

    Entry::Address address(std::string_view key, bool required = true)
    {
        const auto value = text(key, required);
        const auto parsed = Config::parseAddress(value);
        if (!parsed && !value.empty()) {
            m_problems.push_back({.field = std::string(key), .value = value});
        }
        return parsed.value_or(Entry::Address{});
    }

    // Sets `target` if the field has a positive number; any other value is a problem, a missing field is not.
    void number(std::string_view key, double &target)
    {
        const auto value = text(key, false);
        const auto parsed = Text::parseNumber(value);
        if (parsed && *parsed > 0) {
            target = *parsed;
        } else if (!value.empty()) {
            m_problems.push_back({.field = std::string(key), .value = value});
        }
    }

    // Sets `target` if the field has a duration; any other value is a problem, a missing field is not.
    void duration(std::string_view key, Millis &target)
    {
        const auto value = text(key, false);
        const auto parsed = parseDuration(value);
        if (parsed) {
            target = *parsed;
        } else if (!value.empty()) {
            m_problems.push_back({.field = std::string(key), .value = value});
        }
    }

    // Sets `target` if the field is `true` or `false`; any other value is a problem, a missing field is not.
    void flag(std::string_view key, bool &target)
    {
        const auto value = text(key, false);
        if (value == "true" || value == "false") {
            target = value == "true";
        } else if (!value.empty()) {
            m_problems.push_back({.field = std::string(key), .value = value});
        }
    }

    std::vector<SettingProblem> takeProblems()
    {
        return std::move(m_problems);
    }

private:
    KeyValues m_values;
    std::vector<SettingProblem> m_problems;
};

// The range is `first,last`; a port that cannot be read is 0.
void readInternalPorts(SettingsReader &reader, Entry::NodeSettings &settings)
{
    const auto range = reader.text("network.internal-port-range");
    const auto [first, last] = Text::splitOnce(range, ',');
    settings.firstInternalPort = static_cast<std::uint16_t>(Text::parseInteger(first).value_or(0));
    settings.lastInternalPort = static_cast<std::uint16_t>(Text::parseInteger(last).value_or(0));
}

}

std::string settingsPath()
{
    const char *path = std::getenv(settingsPathVariable);
    return path ? path : defaultSettingsPath;
}

std::optional<Millis> parseDuration(std::string_view text)
{
    text = Text::trim(text);
    double millisPerUnit = 1000;
    if (text.ends_with("ms")) {
        millisPerUnit = 1;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        text.remove_suffix(1);
    } else {
        return std::nullopt;
    }
    const auto number = Text::parseNumber(text);
    return number && *number >= 0 ? std::optional(Millis{*number * millisPerUnit}) : std::nullopt;
}

Result<Entry::NodeSettings, std::vector<SettingProblem>> parseSettings(std::string_view text)
{
    SettingsReader reader(text);
    Entry::NodeSettings settings;
    settings.host = reader.text("self.node-name");
    // The platform calls a failure domain a zone.
    settings.domain = reader.text("self.zone");
    settings.ip = reader.text("self.ip");
    reader.number("self.limits.cpu-share", settings.cpuShare);
    reader.number("self.limits.link-mbps", settings.linkMegabits);
    reader.number("self.limits.memory-mb", settings.memoryMegabytes);
    reader.number("self.limits.fd-limit", settings.descriptorLimit);
    settings.front = reader.address("network.listen.front");
    settings.readiness = reader.address("network.listen.ready");
    settings.directory = reader.address("network.listen.directory", false);
    settings.control = reader.address("network.listen.control", false);
    readInternalPorts(reader, settings);
    const auto seeds = reader.text("network.seeds", false);
    // Seeds that cannot be read are skipped.
    for (const auto it : Text::split(seeds, ',')) {
        if (const auto seed = Config::parseAddress(it)) {
            settings.seeds.push_back(*seed);
        }
    }
    settings.store = reader.address("platform.platform.address");
    auto &bounds = settings.bounds;
    reader.duration("terms.bounds.drain", bounds.drainPeriod);
    reader.duration("terms.bounds.grace-period", bounds.gracePeriod);
    reader.duration("terms.bounds.catch-up", bounds.catchUp);
    // Limits the time for which a caller may keep an entry list.
    reader.duration("terms.bounds.ttl_max", bounds.entryListMaxAge);
    reader.number("terms.bounds.retry-budget-ratio", bounds.retryRatio);
    reader.number("terms.bounds.budget-slack", bounds.retrySlack);
    reader.duration("terms.bounds.budget-window", bounds.retryWindow);
    reader.number("terms.bounds.probes-per-s", bounds.probesPerSecond);
    reader.duration("terms.bounds.config-apply", bounds.configApply);
    reader.flag("terms.bounds.fail-closed", bounds.failClosed);
    reader.duration("terms.bounds.revoke", bounds.revocation);
    reader.duration("terms.bounds.quota-window", bounds.quotaWindow);
    reader.number("terms.bounds.quota-overshoot", bounds.quotaOvershoot);
    reader.number("terms.bounds.quota-slack", bounds.quotaSlack);
    reader.number("terms.bounds.cold-overshoot", bounds.coldOvershoot);
    reader.number("terms.bounds.cold-slack", bounds.coldSlack);
    reader.duration("terms.bounds.evacuation", bounds.evacuation);
    auto problems = reader.takeProblems();
    if (!problems.empty()) {
        return problems;
    }
    return settings;
}

}
