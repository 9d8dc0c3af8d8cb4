#ifndef LABURNUMMAST_CORE_ROUTES_CONFIGCHECK_H
#define LABURNUMMAST_CORE_ROUTES_CONFIGCHECK_H

#include "core/millis.h"
#include "core/routes/configfinding.h"
#include "core/routes/routetable.h"

#include <vector>

namespace Laburnummast::Routes
{

/// Finds entries that can never match, limits that contradict each other, and parts without effect.
///
/// `quotaWindow` is the window in which the calls of a workspace are counted. Sorted by place.
std::vector<ConfigFinding> checkConfig(const RouteTable &table, Millis quotaWindow);

}

#endif
