#ifndef LABURNUMMAST_CORE_FLEET_UPSTREAMRECORD_H
#define LABURNUMMAST_CORE_FLEET_UPSTREAMRECORD_H

#include "core/membership/member.h"
#include "core/millis.h"

#include <cstdint>
#include <string>

namespace Laburnummast::Fleet
{

/// What an upstream says of itself.
struct UpstreamRecord
{
    /// Names one incarnation, mostly; an upstream may also start again under its old id.
    std::string id;
    std::string service;
    Membership::Address address;
    std::string domain;
    std::string softwareVersion;
    int slots = 1;
    bool draining = false;
    /// Still slow for this long after its start, as of the record.
    Millis warmUpRemaining;
    /// Time of day of its start in milliseconds; a new one means that nothing of before is left.
    std::int64_t startedAt = 0;
};

}

#endif
