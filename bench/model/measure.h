#ifndef LABURNUMMAST_MODEL_MEASURE_H
#define LABURNUMMAST_MODEL_MEASURE_H

#include "model/call.h"
#include "model/scenario.h"
#include "model/simulation.h"

#include <span>

namespace Laburnummast::Model
{

/// Computes the measures that follow from the calls of a run: latencies in milliseconds, shares in percent, and counts.
Measures measureCalls(const Scenario &scenario, std::span<const Call> calls);

}

#endif
