#ifndef LABURNUMMAST_CORE_PLACEMENT_LOADREPORT_H
#define LABURNUMMAST_CORE_PLACEMENT_LOADREPORT_H

#include "core/millis.h"

#include <optional>

namespace Laburnummast::Placement
{

/// Load of an upstream in its own words.
struct LoadReport
{
    double running = 0;
    double waiting = 0;
    double slots = 1;
    /// How long work takes on its host at this moment; 1 is usual. Changes many times a second.
    double slowness = 1;
};

/// What an upstream answered to a probe.
struct ProbeResult
{
    bool answered = false;
    /// It considers itself well and is not leaving.
    bool healthy = true;
    /// Another incarnation than the expected one answered.
    bool wrongInstance = false;
    /// It had no room for the probe itself.
    bool refused = false;
    std::optional<LoadReport> load;
};

}

#endif
