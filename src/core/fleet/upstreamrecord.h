#ifndef LABURNUMMAST_CORE_FLEET_UPSTREAMRECORD_H
#define LABURNUMMAST_CORE_FLEET_UPSTREAMRECORD_H

#include "core/membership/member.h"
#include "core/millis.h"

#include <cstdint>
#include <string>

namespace Laburnummast::Fleet
{

/// Registration record that an upstream publishes about itself.
struct UpstreamRecord
{
    /// Usually identifies one run of the upstream, but an upstream may also restart under its old id.
    std::string id;
    std::string service;
    Membership::Address address;
    /// Failure domain.
    std::string domain;
    std::string softwareVersion;
    /// Calls that the upstream runs at the same time.
    int slots = 1;
    bool draining = false;
    /// Remaining time, as of the record, for which the upstream is still slow after its start.
    Millis warmUpRemaining;
    /// Start time in milliseconds since the epoch; a different value means that no state from before is left.
    std::int64_t startedAt = 0;
};

}

#endif
