#include "http/bodymemory.h"

#include <algorithm>

namespace Laburnummast::Http
{
namespace
{

constexpr std::size_t minGrowthBytes = 4096;
// A longer body is not copied to trim it: its memory is mapped for it alone, and pages that were not written are not resident.
constexpr std::size_t maxTrimmedBytes = 1048576;

}

bool growBody(std::string &body, BufferReservation &reservation, const BodyGrowth &growth)
{
    if (growth.length) {
        return reservation.raiseTo(*growth.length + growth.extraBytes);
    }
    // The parser takes at most one byte more than the limit allows before it rejects the message.
    const auto limit = std::max<std::uint64_t>(body.size(), growth.maxBodyBytes) + 1;
    const auto needed = std::min<std::uint64_t>(body.size() + growth.arrivedBytes, limit);
    if (needed <= body.capacity()) {
        return true;
    }
    const auto doubled = std::min<std::uint64_t>(std::max<std::uint64_t>(needed, body.capacity() * 2), limit);
    const auto generous = std::max<std::uint64_t>(doubled, minGrowthBytes);
    // Each growth copies the body, so that less than an eighth more is not worth it.
    const auto modest = std::min<std::uint64_t>(std::max<std::uint64_t>(needed, body.capacity() + body.capacity() / 8), limit);
    const bool isGenerous = reservation.raiseTo(generous + growth.extraBytes);
    if (!isGenerous && !reservation.raiseTo(modest + growth.extraBytes)) {
        return false;
    }
    // A new string, because reserve() on the old one at least doubles its capacity.
    std::string grown;
    grown.reserve(isGenerous ? generous : modest);
    grown.append(body);
    body = std::move(grown);
    return true;
}

void trimBody(std::string &body, BufferReservation &reservation, std::uint64_t extraBytes)
{
    if (body.size() <= maxTrimmedBytes && body.capacity() > body.size() + minGrowthBytes) {
        body.shrink_to_fit();
    }
    const auto kept = body.size() <= maxTrimmedBytes ? body.capacity() : body.size();
    reservation.lowerTo(kept + extraBytes);
}

}
