#ifndef LABURNUMMAST_ENTRY_LATENCYTOTALS_H
#define LABURNUMMAST_ENTRY_LATENCYTOTALS_H

#include "core/millis.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace Laburnummast::Entry
{

/// Latencies since the start in fixed buckets, as needed for a metrics histogram.
struct LatencyTotals
{
    /// Inclusive upper bounds of the buckets; longer latencies count only in `count` and `sum`.
    static constexpr std::array<Millis, 12> upperBounds{
        {{5}, {10}, {25}, {50}, {100}, {150}, {250}, {500}, {1000}, {2500}, {5000}, {10000}}};

    /// Latencies in each bucket, without those of lower buckets.
    std::array<std::uint64_t, upperBounds.size()> buckets{};
    std::uint64_t count = 0;
    Millis sum;

    void add(Millis latency)
    {
        ++count;
        sum += latency;
        const auto bound = std::lower_bound(upperBounds.begin(), upperBounds.end(), latency);
        if (bound != upperBounds.end()) {
            ++buckets[static_cast<std::size_t>(bound - upperBounds.begin())];
        }
    }
};

}

#endif
