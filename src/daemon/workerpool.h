#ifndef LABURNUMMAST_DAEMON_WORKERPOOL_H
#define LABURNUMMAST_DAEMON_WORKERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Laburnummast::Daemon
{

/// Thread pool for jobs that block, such as exchanges with an upstream. Threads are started on demand, up to a maximum.
class WorkerPool
{
public:
    using Job = std::function<void()>;

    /// `maxThreads` is the most threads that run jobs at the same time.
    explicit WorkerPool(std::size_t maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues a job; does nothing once the pool has been stopped.
    void post(Job job);
    /// Drops the queued jobs and waits until the running ones have ended.
    void stop();

    /// Number of threads started so far.
    std::size_t threadCount() const;
    /// Number of jobs that no thread has taken yet.
    std::size_t queuedJobs() const;

private:
    void runJobs();

    std::size_t m_maxThreads;
    mutable std::mutex m_mutex;
    std::condition_variable m_jobAvailable;
    std::deque<Job> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_stopping = false;
};

}

#endif
