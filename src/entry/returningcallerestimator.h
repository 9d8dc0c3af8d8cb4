#ifndef LABURNUMMAST_ENTRY_RETURNINGCALLERESTIMATOR_H
#define LABURNUMMAST_ENTRY_RETURNINGCALLERESTIMATOR_H

#include "core/millis.h"

#include <map>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// Distinguishes callers that come back after a refusal from new ones by their timeouts, which are shorter on the same route.
class ReturningCallerEstimator
{
public:
    /// Estimates the time since the caller's first attempt from `timeout`, for which it waits now; 0 for a new caller.
    Millis elapsedBefore(std::string_view route, Millis timeout)
    {
        auto it = m_longest.find(route);
        if (it == m_longest.end()) {
            it = m_longest.emplace(std::string(route), timeout).first;
        }
        it->second = timeout > it->second ? timeout : it->second;
        return timeout < it->second * minFirstAttemptShare ? it->second * meanFirstAttemptShare - timeout : 0_ms;
    }

private:
    // Timeouts of new callers differ on one route: from 0.83 to 0.97 of the longest one, with a mean of 0.9.
    static constexpr double minFirstAttemptShare = 0.8;
    static constexpr double meanFirstAttemptShare = 0.9;

    /// Longest caller timeout by route.
    std::map<std::string, Millis, std::less<>> m_longest;
};

}

#endif
