#ifndef LABURNUMMAST_CORE_ADMISSION_FLOWCLOCK_H
#define LABURNUMMAST_CORE_ADMISSION_FLOWCLOCK_H

#include <cstdint>
#include <unordered_map>

namespace Laburnummast::Admission
{

/// Stands for one partner of one owner.
using FlowId = std::uint32_t;

/// How much service each flow has had in proportion to its weight, over all priorities (start-time fair queueing).
class FlowClock
{
public:
    /// The flow has calls waiting where it had none: what it did not use while idle is not saved up.
    void activate(FlowId flow);
    /// One call of the flow is served.
    void charge(FlowId flow, double weight);
    /// Service the flow has had; flows with less go first.
    double normalizedService(FlowId flow) const;

private:
    std::unordered_map<FlowId, double> m_normalizedService;
    double m_virtualTime = 0;
};

}

#endif
