#include "core/fleet/readerchoice.h"

#include "core/routing/rendezvous.h"

#include <algorithm>

namespace Laburnummast::Fleet
{

std::size_t readerPlace(std::string_view topic, std::span<const std::string> daemons, std::string_view self)
{
    const auto own = Routing::rendezvousScore(topic, self);
    return static_cast<std::size_t>(std::count_if(
        daemons.begin(), daemons.end(), [&](const std::string &it) { return it != self && Routing::rendezvousScore(topic, it) > own; }));
}

bool shouldRead(
    std::size_t place, Millis contactAge, bool readsAlready, const std::optional<Millis> &betterSilence, const ReaderRules &rules)
{
    const auto fresh = rules.wait + rules.staleAfter;
    const bool betterReads = betterSilence && *betterSilence <= rules.lostAfter;
    if (readsAlready) {
        return !(betterReads && contactAge <= fresh);
    }
    if (place == 0) {
        return true;
    }
    const auto turn = rules.step * static_cast<double>(place);
    // While a reader lives its word may be as old as a held read; without one there is nothing to wait for.
    if (betterReads) {
        return contactAge > fresh + turn;
    }
    // The last word of a reader that went may be old already: counted from that word all would begin at once.
    const bool ownTurn = betterSilence ? *betterSilence > rules.lostAfter + turn : contactAge > rules.staleAfter + turn;
    return ownTurn && contactAge > rules.staleAfter;
}

}
