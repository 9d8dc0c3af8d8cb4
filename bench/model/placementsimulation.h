#ifndef LABURNUMMAST_MODEL_PLACEMENTSIMULATION_H
#define LABURNUMMAST_MODEL_PLACEMENTSIMULATION_H

#include "core/millis.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Laburnummast::Model
{

/// How the daemons assign calls to upstreams.
enum class PlacementPolicy : std::uint8_t {
    /// The placement of this project: it probes the load of upstreams at the moment of choice.
    Probing,
    /// Any upstream.
    Random,
    /// The upstream with the fewest calls in flight from the same daemon.
    LeastOwnCalls,
    /// A central queue that knows the state of every slot and the speed of every upstream immediately.
    Central,
};

/// Names of the policies in the output, indexed by `PlacementPolicy`.
constexpr std::array<std::string_view, 4> placementPolicyNames{"asking", "random", "least-own", "central"};

constexpr std::string_view nameOf(PlacementPolicy policy)
{
    return placementPolicyNames[static_cast<std::size_t>(policy)];
}

/// A kind of call with its arrival rate and time limits.
struct CallKind
{
    std::string_view name;
    double callsPerSecond = 100;
    /// Mean time in a slot of an upstream at normal speed.
    Millis meanServiceTime{90};
    /// A call answered after this time is late.
    Millis objective{250};
    /// Time after which the caller no longer waits.
    Millis deadline{800};
    /// Whether the call may run more than once.
    bool idempotent = true;
    /// Priority; 0 is the most urgent.
    int rank = 0;
};

/// Multiplies the arrival rate of a kind by `factor` for a period; `to` is excluded.
struct LoadBurst
{
    Millis from;
    Millis to;
    double factor = 1;
    /// Index of the kind; -1 for all kinds.
    int kind = -1;
};

/// Options of a simulated fleet whose upstreams change their speed several times per second and slow down when they are nearly full.
struct PlacementSimulationOptions
{
    PlacementPolicy policy = PlacementPolicy::Probing;
    std::uint64_t seed = 1;
    /// Number of daemons; each call arrives at a random one.
    int daemons = 19;
    int upstreams = 33;
    /// Calls that an upstream runs at the same time.
    int slots = 3;
    /// Attempts that may wait at an upstream; further ones end as incomplete.
    int queueLimit = 6;
    /// Whether upstreams report their load in answers and to probes.
    bool reportsLoad = true;
    /// Probability that an upstream is slow during a period of `speedPeriod`.
    double slowShare = 0.25;
    /// Factor on the service times of an upstream that is slow.
    double slowFactor = 5;
    /// Interval at which each upstream's speed is drawn anew.
    Millis speedPeriod{150};
    /// Utilization of its slots above which an upstream slows down, up to a factor of 1 + `contentionSlowdown` when it is full.
    double knee = 0.8;
    double contentionSlowdown = 1.7;
    /// One-way network delay between a daemon and an upstream.
    Millis networkDelay{0.5};
    /// Interval at which each daemon sends its contention samples to all others.
    Millis reportInterval{250};
    /// Period in which calls arrive.
    Millis duration{20000};
    /// Calls created before this time only count in `PlacementSimulationResult::inBurst`.
    Millis warmUp{4000};
    /// Limit of the probes that an upstream receives from all daemons, averaged over the upstreams; the probe tokens of the daemons
    /// allow 0.9 of it.
    double probesPerSecond = 60;
    std::vector<CallKind> kinds;
    std::vector<LoadBurst> bursts;
    /// The first `faultyUpstreams` upstreams break off the share `incompleteAnswerShare` of their answers.
    int faultyUpstreams = 0;
    double incompleteAnswerShare = 0.5;
};

/// Number of calls of a kind by outcome; `calls` is their sum.
struct CallKindResult
{
    int calls = 0;
    int inTime = 0;
    /// Answered after the objective.
    int late = 0;
    int refused = 0;
    int failed = 0;
};

/// Results of one run.
struct PlacementSimulationResult
{
    /// By kind, for calls created after the warm-up.
    std::vector<CallKindResult> kinds;
    /// By kind, for calls created during a burst.
    std::vector<CallKindResult> inBurst;
    /// Probes that the daemons sent.
    std::uint64_t probes = 0;
    /// Retries and hedges.
    std::uint64_t extraAttempts = 0;
    /// Repeated executions of calls that are not idempotent.
    int ranTwice = 0;
    /// Refusals of calls that had run.
    int refusedButRan = 0;

    /// Share, from 0 to 1, of the calls that were answered in time, among those created during a burst (`burstsOnly`) or among those
    /// created after the warm-up; 0 if there are none.
    double inTimeShare(bool burstsOnly) const;
};

/// Runs a simulation; the same options give the same result.
PlacementSimulationResult simulatePlacement(const PlacementSimulationOptions &options);

/// The fleets of the sites Sicilia and Papel at their busiest, with a burst of the most urgent kind in the middle.
PlacementSimulationOptions siciliaBurst();
PlacementSimulationOptions papelBurst();

}

#endif
