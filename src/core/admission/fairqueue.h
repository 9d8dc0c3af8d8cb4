#ifndef LABURNUMMAST_CORE_ADMISSION_FAIRQUEUE_H
#define LABURNUMMAST_CORE_ADMISSION_FAIRQUEUE_H

#include "core/admission/flowclock.h"
#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Laburnummast::Admission
{

/// Identifies a call within one dispatcher.
using CallId = std::uint64_t;

/// A call that waits to be dispatched.
struct QueuedCall
{
    CallId id = 0;
    Millis queuedAt;
    /// From then on there is not enough time left to run the call.
    Millis expiresAt;
};

/// Order in which the calls of a flow are served.
enum class ServeOrder : std::uint8_t {
    OldestFirst,
    NewestFirst,
};

/// Queue for the calls of one priority that serves the flow with the least service per weight first.
class FairQueue
{
public:
    /// `clock` may be shared between queues and must outlive them.
    explicit FairQueue(FlowClock &clock);

    /// Appends a call to its flow and sets the weight of the flow.
    void push(FlowId flow, double weight, const QueuedCall &call);
    /// Puts a call back so that it is the next one served in its flow under `order`.
    void requeue(FlowId flow, double weight, const QueuedCall &call, ServeOrder order);
    /// Takes the next call of the flow with the least service per weight; empty if no call waits.
    std::optional<QueuedCall> pop(ServeOrder order);
    /// The flow that `pop` would serve; empty if no call waits.
    std::optional<FlowId> nextFlow() const;
    /// Removes the oldest call of the flow with the most queued calls per weight; empty if no call waits.
    std::optional<QueuedCall> dropFromLongest();
    /// Moves every expired call to `expired`.
    void removeExpired(Millis now, std::vector<QueuedCall> &expired);
    /// Removes a call; returns false if it is not queued.
    bool remove(CallId call);

    std::size_t size() const
    {
        return m_size;
    }
    bool empty() const
    {
        return m_size == 0;
    }
    /// Number of queued calls of a flow.
    std::size_t size(FlowId flow) const;
    /// Share of this queue's service that `flow` would get in competition with the flows now waiting.
    double shareOf(FlowId flow, double weight) const;
    /// Earliest `queuedAt` among the calls at the front of their flows; empty if no call waits.
    std::optional<Millis> oldestArrival() const;

private:
    struct Flow
    {
        double weight = 1;
        std::deque<QueuedCall> calls;
    };

    Flow &activate(FlowId flow, double weight);

    FlowClock &m_clock;
    std::map<FlowId, Flow> m_flows;
    std::size_t m_size = 0;
};

}

#endif
