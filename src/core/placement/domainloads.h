#ifndef LABURNUMMAST_CORE_PLACEMENT_DOMAINLOADS_H
#define LABURNUMMAST_CORE_PLACEMENT_DOMAINLOADS_H

#include "core/millis.h"
#include "core/placement/domainchoice.h"
#include "core/placement/upstreamset.h"

#include <string_view>
#include <vector>

namespace Laburnummast::Placement
{

/// Load of each failure domain, from the recent load reports of its upstreams that accept calls; upstreams without one count as loaded
/// like the others of their domain. The result refers to names in `upstreams`.
std::vector<DomainLoad> domainLoads(const UpstreamSet &upstreams, std::string_view home, Millis typicalLatency, Millis now);

}

#endif
