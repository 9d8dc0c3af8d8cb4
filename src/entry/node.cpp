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

constexpr std::chrono::milliseconds drainStep(50);
// Part of the grace period that is left for the process to end by itself.
constexpr Millis endMargin = 700_ms;
// Callers that hold an older entry list still come in this long after a daemon left the lists.
constexpr Millis listsLast = 2500_ms;

}

Node::Node(const NodeSettings &settings)
    : m_settings(settings)
    , m_trafficWork(boost::asio::make_work_guard(m_trafficLoop))
    , m_controlWork(boost::asio::make_work_guard(m_controlLoop))
{
    m_traffic = std::make_unique<Traffic>(m_trafficLoop, settings, [this](Findings findings) {
        boost::asio::post(m_controlLoop, [this, findings = std::move(findings)] { m_control->addFindings(findings); });
    });
    m_control = std::make_unique<Control>(
        m_controlLoop,
        settings,
        ControlEvents{.onView =
                          [this](std::shared_ptr<const NodeView> view) {
                              boost::asio::post(m_trafficLoop, [this, view = std::move(view)] { m_traffic->setView(view); });
                          },
                      .onFindings =
                          [this](Findings findings) {
                              boost::asio::post(m_trafficLoop, [this, findings = std::move(findings)] { m_traffic->noteOthers(findings); });
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
auto Node::ask(boost::asio::io_context &loop, Task task)
{
    // Shared with the task: it may still be setting the value when the waiting thread goes on.
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
    const auto began = Process::steadyNow();
    boost::asio::post(m_controlLoop, [this] { m_control->drain(); });
    boost::asio::post(m_trafficLoop, [this] { m_traffic->drain(); });
    const auto last = m_settings.bounds.gracePeriod - endMargin;
    const auto open = std::min(listsLast, last * 0.5);
    bool accepting = true;
    while (true) {
        std::this_thread::sleep_for(drainStep);
        const auto spent = Process::steadyNow() - began;
        if (accepting && spent >= open) {
            accepting = false;
            boost::asio::post(m_trafficLoop, [this] { m_traffic->stopAccepting(); });
        }
        const bool idle = ask(m_trafficLoop, [this] { return m_traffic->idle(); });
        if (!accepting && idle) {
            return true;
        }
        if (spent >= last) {
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
        ask(m_controlLoop, [this] {
            m_control->stop();
            return true;
        });
        ask(m_trafficLoop, [this] {
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
    return ask(m_trafficLoop, [this] { return m_traffic->counters(); });
}

LatencyTotals Node::latencies()
{
    return ask(m_trafficLoop, [this] { return m_traffic->latencies(); });
}

ControlState Node::controlState()
{
    return ask(m_controlLoop, [this] { return m_control->state(); });
}

std::string Node::dump()
{
    return ask(m_trafficLoop, [this] { return m_traffic->dump(); });
}

}
