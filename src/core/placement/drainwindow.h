#ifndef LABURNUMMAST_CORE_PLACEMENT_DRAINWINDOW_H
#define LABURNUMMAST_CORE_PLACEMENT_DRAINWINDOW_H

#include "core/millis.h"

namespace Laburnummast::Placement
{

/// Time in which a daemon that is being stopped still sends calls to upstreams.
struct DrainWindow
{
    /// From here on, a call is sent only if its deadline lies before `end`.
    Millis lateFrom;
    /// Time by which every call must be over.
    Millis end;

    /// Whether a call can still be sent and will be over before the end.
    ///
    /// Nobody waits for the answer after `deadline`; `usualLatency` is the usual time until it.
    bool allows(Millis now, Millis deadline, Millis usualLatency) const;
};

}

#endif
