#ifndef LABURNUMMAST_CORE_FLEET_READERCHOICE_H
#define LABURNUMMAST_CORE_FLEET_READERCHOICE_H

#include "core/millis.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Fleet
{

struct ReaderTimeouts
{
    /// Longest time for which the store holds a read open.
    Millis longPollWait{1000};
    /// A word this much older than that is stale.
    Millis staleAfter{400};
    /// Each place in the order waits this much longer before it reads itself: enough for the word of the one before to arrive.
    Millis rankDelay{150};
    /// A reader that is not heard of for this long is gone: three of its reports.
    Millis lostAfter{750};
};

/// Place of `self` in the order in which daemons take over the reading of a topic; 0 reads first.
std::size_t readerRank(std::string_view topic, std::span<const std::string> daemons, std::string_view self);

/// Whether a daemon should read a topic of the store itself.
///
/// One daemon reads and the others hear it from that one. Where its word grows stale the next in the order begins, so
/// that a daemon which cannot reach the store, or its peers, is replaced within a second or two.
/// `betterSilence`: time since a daemon before this one in the order said that it reads; nothing if none ever did.
bool shouldRead(
    std::size_t rank, Millis contactAge, bool isReading, const std::optional<Millis> &higherRankedSilence, const ReaderTimeouts &timeouts);

}

#endif
