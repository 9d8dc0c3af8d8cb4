#include "daemon/workerpool.h"

namespace Laburnummast::Daemon
{

WorkerPool::WorkerPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::post(Job job)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_jobs.push_back(std::move(job));
        if (m_jobs.size() > m_idle && m_threads.size() < m_maxThreads) {
            m_threads.emplace_back([this] { work(); });
        }
    }
    m_wake.notify_one();
}

void WorkerPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_jobs.clear();
    }
    m_wake.notify_all();
    for (auto &it : m_threads) {
        it.join();
    }
    m_threads.clear();
}

std::size_t WorkerPool::threads() const
{
    const std::lock_guard lock(m_mutex);
    return m_threads.size();
}

std::size_t WorkerPool::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_jobs.size();
}

void WorkerPool::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        --m_idle;
        if (m_stopping) {
            return;
        }
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

}
