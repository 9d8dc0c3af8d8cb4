#ifndef LABURNUMMAST_CORE_PLACEMENT_HEDGEPLANNER_H
#define LABURNUMMAST_CORE_PLACEMENT_HEDGEPLANNER_H

#include "core/millis.h"
#include "core/placement/hedgepolicy.h"
#include "core/placement/opencall.h"
#include "core/placement/placementcounters.h"
#include "core/placement/pressure.h"
#include "core/retry/sharedretrybudget.h"

#include <span>
#include <vector>

namespace Laburnummast::Placement
{

/// Decides which late calls get a hedge within the budget, and counts why others get none.
class HedgePlanner
{
public:
    /// The arguments must outlive the planner.
    HedgePlanner(const HedgePolicy &policy, const Retry::SharedRetryBudget &budget, const Pressure &pressure, PlacementCounters &counters);

    /// Of the calls that are due for a decision, returns those to search an upstream for; those with the largest gain go first.
    /// `reserve` is the part of the budget that hedges must leave, and `calls` are all open calls.
    std::vector<OpenCall *> plan(std::span<OpenCall *const> due, const OpenCalls &calls, double reserve, Millis now);
    /// Counts the reason and sets the time of the next decision.
    void deny(OpenCall &call, HedgeDenial reason, Millis now);

private:
    const HedgePolicy &m_policy;
    const Retry::SharedRetryBudget &m_budget;
    const Pressure &m_pressure;
    PlacementCounters &m_counters;
};

}

#endif
