#ifndef LABURNUMMAST_MODEL_SIMULATION_H
#define LABURNUMMAST_MODEL_SIMULATION_H

#include "model/policy.h"
#include "model/scenario.h"

#include <cstdint>
#include <map>
#include <string>

namespace Laburnummast::Model
{

/// Measures of one run by name; docs/SCENARIOS.md lists them.
using Measures = std::map<std::string, double>;

/// Runs a scenario under a policy in simulated time; the same seed gives the same measures.
Measures simulate(const Scenario &scenario, Policy policy, std::uint64_t seed);

}

#endif
