#include "core/placement/recentservice.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Placement
{
namespace
{

// Time constant of the decay: about the length of a burst, so that a workspace that sent few calls before it is not put behind for long
// after the burst has ended.
constexpr Millis decayTime = 3_s;
// A workspace may not be served less than a quarter as often as all; calls of one below this part go first.
constexpr double starvedPart = 0.35;
// With fewer calls the part that was sent depends on chance.
constexpr double minComparedCalls = 4;
// Workspaces without recent calls are forgotten above this number.
constexpr std::size_t maxKept = 4096;
constexpr double idleCalls = 0.01;

}

RecentService::Counts RecentService::decayed(const Counts &counts, Millis now)
{
    const double factor = std::exp(-std::max(0.0, (now - counts.decayedAt) / decayTime));
    return {.decayedAt = now, .calls = counts.calls * factor, .sentCalls = counts.sentCalls * factor, .attempts = counts.attempts * factor};
}

RecentService::Counts &RecentService::countsOf(WorkspaceId workspace, Millis now)
{
    if (m_workspaces.size() >= maxKept) {
        removeIdle(now);
    }
    auto &counts = m_workspaces[workspace];
    counts = decayed(counts, now);
    return counts;
}

void RecentService::removeIdle(Millis now)
{
    std::erase_if(m_workspaces, [&](const auto &it) { return decayed(it.second, now).calls < idleCalls; });
}

void RecentService::recordCall(WorkspaceId workspace, Millis now)
{
    m_hasWorkspaces = m_hasWorkspaces || workspace != noWorkspace;
    countsOf(workspace, now).calls += 1;
    m_total = decayed(m_total, now);
    m_total.calls += 1;
}

void RecentService::recordAttempt(WorkspaceId workspace, bool isFirst, Millis now)
{
    auto &counts = countsOf(workspace, now);
    counts.attempts += 1;
    m_total = decayed(m_total, now);
    if (isFirst) {
        counts.sentCalls += 1;
        m_total.sentCalls += 1;
    }
}

double RecentService::attempts(WorkspaceId workspace, Millis now) const
{
    const auto it = m_workspaces.find(workspace);
    return it == m_workspaces.end() ? 0 : decayed(it->second, now).attempts;
}

bool RecentService::isStarved(WorkspaceId workspace, Millis now) const
{
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end() || m_total.calls <= 0) {
        return false;
    }
    const auto counts = decayed(it->second, now);
    return counts.calls >= minComparedCalls && counts.sentCalls / counts.calls < starvedPart * m_total.sentCalls / m_total.calls;
}

}
