#ifndef LABURNUMMAST_ENTRY_UPSTREAMSPECS_H
#define LABURNUMMAST_ENTRY_UPSTREAMSPECS_H

#include "core/placement/upstreamview.h"
#include "entry/nodeview.h"

#include <map>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

using UpstreamSpecsByService = std::map<std::string, std::vector<Placement::UpstreamSpec>, std::less<>>;

/// Upstreams of the view, by service, as the dispatchers need them.
UpstreamSpecsByService upstreamSpecs(const NodeView &view);

}

#endif
