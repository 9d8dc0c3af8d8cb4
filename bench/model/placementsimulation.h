#ifndef LABURNUMMAST_MODEL_PLACEMENTSIMULATION_H
#define LABURNUMMAST_MODEL_PLACEMENTSIMULATION_H

#include "core/millis.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Laburnummast::Model
{

/// How calls find their upstreams in a play.
enum class PlacementPolicy : std::uint8_t {
    /// The project's own: load asked at the moment of choice.
    Probing,
    /// Any upstream.
    Random,
    /// The upstream with the fewest of this daemon's own calls.
    LeastOwnCalls,
    /// One queue that knows every slot and speed at once.
    Central,
};

constexpr std::array<std::string_view, 4> placementPolicyNames{"asking", "random", "least-own", "central"};

constexpr std::string_view nameOf(PlacementPolicy policy)
{
    return placementPolicyNames[static_cast<std::size_t>(policy)];
}

/// One kind of call.
struct CallKind
{
    std::string_view name;
    double callsPerSecond = 100;
    Millis meanServiceTime{90};
    Millis objective{250};
    Millis deadline{800};
    bool idempotent = true;
    int rank = 0;
};

/// A load that grows by `factor` between two moments; for one kind, or for all with -1.
struct LoadBurst
{
    Millis from;
    Millis to;
    double factor = 1;
    int kind = -1;
};

/// A fleet whose upstreams change their speed several times a second and slow down when full.
struct PlacementSimulationOptions
{
    PlacementPolicy policy = PlacementPolicy::Probing;
    std::uint64_t seed = 1;
    int daemons = 19;
    int upstreams = 33;
    int slots = 3;
    int queueLimit = 6;
    bool reportsLoad = true;
    /// Share of upstreams that are slow at a moment, how slow, and how long a moment lasts.
    double slowShare = 0.25;
    double slowFactor = 5;
    Millis speedPeriod{150};
    /// From this share of its slots on an upstream slows down, up to 1 + `contentionSlowdown` when full.
    double knee = 0.8;
    double contentionSlowdown = 1.7;
    Millis networkDelay{0.5};
    /// How often the daemons report to each other.
    Millis reportInterval{250};
    Millis duration{20000};
    Millis warmUp{4000};
    double probesPerSecond = 60;
    std::vector<CallKind> kinds;
    std::vector<LoadBurst> bursts;
    /// Upstreams that break this share of their answers, from the first one on.
    int faultyUpstreams = 0;
    double incompleteAnswerShare = 0.5;
};

struct CallKindResult
{
    int calls = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
};

struct PlacementSimulationResult
{
    std::vector<CallKindResult> kinds;
    /// The same, only for calls that began during a burst.
    std::vector<CallKindResult> inBurst;
    std::uint64_t probes = 0;
    std::uint64_t extraAttempts = 0;
    /// Calls that may run once and ran twice, and calls refused as not run that had run.
    int ranTwice = 0;
    int refusedButRan = 0;

    /// Share of all calls that were answered in time.
    double inTimeShare(bool burstsOnly) const;
};

PlacementSimulationResult simulatePlacement(const PlacementSimulationOptions &options);

/// The two sites' fleets at their busiest, a burst of the most urgent kind in the middle.
PlacementSimulationOptions siciliaBurst();
PlacementSimulationOptions papelBurst();

}

#endif
