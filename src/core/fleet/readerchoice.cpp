#include "core/fleet/readerchoice.h"

#include "core/routing/rendezvous.h"

#include <algorithm>

namespace Laburnummast::Fleet
{

std::size_t readerRank(std::string_view topic, std::span<const std::string> daemons, std::string_view self)
{
    const auto ownScore = Routing::rendezvousScore(topic, self);
    return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const std::string &it) {
        return it != self && Routing::rendezvousScore(topic, it) > ownScore;
    }));
}

bool shouldRead(
    std::size_t rank, Millis contactAge, bool isReading, const std::optional<Millis> &readerSilence, const ReaderTimeouts &timeouts)
{
    const auto freshLimit = timeouts.longPollWait + timeouts.staleAfter;
    const bool otherReads = readerSilence && *readerSilence <= timeouts.lostAfter;
    if (isReading) {
        return !(otherReads && contactAge <= freshLimit);
    }
    const auto turnDelay = timeouts.rankDelay * static_cast<double>(rank);
    // While a reader is alive, contact may be as old as a read that the store holds open; without a reader there is no such read.
    if (otherReads) {
        return contactAge > freshLimit + turnDelay;
    }
    // The last contact of a lost reader may be old already. If the delays were counted from it, all daemons would start at once.
    const bool turnReached = readerSilence ? *readerSilence > timeouts.lostAfter + turnDelay : contactAge > timeouts.staleAfter + turnDelay;
    return turnReached && contactAge > timeouts.staleAfter;
}

}
