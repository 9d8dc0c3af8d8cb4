#include "core/placement/domainloads.h"

#include <algorithm>
#include <map>

namespace Laburnummast::Placement
{
namespace
{

// Reports up to this age count. A daemon with few calls probes each upstream rarely.
constexpr Millis maxReportAge = 1_s;

struct Sums
{
    /// Slots of all upstreams, and those with a recent report.
    double slots = 0;
    double knownSlots = 0;
    double calls = 0;
    double queued = 0;
    Millis probeTime{};
    int probed = 0;
};

Millis meanProbeTime(const Sums &sums)
{
    return sums.probed > 0 ? sums.probeTime * (1.0 / sums.probed) : 0_ms;
}

}

std::vector<DomainLoad> domainLoads(const UpstreamSet &upstreams, std::string_view home, Millis typicalLatency, Millis now)
{
    std::map<std::string_view, Sums> domains;
    for (UpstreamId id = 0; id < upstreams.size(); ++id) {
        const auto &entry = upstreams[id];
        const auto &view = entry.view;
        if (!entry.listed || !entry.availability.accepts(now) || view.inBackoff(now) || entry.isLimited(now)) {
            continue;
        }
        auto &sums = domains[view.spec().domain];
        sums.slots += view.slots();
        if (view.hasFreshReport(now, maxReportAge)) {
            sums.knownSlots += view.slots();
            sums.calls += view.estimatedCalls();
            sums.queued += std::max(0.0, view.estimatedCalls() - view.slots());
        }
        if (entry.probeTime) {
            sums.probeTime = sums.probeTime + *entry.probeTime;
            ++sums.probed;
        }
    }
    const auto own = domains.find(home);
    const auto ownProbeTime = own == domains.end() ? 0_ms : meanProbeTime(own->second);
    std::vector<DomainLoad> loads;
    for (const auto &[name, sums] : domains) {
        const double part = sums.knownSlots > 0 ? sums.slots / sums.knownSlots : 0;
        // Without any report nothing is known of its room, so it counts as full.
        const double calls = sums.knownSlots > 0 ? sums.calls * part : sums.slots;
        loads.push_back({.domain = name,
                         .slots = sums.slots,
                         .calls = calls,
                         .wait = sums.slots > 0 ? typicalLatency * (sums.queued * part / sums.slots) : 0_ms,
                         .extraRoundTrip = name == home ? 0_ms : std::max(0_ms, meanProbeTime(sums) - ownProbeTime)});
    }
    return loads;
}

}
