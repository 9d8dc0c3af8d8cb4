#ifndef LABURNUMMAST_CORE_PLACEMENT_PROBELEARNER_H
#define LABURNUMMAST_CORE_PLACEMENT_PROBELEARNER_H

#include "core/millis.h"
#include "core/placement/loadreport.h"
#include "core/placement/upstreamset.h"

namespace Laburnummast::Placement
{

/// Applies probe results to upstreams and finds out whether the upstreams of the service report their load.
class ProbeLearner
{
public:
    void learn(UpstreamEntry &entry, const ProbeResult &result, Millis now);
    bool upstreamsReportLoad() const
    {
        return m_upstreamsReportLoad;
    }

private:
    /// Consecutive probe answers without load; bounded.
    int m_probesWithoutLoad = 0;
    bool m_upstreamsReportLoad = true;
};

}

#endif
