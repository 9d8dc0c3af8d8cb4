#ifndef LABURNUMMAST_DAEMON_LOGOUTBOX_H
#define LABURNUMMAST_DAEMON_LOGOUTBOX_H

#include "net/logclient.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Laburnummast::Daemon
{

/// Counters of appends to the log since the start.
struct LogOutboxCounters
{
    std::uint64_t appended = 0;
    /// Appends that failed and were repeated after a backoff.
    std::uint64_t retried = 0;
    /// Bytes of the records appended.
    std::uint64_t bytes = 0;
};

/// Appends this process's records to the log on its own thread and retries until an append succeeds.
///
/// At most one record per stream is pending. An outage of the log delays records but loses none while the process runs.
class LogOutbox
{
public:
    explicit LogOutbox(Net::LogClient log);
    ~LogOutbox();
    LogOutbox(const LogOutbox &) = delete;
    LogOutbox &operator=(const LogOutbox &) = delete;

    void start();
    /// Stops the thread; pending records are dropped.
    void stop();

    /// Queues a record unless another one of its stream is pending; returns whether it was queued.
    bool tryEnqueue(const std::string &stream, std::string record);
    /// Queues a record in place of the pending one of its stream, if any.
    void enqueueOrReplace(const std::string &stream, std::string record);
    /// Whether a record of the stream is pending.
    bool hasPending(const std::string &stream) const;
    /// Waits until no record is pending; returns false if `timeout` expired first.
    bool flush(Millis timeout);

    LogOutboxCounters counters() const;
    /// Number of pending records.
    std::size_t pendingCount() const;

private:
    void run();

    Net::LogClient m_log;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::string> m_pending;
    LogOutboxCounters m_counters;
    bool m_stopping = false;
    std::thread m_thread;
};

}

#endif
