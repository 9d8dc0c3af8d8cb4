#ifndef LABURNUMMAST_ENTRY_NODE_H
#define LABURNUMMAST_ENTRY_NODE_H

#include "entry/control.h"
#include "entry/nodesettings.h"
#include "entry/traffic.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace Laburnummast::Entry
{

/// One daemon: a control thread and a traffic thread, each with an event loop.
///
/// drain(), endCalls() and the functions that return counters or state wait for a thread and may only be called between start() and stop().
class Node
{
public:
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Opens all listeners and starts the threads. Returns the address that cannot be bound; nothing on success.
    std::optional<Address> start();
    /// Applies new bounds for retries, probes and entry lists; other settings and the grace period keep their values until a restart.
    void reload(const NodeSettings &settings);
    /// Leaves the entry lists and waits until all calls are answered and all callers are disconnected, at most until shortly before the
    /// end of the grace period. Calls that could not be answered by then are refused.
    ///
    /// Returns the number of calls that are not answered yet.
    std::size_t drain();
    /// After drain(): answers the calls that are left and waits until the callers have got the answers.
    void endCalls();
    /// Closes all connections and ends the threads.
    void stop();

    TrafficCounters trafficCounters();
    LatencyTotals latencies();
    ControlState controlState();
    /// Lines of the state dump that concern calls, services and upstreams.
    std::string stateDump();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    /// Runs `task` on the thread of `loop` and waits for its result.
    template <class Task>
    auto runAndWait(boost::asio::io_context &loop, Task task);

    /// Waits until no caller is connected, at most until `elapsed`, counted from the start of the drain.
    void waitUntilFinished(Millis elapsed);

    NodeSettings m_settings;
    Millis m_drainStartedAt{};
    boost::asio::io_context m_trafficLoop{1};
    boost::asio::io_context m_controlLoop{1};
    WorkGuard m_trafficWorkGuard;
    WorkGuard m_controlWorkGuard;
    std::unique_ptr<Traffic> m_traffic;
    std::unique_ptr<Control> m_control;
    std::thread m_trafficThread;
    std::thread m_controlThread;
    bool m_stopped = false;
};

}

#endif
