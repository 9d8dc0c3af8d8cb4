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

/// One daemon on the platform: a thread for control and one for traffic, each with an event loop.
class Node
{
public:
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Returns the address that could not be had, if any.
    std::optional<Address> start();
    /// Follows changed bounds; addresses stay as they are.
    void reload(const NodeSettings &settings);
    /// Leaves the entry lists and waits for the calls in flight. Returns whether all of them ended.
    bool drain();
    void stop();

    TrafficCounters trafficCounters();
    LatencyTotals latencies();
    ControlState controlState();
    std::string stateDump();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    /// Runs `task` on a loop's thread and waits for its value.
    template <class Task>
    auto runAndWait(boost::asio::io_context &loop, Task task);

    NodeSettings m_settings;
    boost::asio::io_context m_trafficLoop{1};
    boost::asio::io_context m_controlLoop{1};
    WorkGuard m_trafficWork;
    WorkGuard m_controlWork;
    std::unique_ptr<Traffic> m_traffic;
    std::unique_ptr<Control> m_control;
    std::thread m_trafficThread;
    std::thread m_controlThread;
    bool m_stopped = false;
};

}

#endif
