#include "entry/node.h"

#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace Laburnummast::Entry
{
namespace
{

constexpr std::chrono::milliseconds drainPollInterval(50);
// Time between the end of draining and SIGKILL, which the process needs to exit by itself.
constexpr Millis shutdownMargin = 700_ms;
// Longest time for which a daemon that left the entry lists still accepts connections: callers with an older list still connect.
constexpr Millis acceptTimeAfterLeaving = 2500_ms;

}

Node::Node(const NodeSettings &settings)
    : m_settings(settings)
    , m_trafficWorkGuard(boost::asio::make_work_guard(m_trafficLoop))
    , m_controlWorkGuard(boost::asio::make_work_guard(m_controlLoop))
{
    m_traffic = std::make_unique<Traffic>(m_trafficLoop, settings, [this](Observations observations) {
        boost::asio::post(m_controlLoop, [this, observations = std::move(observations)] { m_control->addObservations(observations); });
    });
    m_control = std::make_unique<Control>(
        m_controlLoop,
        settings,
        ControlEvents{.onViewChanged =
                          [this](std::shared_ptr<const NodeView> view) {
                              boost::asio::post(m_trafficLoop, [this, view = std::move(view)] { m_traffic->setView(view); });
                          },
                      .onPeerObservations =
                          [this](Observations observations) {
                              boost::asio::post(m_trafficLoop, [this, observations = std::move(observations)] {
                                  m_traffic->recordPeerObservations(observations);
                              });
                          }});
}

Node::~Node()
{
    stop();
}

std::optional<Address> Node::start()
{
    if (auto failure = m_traffic->start()) {
        return failure;
    }
    if (auto failure = m_control->start()) {
        return failure;
    }
    m_trafficThread = std::thread([this] { m_trafficLoop.run(); });
    m_controlThread = std::thread([this] { m_controlLoop.run(); });
    return std::nullopt;
}

template <class Task>
auto Node::runAndWait(boost::asio::io_context &loop, Task task)
{
    // The task shares ownership of the promise: set_value() may still be running when the waiting thread continues.
    const auto promise = std::make_shared<std::promise<decltype(task())>>();
    auto future = promise->get_future();
    boost::asio::post(loop, [promise, task = std::move(task)]() mutable { promise->set_value(task()); });
    return future.get();
}

void Node::reload(const NodeSettings &settings)
{
    boost::asio::post(m_trafficLoop, [this, bounds = settings.bounds] { m_traffic->setBounds(bounds); });
}

bool Node::drain()
{
    const auto startedAt = Process::steadyNow();
    boost::asio::post(m_controlLoop, [this] { m_control->drain(); });
    boost::asio::post(m_trafficLoop, [this] { m_traffic->drain(); });
    const auto drainTimeout = m_settings.bounds.gracePeriod - shutdownMargin;
    const auto acceptTime = std::min(acceptTimeAfterLeaving, drainTimeout * 0.5);
    bool accepting = true;
    while (true) {
        std::this_thread::sleep_for(drainPollInterval);
        const auto elapsed = Process::steadyNow() - startedAt;
        if (accepting && elapsed >= acceptTime) {
            accepting = false;
            boost::asio::post(m_trafficLoop, [this] { m_traffic->stopAccepting(); });
        }
        const bool idle = runAndWait(m_trafficLoop, [this] { return m_traffic->idle(); });
        if (!accepting && idle) {
            return true;
        }
        if (elapsed >= drainTimeout) {
            return idle;
        }
    }
}

void Node::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    if (m_trafficThread.joinable()) {
        runAndWait(m_controlLoop, [this] {
            m_control->stop();
            return true;
        });
        runAndWait(m_trafficLoop, [this] {
            m_traffic->stop();
            return true;
        });
        m_trafficLoop.stop();
        m_controlLoop.stop();
        m_trafficThread.join();
        m_controlThread.join();
    }
}

TrafficCounters Node::trafficCounters()
{
    return runAndWait(m_trafficLoop, [this] { return m_traffic->counters(); });
}

LatencyTotals Node::latencies()
{
    return runAndWait(m_trafficLoop, [this] { return m_traffic->latencies(); });
}

ControlState Node::controlState()
{
    return runAndWait(m_controlLoop, [this] { return m_control->state(); });
}

std::string Node::stateDump()
{
    return runAndWait(m_trafficLoop, [this] { return m_traffic->stateDump(); });
}

}
