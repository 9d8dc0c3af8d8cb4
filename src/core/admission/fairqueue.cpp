#include "core/admission/fairqueue.h"

#include <algorithm>

namespace Laburnummast::Admission
{

FairQueue::FairQueue(FlowClock &clock)
    : m_clock(clock)
{
}

FairQueue::Flow &FairQueue::activate(FlowId flow, double weight)
{
    auto &it = m_flows[flow];
    it.weight = weight;
    if (it.calls.empty()) {
        m_clock.activate(flow);
    }
    return it;
}

void FairQueue::push(FlowId flow, double weight, const QueuedCall &call)
{
    activate(flow, weight).calls.push_back(call);
    ++m_size;
}

void FairQueue::requeue(FlowId flow, double weight, const QueuedCall &call, ServeOrder order)
{
    auto &calls = activate(flow, weight).calls;
    if (order == ServeOrder::OldestFirst) {
        calls.push_front(call);
    } else {
        calls.push_back(call);
    }
    ++m_size;
}

std::optional<FlowId> FairQueue::nextFlow() const
{
    std::optional<FlowId> next;
    for (const auto &[id, flow] : m_flows) {
        if (!flow.calls.empty() && (!next || m_clock.normalizedService(id) < m_clock.normalizedService(*next))) {
            next = id;
        }
    }
    return next;
}

std::optional<QueuedCall> FairQueue::pop(ServeOrder order)
{
    const auto next = nextFlow();
    if (!next) {
        return std::nullopt;
    }
    auto &flow = m_flows[*next];
    m_clock.charge(*next, flow.weight);
    --m_size;
    auto &calls = flow.calls;
    if (order == ServeOrder::OldestFirst) {
        const auto call = calls.front();
        calls.pop_front();
        return call;
    }
    const auto call = calls.back();
    calls.pop_back();
    return call;
}

std::optional<QueuedCall> FairQueue::dropFromLongest()
{
    Flow *longest = nullptr;
    const auto weightedLength = [](const Flow &flow) { return static_cast<double>(flow.calls.size()) / flow.weight; };
    for (auto &[id, flow] : m_flows) {
        if (!flow.calls.empty() && (longest == nullptr || weightedLength(flow) > weightedLength(*longest))) {
            longest = &flow;
        }
    }
    if (longest == nullptr) {
        return std::nullopt;
    }
    const auto call = longest->calls.front();
    longest->calls.pop_front();
    --m_size;
    return call;
}

void FairQueue::removeExpired(Millis now, std::vector<QueuedCall> &expired)
{
    for (auto &[id, flow] : m_flows) {
        const auto isLive = [&](const QueuedCall &call) { return call.expiresAt > now; };
        const auto firstExpired = std::stable_partition(flow.calls.begin(), flow.calls.end(), isLive);
        expired.insert(expired.end(), firstExpired, flow.calls.end());
        m_size -= static_cast<std::size_t>(flow.calls.end() - firstExpired);
        flow.calls.erase(firstExpired, flow.calls.end());
    }
}

bool FairQueue::remove(CallId call)
{
    for (auto &[id, flow] : m_flows) {
        const auto hasId = [&](const QueuedCall &it) { return it.id == call; };
        const auto it = std::find_if(flow.calls.begin(), flow.calls.end(), hasId);
        if (it != flow.calls.end()) {
            flow.calls.erase(it);
            --m_size;
            return true;
        }
    }
    return false;
}

std::size_t FairQueue::size(FlowId flow) const
{
    const auto it = m_flows.find(flow);
    return it == m_flows.end() ? 0 : it->second.calls.size();
}

double FairQueue::shareOf(FlowId flow, double weight) const
{
    double total = weight;
    for (const auto &[id, it] : m_flows) {
        if (id != flow && !it.calls.empty()) {
            total += it.weight;
        }
    }
    return weight / total;
}

std::optional<Millis> FairQueue::oldestArrival() const
{
    std::optional<Millis> oldestArrival;
    for (const auto &[id, flow] : m_flows) {
        if (!flow.calls.empty() && (!oldestArrival || flow.calls.front().queuedAt < *oldestArrival)) {
            oldestArrival = flow.calls.front().queuedAt;
        }
    }
    return oldestArrival;
}

}
