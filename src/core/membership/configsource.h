#ifndef LABURNUMMAST_CORE_MEMBERSHIP_CONFIGSOURCE_H
#define LABURNUMMAST_CORE_MEMBERSHIP_CONFIGSOURCE_H

#include "core/membership/member.h"

#include <cstdint>
#include <span>

namespace Laburnummast::Membership
{

/// The running member with the highest configuration offset above `ownOffset`; null if there is none.
const Member *findConfigSource(std::span<const Member> others, std::int64_t ownOffset);

}

#endif
