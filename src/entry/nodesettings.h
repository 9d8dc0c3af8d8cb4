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

/// Times and limits that the owners have agreed on; all are read from the settings.
struct NodeBounds
{
    /// Time after which an upstream that drains must not get new calls; not used, as such an upstream gets none at all.
    Millis drainPeriod{2000};
    /// Time between SIGTERM and SIGKILL.
    Millis gracePeriod{6000};
    /// Time after the start of a daemon within which it must know all routes and upstreams.
    Millis catchUp{4000};
    /// Longest time for which callers may keep an entry list.
    Millis entryListMaxAge{5000};
    /// Extra attempts (retries and hedges) allowed per call, over all daemons.
    double retryRatio = 0.2;
    /// Additional extra attempts in each window, over all daemons together.
    double retrySlack = 64;
    /// Length of the sliding window for extra attempts.
    Millis retryWindow{10000};
    /// Probes per second that one upstream may get from all daemons together, on average.
    double probesPerSecond = 60;
    /// Time after the confirmation of a version of the routes within which it must be in force everywhere.
    Millis configApply{2000};
    /// Whether calls whose credential may have been withdrawn are refused; see `revocation`.
    bool failClosed = false;
    /// Time after the withdrawal of a credential from which no call with it may be executed.
    Millis revocation{5000};
    /// Length of the sliding window for the allowances of workspaces.
    Millis quotaWindow{5000};
    /// Calls of a workspace that may be executed in a window beyond its allowance, as a share of it and in addition to that.
    double quotaOvershoot = 0.1;
    double quotaSlack = 20;
    /// Calls that a cold upstream may get in a second: a multiple of what it tolerates, plus a number.
    double coldOvershoot = 1.5;
    double coldSlack = 8;
    /// Time after which an evacuated failure domain must not get new calls.
    Millis evacuation{5000};
};

/// Settings of one daemon.
struct NodeSettings
{
    /// Name of this host.
    std::string host;
    /// Failure domain of this host.
    std::string domain;
    /// Accepts calls.
    Address front;
    /// Answers whether this daemon is ready.
    Address readiness;
    /// Serves the entry list; empty for no listener.
    Address directory;
    /// Control address of this daemon; read from the settings, but without effect.
    Address control;
    /// Address for traffic between the daemons.
    std::string ip;
    /// First and last port for traffic between the daemons; the last one has no effect.
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    /// Control addresses of some other daemons, any of which may no longer run; only their IPs are used.
    std::vector<Address> seeds;
    Address store;
    /// Capacity of this host's link, in megabits per second.
    double linkMegabits = 10;
    /// Memory that this daemon may use, in megabytes (1,000,000 bytes).
    double memoryMegabytes = 256;
    /// Descriptors that this daemon may use; 0 for the limit of its process.
    double descriptorLimit = 0;
    /// CPU share of this daemon; without effect.
    double cpuShare = 1;
    NodeBounds bounds;
};

}

#endif
