#include "entry/upstreamspecs.h"

namespace Laburnummast::Entry
{

UpstreamSpecsByService upstreamSpecs(const NodeView &view)
{
    UpstreamSpecsByService byService;
    for (const auto &it : *view.upstreams) {
        const auto *service = view.routes ? view.routes->service(it.record.service) : nullptr;
        byService[it.record.service].push_back({.id = it.record.id,
                                                .domain = it.record.domain,
                                                .slots = it.record.slots,
                                                .warmUpEnd = it.warmUpEnd,
                                                .startedAt = it.record.startedAt,
                                                .coldCallsPerSecond = service ? service->coldCallsPerSecond : 0});
    }
    return byService;
}

}
