#ifndef LABURNUMMAST_CORE_ADMISSION_FLOORCREDITS_H
#define LABURNUMMAST_CORE_ADMISSION_FLOORCREDITS_H

#include "core/priority.h"

#include <array>

namespace Laburnummast::Admission
{

/// Share of the dispatches that each priority keeps however much more urgent work waits.
using Floors = std::array<double, priorityCount>;

/// Strict priority with a floor for each lower priority.
class FloorCredits
{
public:
    explicit FloorCredits(const Floors &floors);

    /// Notes a dispatch; `waiting` tells which priorities had calls waiting.
    void recordDispatch(Priority priority, const std::array<bool, priorityCount> &waiting);
    /// Whether the floor entitles this priority to go before more urgent ones.
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
