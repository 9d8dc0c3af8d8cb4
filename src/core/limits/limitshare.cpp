#include "core/limits/limitshare.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Limits
{
namespace
{

// Smallest share of a limit that is divided further, in calls per second. With less, a daemon could rarely use its share when it has
// a call to send.
constexpr double minShare = 2;

}

double limitShare(const LimitedUpstream &upstream, const LimitPool &pool)
{
    if (pool.self >= pool.daemons.size()) {
        return 0;
    }
    const auto evenShares = static_cast<std::size_t>(std::max(1.0, std::floor(upstream.perSecond / minShare)));
    const auto shares = std::min(evenShares, pool.daemons.size());
    const auto &self = pool.daemons[pool.self];
    const bool selfIsLocal = self.domain == upstream.domain;
    const auto selfScore = Routing::rendezvousScore(upstream.id, self.name);
    const auto ahead = std::count_if(pool.daemons.begin(), pool.daemons.end(), [&](const Routing::Candidate &it) {
        const bool isLocal = it.domain == upstream.domain;
        if (isLocal != selfIsLocal) {
            return isLocal;
        }
        const auto score = Routing::rendezvousScore(upstream.id, it.name);
        return score != selfScore ? score > selfScore : it.name < self.name;
    });
    if (static_cast<std::size_t>(ahead) >= shares) {
        return 0;
    }
    const auto reachable = static_cast<double>(pool.daemons.size());
    const double reachablePart = reachable / (reachable + static_cast<double>(pool.unreachable));
    return upstream.perSecond / static_cast<double>(shares) * reachablePart;
}

}
