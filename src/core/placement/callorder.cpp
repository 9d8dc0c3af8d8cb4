#include "core/placement/callorder.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace Laburnummast::Placement
{
namespace
{

// Order of the calls of one workspace, and of all calls if there are no workspaces.
bool goesBeforeByRank(const CallSpec &a, const CallSpec &b)
{
    return std::tie(a.workspaceRank, a.rank, a.objective) < std::tie(b.workspaceRank, b.rank, b.objective);
}

// Position of a call among those of all workspaces.
struct Turn
{
    OpenCall *call = nullptr;
    bool starved = false;
    /// Attempts that the workspace has had when the call is served.
    double service = 0;
};

bool goesBeforeByTurn(const Turn &a, const Turn &b)
{
    if (a.starved != b.starved) {
        return a.starved;
    }
    const auto &first = a.call->spec;
    const auto &second = b.call->spec;
    return std::tie(first.workspaceRank, first.rank, a.service, first.objective)
        < std::tie(second.workspaceRank, second.rank, b.service, second.objective);
}

}

void CallOrder::sort(std::vector<OpenCall *> &calls, Millis now) const
{
    std::stable_sort(calls.begin(), calls.end(), [](const OpenCall *a, const OpenCall *b) { return goesBeforeByRank(a->spec, b->spec); });
    if (!m_service.hasWorkspaces() || calls.size() < 2) {
        return;
    }
    struct Workspace
    {
        double service = 0;
        bool starved = false;
    };
    std::unordered_map<WorkspaceId, Workspace> workspaces;
    std::vector<Turn> turns;
    turns.reserve(calls.size());
    for (auto *it : calls) {
        const auto id = it->spec.workspace;
        const auto [found, isNew] = workspaces.try_emplace(id);
        auto &workspace = found->second;
        if (isNew) {
            workspace = {.service = m_service.attempts(id, now), .starved = m_service.isStarved(id, now)};
        }
        turns.push_back({.call = it, .starved = workspace.starved, .service = workspace.service});
        workspace.service += 1;
    }
    std::stable_sort(turns.begin(), turns.end(), goesBeforeByTurn);
    std::transform(turns.begin(), turns.end(), calls.begin(), [](const Turn &it) { return it.call; });
}

bool CallOrder::goesBefore(const CallSpec &a, const CallSpec &b, Millis now) const
{
    if (a.workspace == b.workspace || a.workspaceRank != b.workspaceRank || a.rank != b.rank) {
        return goesBeforeByRank(a, b);
    }
    return m_service.attempts(a.workspace, now) < m_service.attempts(b.workspace, now);
}

}
