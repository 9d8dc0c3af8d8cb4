#include "core/placement/hedgeplanner.h"

#include <algorithm>
#include <utility>

namespace Laburnummast::Placement
{

HedgePlanner::HedgePlanner(const HedgePolicy &policy,
                           const Retry::SharedRetryBudget &budget,
                           const Pressure &pressure,
                           PlacementCounters &counters)
    : m_policy(policy)
    , m_budget(budget)
    , m_pressure(pressure)
    , m_counters(counters)
{
}

std::vector<OpenCall *> HedgePlanner::plan(std::span<OpenCall *const> due, const OpenCalls &calls, double reserve, Millis now)
{
    std::vector<OpenCall *> granted;
    std::vector<std::pair<double, OpenCall *>> order;
    for (auto *it : due) {
        if (it->attemptsRun >= it->spec.maxAttempts) {
            it->hedgeAt = it->spec.deadline;
        } else {
            order.emplace_back(m_policy.gain(*it, now), it);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    const double allowed = m_budget.allowed(now) * (1 - reserve);
    // Searches under way will use the budget as well.
    auto searching
        = static_cast<double>(std::count_if(calls.begin(), calls.end(), [](const auto &it) { return it.second.search == Search::Hedge; }));
    for (const auto &[gain, it] : order) {
        const double spent = m_budget.spent(now) + searching;
        if (m_pressure.isHigh()) {
            deny(*it, HedgeDenial::Pressure, now);
        } else if (spent + 1 > allowed) {
            deny(*it, HedgeDenial::Budget, now);
        } else if (!m_policy.isWorthwhile(*it, spent / allowed, now)) {
            deny(*it, HedgeDenial::Gain, now);
        } else {
            it->hedgeAt = it->spec.deadline;
            searching += 1;
            granted.push_back(it);
        }
    }
    return granted;
}

void HedgePlanner::deny(OpenCall &call, HedgeDenial reason, Millis now)
{
    call.hedgeAt = m_policy.nextTime(call, now);
    const auto bit = 1U << static_cast<unsigned>(reason);
    if ((call.hedgeDenials & bit) != 0) {
        return;
    }
    call.hedgeDenials |= bit;
    switch (reason) {
    case HedgeDenial::Budget:
        ++m_counters.hedgesDeniedByBudget;
        break;
    case HedgeDenial::Pressure:
        ++m_counters.hedgesDeniedByPressure;
        break;
    case HedgeDenial::NoUpstream:
        ++m_counters.hedgesWithoutUpstream;
        break;
    case HedgeDenial::Gain:
        ++m_counters.hedgesWithoutGain;
        break;
    }
}

}
