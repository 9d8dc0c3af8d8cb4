#ifndef LABURNUMMAST_CORE_PLACEMENT_CALLSPEC_H
#define LABURNUMMAST_CORE_PLACEMENT_CALLSPEC_H

#include "core/dispatch/call.h"
#include "core/millis.h"

#include <cstdint>

namespace Laburnummast::Placement
{

using Dispatch::CallId;
/// Identifies a workspace within a daemon.
using WorkspaceId = std::uint32_t;
/// Stands for calls that belong to no workspace.
constexpr WorkspaceId noWorkspace = 0;

/// Properties of a call that the dispatcher needs.
struct CallSpec
{
    CallId id = 0;
    bool idempotent = false;
    /// The body is large, so sending it to another failure domain is expensive.
    bool bulk = false;
    /// Priority; 0 is the most urgent.
    int rank = 0;
    /// Limit of attempts, including retries and hedges; attempts that were not sent do not count.
    int maxAttempts = 1;
    /// Time by which the answer should arrive.
    Millis objective;
    /// Time after which nobody waits for the answer.
    Millis deadline;
    /// The caller was refused before and will not try again after another refusal.
    bool returning = false;
    WorkspaceId workspace = noWorkspace;
    /// Priority of the workspace, which goes before that of the call; 0 is the most urgent.
    int workspaceRank = 0;
};

}

#endif
