#ifndef LABURNUMMAST_CORE_WORKSPACES_WORKSPACE_H
#define LABURNUMMAST_CORE_WORKSPACES_WORKSPACE_H

#include <string>
#include <vector>

namespace Laburnummast::Workspaces
{

/// Group of callers that share credentials, a priority and an allowance.
struct Workspace
{
    std::string name;
    /// Credentials that belong to this workspace.
    std::vector<std::string> keys;
    /// Priority; 0 is the most urgent. Goes before the priority of a route.
    int rank = 0;
    /// Calls per second over all daemons together; 0 if there is no limit.
    double ratePerSecond = 0;
    /// Calls beyond the rate that may be made at once after a pause.
    double burst = 0;

    bool isLimited() const
    {
        return ratePerSecond > 0;
    }
};

}

#endif
