#ifndef LABURNUMMAST_DAEMON_LOGTAIL_H
#define LABURNUMMAST_DAEMON_LOGTAIL_H

#include "core/config/configstate.h"
#include "net/logclient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Laburnummast::Daemon
{

/// Reads the note stream of the log on its own thread while this member is one of the log's readers.
class LogTail
{
public:
    /// Callbacks to the configuration; all are called on the tail's thread.
    struct Handlers
    {
        /// Returns the offset of the last record applied.
        std::function<Config::Offset()> position;
        /// Applies records and returns once they are in force here.
        std::function<void(std::vector<Net::LogRecord>)> applyRecords;
        /// Applies a snapshot; returns false if it is invalid or not newer than the current state.
        std::function<bool(const std::string &)> applySnapshot;
        /// Called while the log is in a later era than the position, `waited` after the first such read; `firstRetained` is its oldest
        /// record. Moves the position into that era, unless another member is to do so.
        std::function<void(Config::Offset firstRetained, Millis waited)> enterEra;
    };

    /// `pollTimeout` is how long one read waits for new records.
    LogTail(Net::LogClient log, Millis pollTimeout, Handlers handlers);
    ~LogTail();
    LogTail(const LogTail &) = delete;
    LogTail &operator=(const LogTail &) = delete;

    void start();
    void stop();
    /// Turns reading the log on or off; it is off at first.
    void setReading(bool reading)
    {
        m_reading = reading;
    }

    /// Whether reading is turned on.
    bool reading() const
    {
        return m_reading;
    }
    /// Whether the last request to the log succeeded; true before the first.
    bool reachable() const
    {
        return m_reachable;
    }
    /// Number of reads of the note stream.
    std::uint64_t reads() const
    {
        return m_reads;
    }
    /// Number of times that reading notes or snapshots failed, that a gap remained after reading the snapshots, or that the log ended
    /// before the position.
    std::uint64_t failures() const
    {
        return m_failures;
    }
    /// Whether the log has discarded the next record and no snapshot covers it.
    bool behindRetention() const
    {
        return m_behindRetention;
    }

private:
    void run();
    /// Reads and applies the next records; returns false if the log cannot be read, a gap remains or the log ends before the position.
    bool readOnce();
    /// Handles a read that found the log in another era than the position; returns false if that is an earlier one.
    bool changeEra(const Net::LogPage &page, Config::Offset from);
    /// Applies the newest valid snapshot, if there is one; returns false only if the log cannot be read.
    bool loadSnapshot();
    void recordReachability(bool reachable);
    /// Sleeps for `duration`, or until the tail is stopped.
    void sleepUnlessStopped(Millis duration);

    Net::LogClient m_log;
    Millis m_pollTimeout;
    Handlers m_handlers;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_reading = false;
    std::atomic<bool> m_reachable = true;
    std::atomic<bool> m_behindRetention = false;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_failures = 0;
    /// Whether the latest snapshots have been read at least once.
    bool m_snapshotsRead = false;
    /// Whether the log ended before the position at the last read, in the same era.
    bool m_aheadOfLog = false;
    /// Time of the first read that found the log in a later era than the position.
    std::optional<Millis> m_laterEraSeenAt;
    std::thread m_thread;
};

}

#endif
