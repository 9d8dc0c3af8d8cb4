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

// Number of the bucket with this upper edge; fractional between two edges.
double positionOf(Millis latency)
{
    return std::log(std::max(latency.count, lowestEdge) / lowestEdge) / std::log(bucketRatio);
}

Millis upperEdge(std::size_t bucket)
{
    return {lowestEdge * std::pow(bucketRatio, static_cast<double>(bucket))};
}

}

void LatencyHistogram::add(Millis latency)
{
    const auto bucket = std::min(static_cast<std::size_t>(std::ceil(positionOf(latency))), bucketCount - 1);
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

double LatencyHistogram::shareBelow(Millis latency) const
{
    if (m_total == 0 || latency <= Millis{}) {
        return 0;
    }
    const double position = positionOf(latency);
    double count = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        // Within a bucket the latencies count as spread evenly over its logarithmic width.
        count += m_buckets[i] * std::clamp(position - static_cast<double>(i) + 1, 0.0, 1.0);
    }
    return count / m_total;
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
