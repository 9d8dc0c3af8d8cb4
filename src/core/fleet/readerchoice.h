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

/// Times after which a daemon starts reading a topic in place of another one.
struct ReaderTimeouts
{
    /// Longest time that the store holds a read request open.
    Millis longPollWait{1000};
    /// Contact is stale once it is older than `longPollWait` plus this time or, while no daemon of higher rank reads, older than this
    /// time alone.
    Millis staleAfter{400};
    /// Additional wait per rank before a daemon reads itself, long enough for the report of the daemon before it to arrive.
    Millis rankDelay{150};
    /// A reader without a report for this long is lost; it has missed three of its reports.
    Millis lostAfter{750};
};

/// Rank of `self` in the order in which daemons take over the reading of a topic; rank 0 is the highest and reads first.
std::size_t readerRank(std::string_view topic, std::span<const std::string> daemons, std::string_view self);

/// Whether a daemon should read a topic from the store itself.
///
/// One daemon reads and sends the records to the others. When contact with the store becomes stale, the daemon of the next
/// rank starts reading, so that a reader which cannot reach the store or its peers is replaced within a second or two.
/// `isReading`: whether this daemon reads the topic already.
/// `contactAge`: time since the last contact with the store, either direct or through a peer.
/// `readerSilence`: time since another daemon reported that it reads; empty if none ever did. If this daemon reads itself, only those of
/// higher rank count, as it ends reading in favour of them.
bool shouldRead(
    std::size_t rank, Millis contactAge, bool isReading, const std::optional<Millis> &readerSilence, const ReaderTimeouts &timeouts);

}

#endif
