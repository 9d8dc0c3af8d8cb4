#include "daemon/logoutbox.h"

#include "process/wallclock.h"

namespace Laburnummast::Daemon
{
namespace
{

constexpr Millis appendTimeout = 3_s;
constexpr Millis firstBackoff = 200_ms;
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
    m_thread = std::thread([this] { work(); });
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

bool LogOutbox::offer(const std::string &stream, std::string record)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.contains(stream)) {
            return false;
        }
        m_waiting[stream] = std::move(record);
    }
    m_changed.notify_all();
    return true;
}

void LogOutbox::replace(const std::string &stream, std::string record)
{
    {
        const std::lock_guard lock(m_mutex);
        m_waiting[stream] = std::move(record);
    }
    m_changed.notify_all();
}

bool LogOutbox::holds(const std::string &stream) const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting.contains(stream);
}

bool LogOutbox::flush(Millis limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, Process::toChrono(limit), [this] { return m_waiting.empty(); });
}

LogOutboxCounters LogOutbox::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

std::size_t LogOutbox::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

void LogOutbox::work()
{
    std::unique_lock lock(m_mutex);
    Millis backoff = firstBackoff;
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
        if (m_stopping) {
            return;
        }
        const auto [stream, record] = *m_waiting.begin();
        lock.unlock();
        const auto result = m_log.append(stream, record, appendTimeout);
        lock.lock();
        if (std::holds_alternative<Net::Offset>(result)) {
            ++m_counters.appended;
            m_counters.bytes += record.size();
            backoff = firstBackoff;
            const auto it = m_waiting.find(stream);
            if (it != m_waiting.end() && it->second == record) {
                m_waiting.erase(it);
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
