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

struct LogOutboxCounters
{
    std::uint64_t appended = 0;
    std::uint64_t retried = 0;
    std::uint64_t bytes = 0;
};

/// Appends this process's own records to the log; an outage delays them and loses none.
class LogOutbox
{
public:
    explicit LogOutbox(Net::LogClient log);
    ~LogOutbox();
    LogOutbox(const LogOutbox &) = delete;
    LogOutbox &operator=(const LogOutbox &) = delete;

    void start();
    void stop();

    /// Queues a record if none of its stream waits; false otherwise.
    bool tryEnqueue(const std::string &stream, std::string record);
    /// Queues a record in place of one of its stream that waits.
    void enqueueOrReplace(const std::string &stream, std::string record);
    bool hasPending(const std::string &stream) const;
    /// Waits until nothing is queued; false if that took longer than `limit`.
    bool flush(Millis timeout);

    LogOutboxCounters counters() const;
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
