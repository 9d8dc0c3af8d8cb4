#ifndef LABURNUMMAST_DAEMON_CONFIGREPLICA_H
#define LABURNUMMAST_DAEMON_CONFIGREPLICA_H

#include "core/config/configstate.h"
#include "core/membership/member.h"
#include "net/logclient.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

class RuntimeConfig;

enum class PublishErrorKind : std::uint8_t {
    /// The log did not take the note, as far as is known.
    LogUnreachable,
    /// The note is in the log, but its verdict did not come in time.
    NoVerdictYet,
};

struct PublishError
{
    PublishErrorKind kind = PublishErrorKind::LogUnreachable;
};

/// Counts since the start.
struct ConfigCounters
{
    std::atomic<std::uint64_t> accepted = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> repeated = 0;
    std::atomic<std::uint64_t> unreadable = 0;
    std::atomic<std::uint64_t> snapshotsRefused = 0;
};

/// The configuration of this process, for all its threads: records and snapshots in, views and verdicts out.
class ConfigReplica
{
public:
    /// Applies the records above the present offset; whether there were any.
    bool apply(const std::vector<Net::LogRecord> &records);
    /// Takes a snapshot over if it lies above the present offset.
    bool applySnapshot(const std::string &bytes);
    /// Lets those that wait for a verdict look again, once traffic has the configuration.
    void notifyWaiters();

    Membership::ConfigPosition position() const;
    std::string snapshot() const;
    /// The records after `have`, if all of them are still kept.
    std::optional<std::vector<Net::LogRecord>> recordsSince(Config::Offset have) const;
    std::shared_ptr<const RuntimeConfig> runtimeConfig() const;
    std::optional<Config::NoteOutcome> outcomeOf(std::string_view noteId) const;
    std::vector<Config::Rejection> check(const Config::Note &note) const;
    std::vector<Config::NoteOutcome> outcomes() const;

    /// Appends a note to the log and waits for its verdict; blocks for some seconds at most.
    Result<Config::NoteOutcome, PublishError> publish(const Net::LogClient &log, const std::string &text, const std::string &id);

    const ConfigCounters &counters() const
    {
        return m_counters;
    }

private:
    void addRecent(const Net::LogRecord &record);
    void recordVerdict(const Config::Verdict &verdict, Config::Offset offset);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Config::ConfigState m_state;
    /// The last records, for peers that are a little behind.
    std::deque<Net::LogRecord> m_recentRecords;
    std::size_t m_recentBytes = 0;
    /// Every record after this offset is among them.
    Config::Offset m_recentAfter = Config::noOffset;
    ConfigCounters m_counters;
};

}

#endif
