#include "core/routing/latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Routing
{
namespace
{

// Upper edge of the first bucket in milliseconds, and the ratio of one edge to the one before.
constexpr double lowestEdge = 0.05;
constexpr double bucketRatio = 1.2;
constexpr std::uint32_t decayThreshold = 4000;

Millis upperEdge(std::size_t bucket)
{
    return {lowestEdge * std::pow(bucketRatio, static_cast<double>(bucket))};
}

}

void LatencyHistogram::add(Millis latency)
{
    const double position = std::ceil(std::log(std::max(latency.count, lowestEdge) / lowestEdge) / std::log(bucketRatio));
    const auto bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    ++m_buckets[bucket];
    ++m_total;
    if (m_total >= decayThreshold) {
        decay();
    }
}

Millis LatencyHistogram::quantile(double q) const
{
    const double targetCount = q * m_total;
    double cumulativeCount = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        cumulativeCount += m_buckets[i];
        if (m_total > 0 && cumulativeCount >= targetCount) {
            return upperEdge(i);
        }
    }
    return {};
}

void LatencyHistogram::decay()
{
    m_total = 0;
    for (auto &it : m_buckets) {
        it /= 2;
        m_total += it;
    }
}

}
