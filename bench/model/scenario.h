#ifndef LABURNUMMAST_MODEL_SCENARIO_H
#define LABURNUMMAST_MODEL_SCENARIO_H

#include "core/millis.h"
#include "core/priority.h"
#include "core/result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Model
{

/// A change that a scenario makes to the simulated system.
enum class FaultKind : std::uint8_t {
    /// Workers take `magnitude` times as long for each call.
    Slow,
    /// Workers answer every call with a quick failure.
    Fail,
    /// Workers report that they are idle.
    Mislead,
    /// Workers finish the calls that they have and reject new ones.
    Drain,
    /// Workers start cold and are slower for a while.
    Restart,
    /// Additional calls of one priority arrive at `magnitude` times the capacity.
    Flood,
    /// Entry hosts crash.
    Kill,
    /// Attempts on the open connections to workers are never answered.
    Silence,
    /// The share `magnitude` of all answers is lost.
    LoseAnswers,
    /// The share `magnitude` of all answers belongs to another call and is discarded as incomplete.
    CrossAnswers,
    /// Ends `Slow`, `Fail`, `Mislead` and `Drain` of workers.
    Heal,
};

/// A fault at a point in time.
struct Fault
{
    Millis at;
    FaultKind kind = FaultKind::Slow;
    /// Number of workers or entry hosts that are affected.
    int targetCount = 0;
    /// Index of the first worker or entry host that is affected; the others follow it.
    int firstTarget = 0;
    /// Factor, share or load; its meaning depends on the kind.
    double magnitude = 0;
    /// Priority of the calls of a flood.
    Priority priority = Priority::Urgent;
    /// Partner that causes the flood; empty if all partners do.
    std::optional<int> partner;
};

/// What the bound of an expectation is relative to.
enum class Reference : std::uint8_t {
    /// Nothing: the bound is absolute.
    None,
    /// The same measure under `Policy::Central`.
    Central,
    /// The same measure of the same run before the first fault.
    Before,
    /// The best value of the same measure among the baseline policies.
    BestBaseline,
};

/// A bound on a measure that a run has to meet.
struct Expectation
{
    /// Name of the measure.
    std::string measure;
    /// Whether `bound` is an upper bound; otherwise it is a lower bound.
    bool atMost = true;
    /// Absolute value, or factor on the reference.
    double bound = 0;
    Reference reference = Reference::None;
    /// Line of the script, from 1.
    int line = 0;
};

/// A scripted simulation: the system, its load, the faults and the expected measures.
struct Scenario
{
    std::string name;
    /// Number of entry hosts.
    int entries = 16;
    /// Number of entry hosts that dispatch the service under `Policy::Laburnummast`.
    int dispatchers = 4;
    int workers = 30;
    /// Calls that a worker runs at the same time.
    int slots = 3;
    /// Number of failure domains; entry hosts and workers are spread over them evenly.
    int domains = 4;
    int callers = 300;
    int partners = 3;
    /// Mean and sigma of the log-normal service time of a call at a worker without faults.
    Millis meanServiceTime = 20_ms;
    double serviceTimeSigma = 1.0;
    /// One-way network delays between an entry host and a worker, and between a caller and an entry host.
    Millis sameDomainDelay = 0.1_ms;
    Millis otherDomainDelay = 0.5_ms;
    Millis clientDelay = 3_ms;
    /// How long a caller uses a list of entry hosts before it fetches a new one.
    Millis entryListLifetime = 3_s;
    /// Calls before this time are not measured.
    Millis warmUp = 4_s;
    /// Period in which calls arrive.
    Millis duration = 20_s;
    /// Arrival rate relative to the capacity, without floods.
    double load = 0.7;
    /// Shares of the arriving calls by priority.
    std::array<double, priorityCount> mix{0.3, 0.4, 0.3};
    /// Time limits of the calls by priority, from their arrival at the entry host.
    std::array<Millis, priorityCount> deadlines{500_ms, 2_s, 30_s};
    /// Sorted by time.
    std::vector<Fault> faults;
    std::vector<Expectation> expectations;

    /// Calls per second that the workers can serve without faults.
    double capacity() const
    {
        return workers * slots * 1000.0 / meanServiceTime.count;
    }
    /// Time of the first fault; the end of the warm-up if there is none.
    Millis firstFaultTime() const;
};

/// The first error in a scenario script.
struct ScenarioError
{
    /// Name of the scenario.
    std::string name;
    /// Line of the script, from 1.
    int line = 0;
    /// Words of the invalid statement; empty if the line is not a statement at all.
    std::string statement;
};

/// Parses the script of the scenario `name`; docs/SCENARIOS.md describes the language.
Result<Scenario, ScenarioError> parseScenario(std::string_view name, std::string_view text);

}

#endif
