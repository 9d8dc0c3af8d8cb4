#ifndef LABURNUMMAST_MODEL_MEASURE_H
#define LABURNUMMAST_MODEL_MEASURE_H

#include "model/call.h"
#include "model/scenario.h"
#include "model/simulation.h"

#include <span>

namespace Laburnummast::Model
{

/// Figures of all calls of a run.
Measures measureCalls(const Scenario &scenario, std::span<const Call> calls);

}

#endif
