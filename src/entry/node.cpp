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

constexpr std::chrono::milliseconds drainPollInterval(20);
// Share of the grace period after which the calls that are left are answered, and the longest time between that and SIGKILL. The
// process needs that time to deliver these answers and to exit by itself.
constexpr double drainShare = 0.85;
constexpr Millis maxShutdownTime = 900_ms;
// Time between the end of the last calls and that point, for their answers.
constexpr Millis lastAnswersTime = 100_ms;
// Share of the grace period after which only calls whose deadline leaves enough time are accepted.
constexpr double unrestrictedShare = 0.5;
// Longest time for which a daemon that left the entry lists still accepts connections: callers with an older list still connect.
constexpr Millis acceptTimeAfterLeaving = 2500_ms;

Millis drainTimeoutOf(Millis gracePeriod)
{
    return std::max(gracePeriod * drainShare, gracePeriod - maxShutdownTime);
}

}

Node::Node(const NodeSettings &settings)
    : m_settings(settings)
    , m_trafficWorkGuard(boost::asio::make_work_guard(m_trafficLoop))
    , m_controlWorkGuard(boost::asio::make_work_guard(m_controlLoop))
{
    m_traffic = std::make_unique<Traffic>(
        m_trafficLoop,
        settings,
        [this](Observations observations) {
            boost::asio::post(m_controlLoop, [this, observations = std::move(observations)] { m_control->addObservations(observations); });
        },
        [this](const Limits::AllowanceRequest &request) {
            boost::asio::post(m_controlLoop, [this, request] { m_control->requestAllowance(request); });
        });
    m_control = std::make_unique<Control>(
        m_controlLoop,
        settings,
        ControlEvents{
            .onViewChanged =
                [this](std::shared_ptr<const NodeView> view) {
                    boost::asio::post(m_trafficLoop, [this, view = std::move(view)] { m_traffic->setView(view); });
                },
            .onProof = [this](Millis provenAt) { boost::asio::post(m_trafficLoop, [this, provenAt] { m_traffic->setProof(provenAt); }); },
            .onPeerObservations =
                [this](Observations observations) {
                    boost::asio::post(m_trafficLoop,
                                      [this, observations = std::move(observations)] { m_traffic->recordPeerObservations(observations); });
                },
            .onAllowanceAnswer =
                [this](const Limits::AllowanceAnswer &answer) {
                    boost::asio::post(m_trafficLoop, [this, answer] { m_traffic->receiveAllowance(answer); });
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

std::size_t Node::drain()
{
    m_drainStartedAt = Process::steadyNow();
    const auto gracePeriod = m_settings.bounds.gracePeriod;
    const auto drainTimeout = drainTimeoutOf(gracePeriod);
    const Placement::DrainWindow window{.lateFrom = m_drainStartedAt + gracePeriod * unrestrictedShare,
                                        .end = m_drainStartedAt + drainTimeout - lastAnswersTime};
    boost::asio::post(m_controlLoop, [this] { m_control->drain(); });
    boost::asio::post(m_trafficLoop, [this, window] { m_traffic->drain(window); });
    std::this_thread::sleep_for(Process::toChrono(std::min(acceptTimeAfterLeaving, drainTimeout * 0.5)));
    runAndWait(m_trafficLoop, [this] {
        m_traffic->stopAccepting();
        return true;
    });
    waitUntilFinished(drainTimeout);
    return runAndWait(m_trafficLoop, [this] { return m_traffic->unansweredRequests(); });
}

void Node::endCalls()
{
    runAndWait(m_trafficLoop, [this] {
        m_traffic->endCalls();
        return true;
    });
    waitUntilFinished(m_settings.bounds.gracePeriod);
}

void Node::waitUntilFinished(Millis elapsed)
{
    while (Process::steadyNow() - m_drainStartedAt < elapsed && !runAndWait(m_trafficLoop, [this] { return m_traffic->finished(); })) {
        std::this_thread::sleep_for(drainPollInterval);
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
