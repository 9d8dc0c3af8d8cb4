#ifndef LABURNUMMAST_ENTRY_NODESETTINGS_H
#define LABURNUMMAST_ENTRY_NODESETTINGS_H

#include "core/membership/member.h"
#include "core/millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

using Membership::Address;

/// Times and limits that the owners promise each other; all come from the settings.
struct NodeBounds
{
    /// A leaving upstream gets nothing new after this.
    Millis drainPeriod{2000};
    /// SIGKILL follows SIGTERM after this.
    Millis gracePeriod{6000};
    /// Longest time for which callers may keep an entry list.
    Millis entryListMaxAge{5000};
    double retryRatio = 0.2;
    double retrySlack = 64;
    Millis retryWindow{10000};
    /// Probes a second that one upstream may get from all daemons together.
    double probesPerSecond = 60;
};

/// What one daemon is told of itself and its surroundings.
struct NodeSettings
{
    std::string host;
    std::string domain;
    Address front;
    Address readiness;
    Address directory;
    Address control;
    std::string ip;
    /// Ports on which daemons may talk to each other.
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    /// Control addresses of some other daemons; any may be gone.
    std::vector<Address> seeds;
    Address store;
    double cpuShare = 1;
    NodeBounds bounds;
};

}

#endif
