#include "core/admission/floorcredits.h"

#include <algorithm>

namespace Laburnummast::Admission
{
namespace
{

// Bounds the dispatches in a row that accumulated credit allows.
constexpr double maxCredit = 4;

}

FloorCredits::FloorCredits(const Floors &floors)
    : m_floors(floors)
{
}

void FloorCredits::recordDispatch(Priority priority, const std::array<bool, priorityCount> &waiting)
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        if (waiting[i]) {
            m_credits[i] = std::min(maxCredit, m_credits[i] + m_floors[i]);
        }
    }
    auto &credit = m_credits[indexOf(priority)];
    credit = std::max(0.0, credit - 1);
}

bool FloorCredits::isEntitled(Priority priority) const
{
    return m_credits[indexOf(priority)] >= 1;
}

}
