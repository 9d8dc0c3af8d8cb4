#ifndef LABURNUMMAST_CORE_ROUTES_ROUTE_H
#define LABURNUMMAST_CORE_ROUTES_ROUTE_H

#include "core/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Routes
{

/// A service and its relative share of a route's calls.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Services that receive the calls of one host and path prefix, and rules for these calls.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a call may be executed more than once.
    bool idempotent = false;
    /// Whether long bodies are expected.
    bool bulk = false;
    /// Time within which the caller gets its final answer.
    Millis timeout{30000};
    /// Target latency; an answer within this time has the highest value.
    Millis objective{1000};
    /// Priority rank; 0 is the most urgent.
    int rank = 0;
    /// Maximum number of upstreams that may execute one call.
    int maxAttempts = 1;
    /// Whether calls need no credential although there are workspaces.
    bool isPublic = false;
    /// Services among which the calls are split; must not be empty.
    std::vector<WeightedService> weightedServices;
};

/// Settings of one service.
struct ServiceSpec
{
    std::string name;
    std::string healthPath = "/health";
    /// Connections that one upstream accepts from all daemons together.
    int maxConnections = 100;
    /// Time after its start, or after it became cold again, for which an upstream is slow.
    Millis warmUp{};
    /// Calls per second from all daemons together that an upstream tolerates while it is cold; 0 if there is no limit.
    double coldCallsPerSecond = 0;
};

/// Size and time limits for the requests of callers.
struct CallerLimits
{
    /// Longest request header in bytes.
    std::uint32_t headerBytes = 16384;
    /// Longest request body in bytes.
    std::uint64_t bodyBytes = 67108864;
    /// Limits the time from the first byte of a request to the end of its header, and each wait for more of its body.
    Millis headerTimeout{3000};
    /// Limits the time that a connection stays without a request.
    Millis idleTimeout{15000};
};

}

#endif
