#ifndef LABURNUMMAST_CORE_PLACEMENT_PREFERREDUPSTREAMS_H
#define LABURNUMMAST_CORE_PLACEMENT_PREFERREDUPSTREAMS_H

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Laburnummast::Placement
{

/// Shares the upstreams of a service out among the daemons, evenly and within a failure domain where it can be.
///
/// Returns for each upstream whether the daemon at `place` prefers it. All daemons that see the same lists agree on whose
/// an upstream is, without a message. Where daemons outnumber upstreams each prefers one, and several share it.
std::vector<bool>
preferredUpstreams(std::span<const std::string> upstreamDomains, std::span<const std::string> daemonDomains, std::size_t daemonIndex);

}

#endif
