#ifndef LABURNUMMAST_DAEMON_LOGTAIL_H
#define LABURNUMMAST_DAEMON_LOGTAIL_H

#include "core/config/configstate.h"
#include "net/logclient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Laburnummast::Daemon
{

/// Follows the notes in the log while this member is one of its readers.
class LogTail
{
public:
    struct Handlers
    {
        /// Offset up to which records are applied; called from the tail's thread.
        std::function<Config::Offset()> position;
        /// Applies records and returns when they are in force here.
        std::function<void(std::vector<Net::LogRecord>)> applyRecords;
        /// Takes over a snapshot; false if it is no use.
        std::function<bool(const std::string &)> applySnapshot;
    };

    LogTail(Net::LogClient log, Millis pollTimeout, Handlers handlers);
    ~LogTail();
    LogTail(const LogTail &) = delete;
    LogTail &operator=(const LogTail &) = delete;

    void start();
    void stop();
    void setReading(bool reading)
    {
        m_reading = reading;
    }

    bool reading() const
    {
        return m_reading;
    }
    bool reachable() const
    {
        return m_reachable;
    }
    std::uint64_t reads() const
    {
        return m_reads;
    }
    std::uint64_t failures() const
    {
        return m_failures;
    }
    /// The log no longer keeps what comes next, and no snapshot covers it.
    bool behindRetention() const
    {
        return m_behindRetention;
    }

private:
    void run();
    bool readOnce();
    bool loadSnapshot();
    void recordReachability(bool reachable);
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
    bool m_snapshotLoaded = false;
    std::thread m_thread;
};

}

#endif
