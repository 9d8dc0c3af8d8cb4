#ifndef LABURNUMMAST_CORE_PLACEMENT_LOADREPORT_H
#define LABURNUMMAST_CORE_PLACEMENT_LOADREPORT_H

#include "core/millis.h"

#include <optional>

namespace Laburnummast::Placement
{

/// Load of an upstream as reported by the upstream itself.
struct LoadReport
{
    /// Calls that are running.
    double running = 0;
    /// Calls that are queued.
    double waiting = 0;
    /// Calls that it can run at the same time.
    double slots = 1;
    /// Current duration of work on its host relative to the usual one; 1 is normal. Changes many times a second.
    double slowness = 1;
};

/// Result of probing an upstream.
struct ProbeResult
{
    /// A valid answer arrived; the other fields are meaningful only then.
    bool answered = false;
    /// The upstream reports itself healthy and is not shutting down.
    bool healthy = true;
    /// The answer came from a different upstream instance than the expected one.
    bool wrongInstance = false;
    /// The upstream was too full to serve the probe itself.
    bool refused = false;
    /// Empty if the answer carries no load.
    std::optional<LoadReport> load;
    /// Remaining warm-up time; empty if the answer states none.
    std::optional<Millis> coldRemaining;
};

}

#endif
