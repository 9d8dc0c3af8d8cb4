#ifndef LABURNUMMAST_CORE_ADMISSION_FLOWCLOCK_H
#define LABURNUMMAST_CORE_ADMISSION_FLOWCLOCK_H

#include <cstdint>
#include <unordered_map>

namespace Laburnummast::Admission
{

/// Identifies the calls of one partner of one owner.
using FlowId = std::uint32_t;

/// Counts the service that each flow received per weight, over all priorities (start-time fair queueing).
class FlowClock
{
public:
    /// Marks that calls of an idle flow wait again; service that it did not use while idle is not saved up.
    void activate(FlowId flow);
    /// Counts one served call of the flow; `weight` is above 0.
    void charge(FlowId flow, double weight);
    /// Calls served per weight; flows with less go first.
    double normalizedService(FlowId flow) const;

private:
    std::unordered_map<FlowId, double> m_normalizedService;
    double m_virtualTime = 0;
};

}

#endif
