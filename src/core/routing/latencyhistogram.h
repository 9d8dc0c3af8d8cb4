#ifndef LABURNUMMAST_CORE_ROUTING_LATENCYHISTOGRAM_H
#define LABURNUMMAST_CORE_ROUTING_LATENCYHISTOGRAM_H

#include "core/millis.h"

#include <array>
#include <cstdint>

namespace Laburnummast::Routing
{

/// Recent latencies in logarithmic buckets; old ones fade.
class LatencyHistogram
{
public:
    void add(Millis latency);
    /// Upper edge of the bucket that holds the share `q`; 0 while nothing is known.
    Millis quantile(double q) const;
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
