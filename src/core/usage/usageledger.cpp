#include "core/usage/usageledger.h"

#include <algorithm>

namespace Laburnummast::Usage
{

UsageCounters &UsageCounters::operator+=(const UsageCounters &other)
{
    calls += other.calls;
    refused += other.refused;
    slotMicros += other.slotMicros;
    bytesIn += other.bytesIn;
    bytesOut += other.bytesOut;
    probes += other.probes;
    return *this;
}

void UsageCounters::mergeMaximum(const UsageCounters &other)
{
    calls = std::max(calls, other.calls);
    refused = std::max(refused, other.refused);
    slotMicros = std::max(slotMicros, other.slotMicros);
    bytesIn = std::max(bytesIn, other.bytesIn);
    bytesOut = std::max(bytesOut, other.bytesOut);
    probes = std::max(probes, other.probes);
}

UsageLedger::UsageLedger(UsageSource self)
    : m_self(std::move(self))
{
    m_sources[m_self];
}

void UsageLedger::add(const UsageKey &key, const UsageCounters &delta)
{
    m_sources[m_self][key] += delta;
}

void UsageLedger::merge(const UsageSource &source, const UsageTable &table)
{
    auto &copy = m_sources[source];
    for (const auto &[key, counters] : table) {
        copy[key].mergeMaximum(counters);
    }
}

UsageTable sumOf(const UsageBySource &sources)
{
    UsageTable sum;
    for (const auto &[source, table] : sources) {
        for (const auto &[key, counters] : table) {
            sum[key] += counters;
        }
    }
    return sum;
}

}
