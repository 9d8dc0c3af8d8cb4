#ifndef LABURNUMMAST_CORE_ADMISSION_FLOORCREDITS_H
#define LABURNUMMAST_CORE_ADMISSION_FLOORCREDITS_H

#include "core/priority.h"

#include <array>

namespace Laburnummast::Admission
{

/// Minimum share of the dispatches that each priority gets while it has calls waiting; from 0 to 1.
using Floors = std::array<double, priorityCount>;

/// Accumulates credit for the guaranteed minimum share of each priority under strict priority scheduling.
class FloorCredits
{
public:
    explicit FloorCredits(const Floors &floors);

    /// Records a dispatch of `priority`; `waiting` tells which priorities had calls waiting.
    void recordDispatch(Priority priority, const std::array<bool, priorityCount> &waiting);
    /// Whether this priority has enough credit to go before more urgent ones.
    bool isEntitled(Priority priority) const;
    void setFloors(const Floors &floors)
    {
        m_floors = floors;
    }

private:
    Floors m_floors;
    std::array<double, priorityCount> m_credits{};
};

}

#endif
