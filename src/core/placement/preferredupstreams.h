#ifndef LABURNUMMAST_CORE_PLACEMENT_PREFERREDUPSTREAMS_H
#define LABURNUMMAST_CORE_PLACEMENT_PREFERREDUPSTREAMS_H

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Laburnummast::Placement
{

/// Distributes the upstreams of a service evenly among the daemons, within a failure domain where possible.
///
/// Returns for each upstream whether the daemon at `daemonIndex` prefers it; all false if the index is out of range. Daemons
/// that see the same lists compute the same distribution without communication. If there are more daemons than upstreams, each
/// daemon prefers one upstream and several daemons share it.
std::vector<bool>
preferredUpstreams(std::span<const std::string> upstreamDomains, std::span<const std::string> daemonDomains, std::size_t daemonIndex);

}

#endif
