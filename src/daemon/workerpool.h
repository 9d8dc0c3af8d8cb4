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

/// Threads for work that blocks, as talking to an upstream; started as needed, up to a bound.
class WorkerPool
{
public:
    using Job = std::function<void()>;

    explicit WorkerPool(std::size_t maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void post(Job job);
    /// Ends the threads; jobs that wait are dropped.
    void stop();

    std::size_t threadCount() const;
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
