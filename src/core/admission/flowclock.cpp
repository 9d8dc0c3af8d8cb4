#include "core/admission/flowclock.h"

#include <algorithm>

namespace Laburnummast::Admission
{

void FlowClock::activate(FlowId flow)
{
    auto &service = m_normalizedService[flow];
    service = std::max(service, m_virtualTime);
}

void FlowClock::charge(FlowId flow, double weight)
{
    auto &service = m_normalizedService[flow];
    m_virtualTime = service;
    service += 1 / weight;
}

double FlowClock::normalizedService(FlowId flow) const
{
    const auto it = m_normalizedService.find(flow);
    return it == m_normalizedService.end() ? m_virtualTime : it->second;
}

}
