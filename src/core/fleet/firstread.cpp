#include "core/fleet/firstread.h"

namespace Laburnummast::Fleet
{
namespace
{

// Time that a seed gives those before it, long enough to read a few pages and report them.
constexpr Millis seedDelay = 400_ms;
// A peer that reported within this time still counts as a source; it sends several reports in this time.
constexpr Millis sourceLostAfter = 1_s;
// Shares of the catch-up time after which a daemon reads itself if it knows of no source, and if it has not got the records from one. The
// last share is the random part of both.
constexpr double withoutSourceShare = 0.25;
constexpr double withSourceShare = 0.5;
constexpr double randomShare = 0.2;

}

bool shouldReadFirst(const FirstReadOptions &options, Millis sinceStart, const std::optional<Millis> &peerSilence)
{
    const bool hasSource = peerSilence && *peerSilence <= sourceLostAfter;
    if (options.seedIndex && !hasSource) {
        return sinceStart >= seedDelay * static_cast<double>(*options.seedIndex);
    }
    const double share = (hasSource ? withSourceShare : withoutSourceShare) + randomShare * options.spread;
    return sinceStart >= options.catchUp * share;
}

}
