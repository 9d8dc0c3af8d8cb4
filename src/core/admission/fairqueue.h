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

using CallId = std::uint64_t;
/// A call that waits at the entry.
struct QueuedCall
{
    CallId id = 0;
    Millis queuedAt;
    /// From here on there is no time left to run it.
    Millis expiresAt;
};

/// Which call of a flow goes first.
enum class ServeOrder : std::uint8_t {
    OldestFirst,
    NewestFirst,
};

/// Calls of one priority; the flow goes first that has had the least service in proportion to its weight.
class FairQueue
{
public:
    explicit FairQueue(FlowClock &clock);

    void push(FlowId flow, double weight, const QueuedCall &call);
    /// Puts a call back where it is served first within its flow.
    void requeue(FlowId flow, double weight, const QueuedCall &call, ServeOrder order);
    /// Takes the next call of the flow that is most behind its share.
    std::optional<QueuedCall> pop(ServeOrder order);
    /// The flow that `pop` would serve.
    std::optional<FlowId> nextFlow() const;
    /// Takes the oldest call of the flow that waits for the most in proportion to its weight.
    std::optional<QueuedCall> dropFromLongest();
    /// Takes every call that has expired.
    void removeExpired(Millis now, std::vector<QueuedCall> &expired);
    bool remove(CallId call);

    std::size_t size() const
    {
        return m_size;
    }
    bool empty() const
    {
        return m_size == 0;
    }
    std::size_t size(FlowId flow) const;
    /// Share of this queue's service that `flow` has while the present flows wait.
    double shareOf(FlowId flow, double weight) const;
    /// When the call that has waited longest came; nothing if none waits.
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
