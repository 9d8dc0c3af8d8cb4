#include "entry/loaddescription.h"

#include "core/text.h"

#include <cstdint>

namespace Laburnummast::Entry
{

std::string describeLoad(const Placement::UpstreamView &view, Millis now)
{
    if (!view.report()) {
        return Text::concat("none/own=", view.inFlight());
    }
    const auto &load = *view.report();
    return Text::concat(load.running,
                        "+",
                        load.waiting,
                        "/",
                        load.slots,
                        "x",
                        static_cast<int>(load.slowness * 100),
                        "@",
                        static_cast<std::int64_t>((now - view.reportedAt()).count),
                        "ms");
}

std::string describeDispatcher(const Placement::ServiceDispatcher &dispatcher, Millis now)
{
    return Text::concat("pressure=",
                        dispatcher.pressure(),
                        ",typical-ms=",
                        static_cast<std::int64_t>(dispatcher.latencyModel().typicalLatency().count),
                        ",full-crowding=",
                        dispatcher.latencyModel().contentionFactor(1),
                        ",upstreams=",
                        dispatcher.upstreamCount(),
                        ",limited=",
                        dispatcher.limitedUpstreams(now),
                        ",unavailable=",
                        dispatcher.unavailableUpstreams(now));
}

}
