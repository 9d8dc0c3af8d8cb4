#ifndef LABURNUMMAST_ENTRY_LATENCYTOTALS_H
#define LABURNUMMAST_ENTRY_LATENCYTOTALS_H

#include "core/millis.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace Laburnummast::Entry
{

/// Latencies since the start in fixed buckets, as a metrics histogram needs them.
struct LatencyTotals
{
    static constexpr std::array<Millis, 12> edges{{{5}, {10}, {25}, {50}, {100}, {150}, {250}, {500}, {1000}, {2500}, {5000}, {10000}}};

    std::array<std::uint64_t, edges.size()> buckets{};
    std::uint64_t count = 0;
    Millis sum;

    void add(Millis latency)
    {
        ++count;
        sum += latency;
        const auto edge = std::lower_bound(edges.begin(), edges.end(), latency);
        if (edge != edges.end()) {
            ++buckets[static_cast<std::size_t>(edge - edges.begin())];
        }
    }
};

}

#endif
