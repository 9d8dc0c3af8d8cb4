#ifndef LABURNUMMAST_CORE_ROUTING_LATENCYHISTOGRAM_H
#define LABURNUMMAST_CORE_ROUTING_LATENCYHISTOGRAM_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Laburnummast::Routing
{

/// Histogram of recent latencies in logarithmic buckets; old values lose weight.
class LatencyHistogram
{
public:
    /// Counts one latency. Once the total reaches 4000, all counts are halved.
    void add(Millis latency);
    /// Upper edge of the bucket that contains the quantile `q`, from 0 to 1; 0 while the histogram is empty.
    Millis quantile(double q) const;
    /// Share of the latencies that are at most as long as `latency`, from 0 to 1; 0 while the histogram is empty.
    double shareBelow(Millis latency) const;
    /// Latencies that still count.
    std::size_t count() const
    {
        return m_total;
    }
    bool empty() const
    {
        return m_total == 0;
    }

private:
    static constexpr std::size_t bucketCount = 72;

    void decay();

    std::array<std::uint32_t, bucketCount> m_buckets{};
    std::uint32_t m_total = 0;
};

}

#endif
