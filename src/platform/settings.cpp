#include "platform/settings.h"

#include "core/config/address.h"
#include "core/text.h"

#include <cstdlib>
#include <map>

namespace Laburnummast::Platform
{
namespace
{

constexpr const char *pathVariable = "LABURNUMMAST_NODE_FILE";
constexpr const char *defaultPath = "/etc/laburnummast/settings.conf";

using Fields = std::map<std::string, std::string, std::less<>>;

Fields readFields(std::string_view text)
{
    Fields fields;
    while (!text.empty()) {
        const auto [line, rest] = Text::splitOnce(text, '\n');
        text = rest;
        const auto [key, value] = Text::splitOnce(Text::trim(line), '=');
        if (!key.empty() && key.front() != '#') {
            fields[std::string(Text::trim(key))] = std::string(Text::trim(value));
        }
    }
    return fields;
}

// Reads typed fields and remembers what is wrong with them.
class Reader
{
public:
    explicit Reader(std::string_view text)
        : m_fields(readFields(text))
    {
    }

    std::string text(std::string_view key, bool required = true)
    {
        const auto it = m_fields.find(key);
        if (it != m_fields.end() && !it->second.empty()) {
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

    std::vector<SettingProblem> takeProblems()
    {
        return std::move(m_problems);
    }

private:
    Fields m_fields;
    std::vector<SettingProblem> m_problems;
};

void readInternalPorts(Reader &reader, Entry::NodeSettings &settings)
{
    const auto range = reader.text("network.internal-port-range");
    const auto [first, last] = Text::splitOnce(range, ',');
    settings.firstInternalPort = static_cast<std::uint16_t>(Text::parseInteger(first).value_or(0));
    settings.lastInternalPort = static_cast<std::uint16_t>(Text::parseInteger(last).value_or(0));
}

}

std::string settingsPath()
{
    const char *path = std::getenv(pathVariable);
    return path ? path : defaultPath;
}

std::optional<Millis> parseDuration(std::string_view text)
{
    text = Text::trim(text);
    double scale = 1000;
    if (text.ends_with("ms")) {
        scale = 1;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        text.remove_suffix(1);
    } else {
        return std::nullopt;
    }
    const auto number = Text::parseNumber(text);
    return number && *number >= 0 ? std::optional(Millis{*number * scale}) : std::nullopt;
}

Result<Entry::NodeSettings, std::vector<SettingProblem>> parseSettings(std::string_view text)
{
    Reader reader(text);
    Entry::NodeSettings settings;
    settings.host = reader.text("self.node-name");
    settings.domain = reader.text("self.zone");
    settings.ip = reader.text("self.ip");
    reader.number("self.limits.cpu-share", settings.cpuShare);
    settings.front = reader.address("network.listen.front");
    settings.readiness = reader.address("network.listen.ready");
    settings.directory = reader.address("network.listen.directory", false);
    settings.control = reader.address("network.listen.control", false);
    readInternalPorts(reader, settings);
    const auto seeds = reader.text("network.seeds", false);
    for (const auto it : Text::split(seeds, ',')) {
        if (const auto seed = Config::parseAddress(it)) {
            settings.seeds.push_back(*seed);
        }
    }
    settings.store = reader.address("platform.platform.address");
    auto &bounds = settings.bounds;
    reader.duration("terms.bounds.drain", bounds.drainPeriod);
    reader.duration("terms.bounds.grace-period", bounds.gracePeriod);
    reader.duration("terms.bounds.ttl_max", bounds.entryListMaxAge);
    reader.number("terms.bounds.retry-budget-ratio", bounds.retryRatio);
    reader.number("terms.bounds.budget-slack", bounds.retrySlack);
    reader.duration("terms.bounds.budget-window", bounds.retryWindow);
    reader.number("terms.bounds.probes-per-s", bounds.probesPerSecond);
    auto problems = reader.takeProblems();
    if (!problems.empty()) {
        return problems;
    }
    return settings;
}

}
