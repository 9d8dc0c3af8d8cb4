#include "daemon/logoutbox.h"

#include "process/wallclock.h"

namespace Laburnummast::Daemon
{
namespace
{

constexpr Millis appendTimeout = 3_s;
constexpr Millis initialBackoff = 200_ms;
constexpr Millis maxBackoff = 5_s;

}

LogOutbox::LogOutbox(Net::LogClient log)
    : m_log(std::move(log))
{
}

LogOutbox::~LogOutbox()
{
    stop();
}

void LogOutbox::start()
{
    m_thread = std::thread([this] { run(); });
}

void LogOutbox::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool LogOutbox::tryEnqueue(const std::string &stream, std::string record)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending.contains(stream)) {
            return false;
        }
        m_pending[stream] = std::move(record);
    }
    m_changed.notify_all();
    return true;
}

void LogOutbox::enqueueOrReplace(const std::string &stream, std::string record)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pending[stream] = std::move(record);
    }
    m_changed.notify_all();
}

bool LogOutbox::hasPending(const std::string &stream) const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.contains(stream);
}

bool LogOutbox::flush(Millis timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, Process::toChrono(timeout), [this] { return m_pending.empty(); });
}

LogOutboxCounters LogOutbox::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

std::size_t LogOutbox::pendingCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}

void LogOutbox::run()
{
    std::unique_lock lock(m_mutex);
    Millis backoff = initialBackoff;
    std::string lastStream;
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_pending.empty(); });
        if (m_stopping) {
            return;
        }
        // Streams take turns, so that one whose record is refused does not delay the others.
        const auto following = m_pending.upper_bound(lastStream);
        const auto [stream, record] = following == m_pending.end() ? *m_pending.begin() : *following;
        lastStream = stream;
        lock.unlock();
        const auto result = m_log.append(stream, record, appendTimeout);
        lock.lock();
        if (std::holds_alternative<Net::Offset>(result)) {
            ++m_counters.appended;
            m_counters.bytes += record.size();
            backoff = initialBackoff;
            // enqueueOrReplace() may have queued another record meanwhile; that one stays pending.
            const auto it = m_pending.find(stream);
            if (it != m_pending.end() && it->second == record) {
                m_pending.erase(it);
            }
            m_changed.notify_all();
            continue;
        }
        ++m_counters.retried;
        m_changed.wait_for(lock, Process::toChrono(backoff), [this] { return m_stopping; });
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

}
