#ifndef LABURNUMMAST_CORE_MEMBERSHIP_CONFIGSOURCE_H
#define LABURNUMMAST_CORE_MEMBERSHIP_CONFIGSOURCE_H

#include "core/membership/member.h"

#include <cstdint>
#include <span>

namespace Laburnummast::Membership
{

/// A running member with the highest configuration offset above `ownOffset`; null if there is none.
///
/// Of several, `choice` selects one: members that choose at random spread their requests over all that can answer them.
const Member *findConfigSource(std::span<const Member> others, std::int64_t ownOffset, std::uint64_t choice);

}

#endif
