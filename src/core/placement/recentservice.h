#ifndef LABURNUMMAST_CORE_PLACEMENT_RECENTSERVICE_H
#define LABURNUMMAST_CORE_PLACEMENT_RECENTSERVICE_H

#include "core/millis.h"
#include "core/placement/callspec.h"

#include <unordered_map>

namespace Laburnummast::Placement
{

/// Calls and attempts of each workspace within the last seconds, as counts that decay exponentially.
///
/// Calls without a workspace count as those of one more workspace.
class RecentService
{
public:
    void recordCall(WorkspaceId workspace, Millis now);
    /// Counts an attempt; `isFirst` if it is the first one of its call.
    void recordAttempt(WorkspaceId workspace, bool isFirst, Millis now);

    /// Attempts sent for the workspace.
    double attempts(WorkspaceId workspace, Millis now) const;
    /// Whether so few calls of the workspace were sent, compared with all calls, that they have to go first.
    bool isStarved(WorkspaceId workspace, Millis now) const;
    /// Whether any call belonged to a workspace.
    bool hasWorkspaces() const
    {
        return m_hasWorkspaces;
    }

private:
    struct Counts
    {
        Millis decayedAt{};
        double calls = 0;
        double sentCalls = 0;
        double attempts = 0;
    };

    static Counts decayed(const Counts &counts, Millis now);
    Counts &countsOf(WorkspaceId workspace, Millis now);
    /// Forgets workspaces without recent calls if there are many.
    void removeIdle(Millis now);

    std::unordered_map<WorkspaceId, Counts> m_workspaces;
    Counts m_total;
    bool m_hasWorkspaces = false;
};

}

#endif
