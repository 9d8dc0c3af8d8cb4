#include "daemon/settings.h"

#include "core/config/address.h"
#include "core/config/sectionreader.h"
#include "core/text.h"

#include <algorithm>
#include <array>
#include <functional>

namespace Laburnummast::Daemon
{
namespace
{

using Config::IniSection;
using Config::Presence;
using Config::Range;
using Config::SectionReader;
using Config::SettingErrorKind;
using Config::SettingErrors;

constexpr Range threadCountRange{1, 4096};
constexpr Range tenMinuteRange{1, 600000};
constexpr Range byteCountRange{1024, 4LL << 30};

// Parses one settings file. Errors are collected, so that all are reported at once.
class SettingsReader
{
public:
    explicit SettingsReader(const Config::IniDocument &document)
        : m_document(document)
        , m_errors(document.errors)
    {
    }

    Result<Settings, SettingErrors> read()
    {
        readSection("daemon", [this](SectionReader &reader) { readDaemon(reader); });
        readSection("entry", [this](SectionReader &reader) { readEntry(reader); });
        readSection("admin", [this](SectionReader &reader) { readAdmin(reader); });
        readSection("peer", [this](SectionReader &reader) { readPeer(reader); });
        readSection("log", [this](SectionReader &reader) { readLog(reader); });
        readSection("hosts", [this](SectionReader &reader) { readHosts(reader); });
        readSection("operators", [this](SectionReader &reader) { readOperators(reader); });
        readSection("limits", [this](SectionReader &reader) { readLimits(reader); });
        readSection("routing", [this](SectionReader &reader) { readRouting(reader); });
        readSection("idempotency", [this](SectionReader &reader) { readIdempotency(reader); });
        readSection("usage", [this](SectionReader &reader) { readUsage(reader); });
        reportUnknownSections();
        if (!m_errors.empty()) {
            return m_errors;
        }
        return m_settings;
    }

private:
    // A missing section is read as an empty one, so that each of its required keys is reported.
    void readSection(std::string_view name, const std::function<void(SectionReader &)> &readKeys)
    {
        m_sectionNames.push_back(name);
        const auto hasName = [&](const IniSection &it) { return it.name == name; };
        const auto it = std::find_if(m_document.sections.begin(), m_document.sections.end(), hasName);
        m_section = it == m_document.sections.end() ? IniSection{.name = std::string(name), .line = 0, .entries = {}} : *it;
        SectionReader reader(m_section, m_document.source, m_errors);
        readKeys(reader);
        reader.rejectUnknownKeys();
    }

    void addError(std::string_view key, const std::string &value, std::string_view allowed)
    {
        const auto hasKey = [&](const Config::IniEntry &it) { return it.key == key; };
        const auto it = std::find_if(m_section.entries.begin(), m_section.entries.end(), hasKey);
        m_errors.push_back({.kind = SettingErrorKind::NotAllowed,
                            .source = m_document.source,
                            .line = it == m_section.entries.end() ? m_section.line : it->line,
                            .section = m_section.name,
                            .key = std::string(key),
                            .value = value,
                            .allowed = std::string(allowed)});
    }

    void readAddress(SectionReader &reader, std::string_view key, Membership::Address &value)
    {
        std::string text;
        reader.field(key, text, Presence::Required);
        if (text.empty()) {
            return;
        }
        if (const auto parsed = Config::parseAddress(text)) {
            value = *parsed;
        } else {
            addError(key, text, "IP:PORT");
        }
    }

    void readAddresses(SectionReader &reader, std::string_view key, std::vector<Membership::Address> &values)
    {
        std::vector<std::string> texts;
        reader.field(key, texts, Presence::Optional);
        for (const auto &it : texts) {
            if (const auto parsed = Config::parseAddress(it)) {
                values.push_back(*parsed);
            } else {
                addError(key, it, "IP:PORT, separated by commas");
            }
        }
    }

    void readDaemon(SectionReader &reader)
    {
        reader.field("host", m_settings.host, Presence::Required);
        reader.field("domain", m_settings.domain, Presence::Required);
    }

    void readEntry(SectionReader &reader)
    {
        readAddress(reader, "address", m_settings.entryAddress);
        reader.field("threads", m_settings.entryThreads, threadCountRange, Presence::Optional);
        reader.field("request_timeout_ms", m_settings.requestTimeout, Range{100, 600000}, Presence::Optional);
        reader.field("keep_alive_ms", m_settings.keepAliveTimeout, Range{100, 600000}, Presence::Optional);
        reader.field("ttl_ms", m_settings.entryTtl, Range{100, 60000}, Presence::Optional);
    }

    void readAdmin(SectionReader &reader)
    {
        readAddress(reader, "address", m_settings.adminAddress);
        reader.field("threads", m_settings.adminThreads, threadCountRange, Presence::Optional);
    }

    void readPeer(SectionReader &reader)
    {
        readAddress(reader, "address", m_settings.peerAddress);
        reader.field("key_file", m_settings.peerKeyFile, Presence::Required);
        readAddresses(reader, "seeds", m_settings.seeds);
    }

    void readLog(SectionReader &reader)
    {
        readAddress(reader, "address", m_settings.logAddress);
        reader.field("poll_ms", m_settings.logPollTimeout, Range{10, 60000}, Presence::Optional);
        reader.field("readers", m_settings.logReaderCount, Range{1, 64}, Presence::Optional);
        reader.field("snapshot_every", m_settings.recordsPerSnapshot, Range{1, 100000}, Presence::Optional);
    }

    void readHosts(SectionReader &reader)
    {
        readAddresses(reader, "addresses", m_settings.hostListAddresses);
        reader.field("every_ms", m_settings.hostListInterval, Range{100, 600000}, Presence::Optional);
    }

    void readOperators(SectionReader &reader)
    {
        reader.field("key_file", m_settings.operatorKeyFile, Presence::Required);
    }

    void readLimits(SectionReader &reader)
    {
        reader.field("buffered_bytes", m_settings.bufferedBytes, byteCountRange, Presence::Optional);
        reader.field("memory_bytes", m_settings.memoryBytes, byteCountRange, Presence::Optional);
        reader.field("attempt_threads", m_settings.attemptThreads, threadCountRange, Presence::Optional);
        reader.field("connection_daemons", m_settings.connectionDaemons, Range{1, 1024}, Presence::Optional);
        reader.field("warm_connections", m_settings.warmConnections, Range{0, 64}, Presence::Optional);
        reader.field("idle_connection_ms", m_settings.connectionIdleTimeout, tenMinuteRange, Presence::Optional);
        reader.field("drain_ms", m_settings.drainTimeout, tenMinuteRange, Presence::Optional);
    }

    void readRouting(SectionReader &reader)
    {
        reader.field("probes_per_second", m_settings.probesPerSecond, Range{0, 1000}, Presence::Optional);
        reader.field("probe_after_ms", m_settings.probeAfter, tenMinuteRange, Presence::Optional);
        reader.field("hedge_percent", m_settings.hedgePercent, Range{0, 50}, Presence::Optional);
    }

    void readIdempotency(SectionReader &reader)
    {
        reader.field("window_ms", m_settings.keyRepeatWindow, Range{1000, 86400000}, Presence::Optional);
        reader.field("max_keys", m_settings.maxKeys, Range{1, 10000000}, Presence::Optional);
        reader.field("max_bytes", m_settings.maxKeyBytes, byteCountRange, Presence::Optional);
    }

    void readUsage(SectionReader &reader)
    {
        reader.field("share_ms", m_settings.usageShareInterval, Range{100, 60000}, Presence::Optional);
        reader.field("log_ms", m_settings.usageLogInterval, Range{1000, 3600000}, Presence::Optional);
    }

    void reportUnknownSections()
    {
        for (const auto &it : m_document.sections) {
            if (std::find(m_sectionNames.begin(), m_sectionNames.end(), it.name) == m_sectionNames.end()) {
                m_errors.push_back({.kind = SettingErrorKind::UnknownSection,
                                    .source = m_document.source,
                                    .line = it.line,
                                    .section = it.name,
                                    .allowed = Text::join(m_sectionNames, ", ")});
            }
        }
    }

    const Config::IniDocument &m_document;
    SettingErrors m_errors;
    Settings m_settings;
    IniSection m_section;
    std::vector<std::string_view> m_sectionNames;
};

}

Result<Settings, SettingErrors> parseSettings(std::string_view text, std::string_view source)
{
    const auto document = Config::parseIni(text, source);
    return SettingsReader(document).read();
}

}
