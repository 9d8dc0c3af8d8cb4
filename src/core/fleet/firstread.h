#ifndef LABURNUMMAST_CORE_FLEET_FIRSTREAD_H
#define LABURNUMMAST_CORE_FLEET_FIRSTREAD_H

#include "core/millis.h"

#include <cstddef>
#include <optional>

namespace Laburnummast::Fleet
{

/// Properties of a daemon that determine how it gets its first records.
struct FirstReadOptions
{
    /// Index of this daemon in the list of seeds; empty if it is none of them.
    std::optional<std::size_t> seedIndex;
    /// Time after its start within which a daemon must have all records.
    Millis catchUp{4000};
    /// Random number from 0 to 1 of this daemon, which spreads the reads of many.
    double spread = 0;
};

/// Whether a daemon that has no records yet should read them from the store itself.
///
/// The seeds read, one after the other unless an earlier one has the records already. Other daemons get the records from peers. They read
/// only if they hear of no peer that has them, or cannot get them in time, so the reads at the start of a whole fleet do not grow with it.
/// `sinceStart`: time since the start of this daemon.
/// `peerSilence`: time since a peer reported that it has the records; empty if none did.
bool shouldReadFirst(const FirstReadOptions &options, Millis sinceStart, const std::optional<Millis> &peerSilence);

}

#endif
