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

/// Why the verdict on a published note is not known.
enum class PublishErrorKind : std::uint8_t {
    /// No append was confirmed and the note was not found in the log; if a response was lost, it may still be there.
    LogUnreachable,
    /// The note is in the log, but was not applied here in time.
    NoVerdictYet,
};

/// Error of ConfigReplica::publish.
struct PublishError
{
    PublishErrorKind kind = PublishErrorKind::LogUnreachable;
};

/// Counts of records by verdict, and of refused snapshots, since the start.
struct ConfigCounters
{
    std::atomic<std::uint64_t> accepted = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> repeated = 0;
    std::atomic<std::uint64_t> unreadable = 0;
    std::atomic<std::uint64_t> snapshotsRefused = 0;
};

/// Thread-safe replica of the configuration, built from the records and snapshots of the log.
class ConfigReplica
{
public:
    /// Applies the records after the current offset; returns whether there were any.
    bool apply(const std::vector<Net::LogRecord> &records);
    /// Replaces the state by the snapshot's; returns false if it is invalid or not newer than the current state.
    ///
    /// A snapshot of a later era is also refused while it lacks a note accepted here whose record is still buffered.
    bool applySnapshot(const std::string &bytes);
    /// Continues in a later era of the log, whose oldest retained record is at `firstRetained`; what is in force stays.
    void enterEra(Config::Offset firstRetained);
    /// Records of notes accepted here that were missing in the last snapshot of a later era; cleared by the call.
    std::vector<std::string> takeLostRecords();
    /// Wakes waiting publish() calls; to be called once traffic uses the new configuration.
    void notifyWaiters();

    /// Offset and hash of the current state.
    Membership::ConfigPosition position() const;
    /// The current state in serialized form.
    std::string snapshot() const;
    /// The records after `knownOffset`; nothing if some of them are no longer buffered here.
    std::optional<std::vector<Net::LogRecord>> recordsSince(Config::Offset knownOffset) const;
    /// Builds the view of the current state that traffic uses.
    std::shared_ptr<const RuntimeConfig> runtimeConfig() const;
    /// Outcome of the note with this id; nothing if none is stored.
    std::optional<Config::NoteOutcome> outcomeOf(std::string_view noteId) const;
    /// Reasons to reject a note in the current state; empty if there are none.
    std::vector<Config::Rejection> check(const Config::Note &note) const;
    /// Outcomes of the latest notes, oldest first.
    std::vector<Config::NoteOutcome> outcomes() const;

    /// Appends the note in `text`, whose id is `id`, to the log and waits for its verdict.
    ///
    /// Blocks: retries a failed append for up to 10 s, then waits up to 5 s for the verdict.
    Result<Config::NoteOutcome, PublishError> publish(const Net::LogClient &log, const std::string &text, const std::string &id);

    const ConfigCounters &counters() const
    {
        return m_counters;
    }

private:
    void addRecent(const Net::LogRecord &record);
    /// Records of the notes with these ids that are buffered here; the caller must hold m_mutex.
    std::vector<std::string> bufferedRecordsOf(const std::vector<std::string> &noteIds) const;
    void recordVerdict(const Config::Verdict &verdict, Config::Offset offset);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Config::ConfigState m_state;
    /// The latest records, for peers that lack only a few.
    std::deque<Net::LogRecord> m_recentRecords;
    /// Size of the data of m_recentRecords.
    std::size_t m_recentBytes = 0;
    /// Every record after this offset is in m_recentRecords.
    Config::Offset m_recentAfter = Config::noOffset;
    std::vector<std::string> m_lostRecords;
    ConfigCounters m_counters;
};

}

#endif
