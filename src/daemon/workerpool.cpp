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
        if (m_jobs.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
            m_threads.emplace_back([this] { runJobs(); });
        }
    }
    m_jobAvailable.notify_one();
}

void WorkerPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_jobs.clear();
    }
    m_jobAvailable.notify_all();
    for (auto &it : m_threads) {
        it.join();
    }
    m_threads.clear();
}

std::size_t WorkerPool::threadCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_threads.size();
}

std::size_t WorkerPool::queuedJobs() const
{
    const std::lock_guard lock(m_mutex);
    return m_jobs.size();
}

void WorkerPool::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_jobAvailable.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        --m_idleThreads;
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
