#ifndef LABURNUMMAST_CORE_ROUTES_ROUTE_H
#define LABURNUMMAST_CORE_ROUTES_ROUTE_H

#include "core/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Routes
{

/// One service that takes a share of a route's calls.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Where calls go, and what may be done with them.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// May run more than once.
    bool idempotent = false;
    /// Long bodies are expected.
    bool bulk = false;
    /// After this long the caller has its final answer.
    Millis timeout{30000};
    /// An answer within this time is worth the most.
    Millis objective{1000};
    /// 0 is the most urgent.
    int rank = 0;
    /// Upstreams on which one call may run.
    int maxAttempts = 1;
    std::vector<WeightedService> weightedServices;
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath = "/health";
    /// Connections that one upstream takes from all daemons together.
    int maxConnections = 100;
};

/// What callers may send and how long they may take.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 67108864;
    Millis headerTimeout{3000};
    Millis idleTimeout{15000};
};

}

#endif
