#ifndef LABURNUMMAST_ENTRY_RETURNESTIMATE_H
#define LABURNUMMAST_ENTRY_RETURNESTIMATE_H

#include "core/millis.h"

#include <map>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// Tells callers that come back after a refusal from new ones: they have less time left than new ones on that route.
class ReturnEstimate
{
public:
    /// How long ago the caller's first attempt was made, as far as its patience tells.
    Millis spentBefore(std::string_view route, Millis patience)
    {
        auto it = m_longest.find(route);
        if (it == m_longest.end()) {
            it = m_longest.emplace(std::string(route), patience).first;
        }
        it->second = patience > it->second ? patience : it->second;
        return patience < it->second * firstAtLeast ? it->second * firstUsually - patience : 0_ms;
    }

private:
    // Callers' patience on one route differs: new ones were seen with 0.83 to 0.97 of the longest, 0.9 in the mean.
    static constexpr double firstAtLeast = 0.8;
    static constexpr double firstUsually = 0.9;

    std::map<std::string, Millis, std::less<>> m_longest;
};

}

#endif
