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

/// What happens to the modelled system at some time.
enum class FaultKind : std::uint8_t {
    Slow,
    Fail,
    Mislead,
    Drain,
    Restart,
    Flood,
    Kill,
    Silence,
    LoseAnswers,
    CrossAnswers,
    Heal,
};

struct Fault
{
    Millis at;
    FaultKind kind = FaultKind::Slow;
    /// How many workers or entries it strikes.
    int targetCount = 0;
    /// First worker or entry that it strikes.
    int firstTarget = 0;
    /// Factor, share or load, as the kind has it.
    double magnitude = 0;
    Priority priority = Priority::Urgent;
    /// Set if one partner alone floods.
    std::optional<int> partner;
};

/// What a measure is compared with.
enum class Reference : std::uint8_t {
    None,
    Central,
    Before,
    BestBaseline,
};

struct Expectation
{
    std::string measure;
    bool atMost = true;
    double bound = 0;
    Reference reference = Reference::None;
    int line = 0;
};

/// One scripted experiment: a system, its load, what happens to it and what is expected.
struct Scenario
{
    std::string name;
    int entries = 16;
    int dispatchers = 4;
    int workers = 30;
    int slots = 3;
    int domains = 4;
    int callers = 300;
    int partners = 3;
    Millis meanServiceTime = 20_ms;
    double serviceTimeSigma = 1.0;
    Millis sameDomainDelay = 0.1_ms;
    Millis otherDomainDelay = 0.5_ms;
    Millis clientDelay = 3_ms;
    Millis entryListLifetime = 3_s;
    Millis warmUp = 4_s;
    Millis duration = 20_s;
    double load = 0.7;
    std::array<double, priorityCount> mix{0.3, 0.4, 0.3};
    std::array<Millis, priorityCount> deadlines{500_ms, 2_s, 30_s};
    std::vector<Fault> faults;
    std::vector<Expectation> expectations;

    /// Calls a second that the workers can take when all is well.
    double capacity() const
    {
        return workers * slots * 1000.0 / meanServiceTime.count;
    }
    Millis firstFaultTime() const;
};

struct ScenarioError
{
    std::string name;
    int line = 0;
    std::string statement;
};

/// Reads a scenario script; docs/SCENARIOS.md describes the language.
Result<Scenario, ScenarioError> parseScenario(std::string_view name, std::string_view text);

}

#endif
