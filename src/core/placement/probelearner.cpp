#include "core/placement/probelearner.h"

#include <algorithm>

namespace Laburnummast::Placement
{
namespace
{

// Weight of one probe in its smoothed time.
constexpr double probeTimeWeight = 0.2;
// After this many consecutive answers without load the service counts as one whose upstreams do not report load.
constexpr int probesToAssumeNoLoad = 6;

}

void ProbeLearner::learn(UpstreamEntry &entry, const ProbeResult &result, Millis now)
{
    if (!result.answered || result.wrongInstance) {
        entry.view.startBackoff(now);
        return;
    }
    const auto probeTime = now - entry.probeStartedAt;
    entry.probeTime = entry.probeTime ? *entry.probeTime + (probeTime - *entry.probeTime) * probeTimeWeight : probeTime;
    entry.cold.observeProbe(result.coldRemaining, entry.probeStartedAt, now);
    if (result.load) {
        entry.view.recordLoadReport(*result.load, now);
        m_probesWithoutLoad = 0;
        m_upstreamsReportLoad = true;
    } else {
        m_probesWithoutLoad = std::min(m_probesWithoutLoad + 1, probesToAssumeNoLoad);
        m_upstreamsReportLoad = m_probesWithoutLoad < probesToAssumeNoLoad;
        if (!result.refused) {
            entry.view.recordServedProbe(now - entry.probeStartedAt, now);
        }
    }
    if (result.healthy) {
        entry.view.markHealthy();
    } else {
        entry.view.markUnhealthy(now);
    }
}

}
