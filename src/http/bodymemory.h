#ifndef LABURNUMMAST_HTTP_BODYMEMORY_H
#define LABURNUMMAST_HTTP_BODYMEMORY_H

#include "core/bufferbudget.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Laburnummast::Http
{

/// A body that is being received.
struct BodyGrowth
{
    /// Size of the whole body; empty if the message does not say.
    std::optional<std::uint64_t> length;
    /// Bytes of the message that have arrived behind `body`.
    std::size_t arrivedBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    /// Bytes that are reserved in addition to the body, as for the head.
    std::uint64_t extraBytes = 0;
};

/// Reserves memory for the bytes that have arrived, then makes room for them in `body`, so that its capacity is never more than what is
/// reserved. Returns false, with `body` unchanged, if there is no memory.
bool growBody(std::string &body, BufferReservation &reservation, const BodyGrowth &growth);

/// Gives back memory that a complete body does not use.
void trimBody(std::string &body, BufferReservation &reservation, std::uint64_t extraBytes);

}

#endif
