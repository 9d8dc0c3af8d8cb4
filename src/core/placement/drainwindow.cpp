#include "core/placement/drainwindow.h"

namespace Laburnummast::Placement
{
namespace
{

// Few calls take longer than this multiple of the usual latency.
constexpr double maxLatencyFactor = 2;

}

bool DrainWindow::allows(Millis now, Millis deadline, Millis usualLatency) const
{
    // At its deadline a call is over in any case. A latency is only an expectation, which is enough while there is time to spare.
    return (now < end && deadline <= end) || (now < lateFrom && now + usualLatency * maxLatencyFactor <= end);
}

}
