#include "core/admission/flowclock.h"

#include <algorithm>

namespace Laburnummast::Admission
{

void FlowClock::activate(FlowId flow)
{
    auto &served = m_served[flow];
    served = std::max(served, m_line);
}

void FlowClock::charge(FlowId flow, double weight)
{
    auto &served = m_served[flow];
    m_line = served;
    served += 1 / weight;
}

double FlowClock::served(FlowId flow) const
{
    const auto it = m_served.find(flow);
    return it == m_served.end() ? m_line : it->second;
}

}
