#ifndef LABURNUMMAST_CORE_USAGE_USAGELEDGER_H
#define LABURNUMMAST_CORE_USAGE_USAGELEDGER_H

#include <cstdint>
#include <map>
#include <string>

namespace Laburnummast::Usage
{

/// Who used what.
struct UsageKey
{
    std::string owner;
    std::string partner;
    std::string service;

    friend auto operator<=>(const UsageKey &, const UsageKey &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(owner, partner, service);
    }
};

/// Use since the counting process started; each count only grows.
struct UsageCounters
{
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t slotMicros = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t probes = 0;

    friend bool operator==(const UsageCounters &, const UsageCounters &) = default;
    UsageCounters &operator+=(const UsageCounters &other);
    /// The larger of each count: merging a copy twice, or an old one late, changes nothing.
    void mergeMaximum(const UsageCounters &other);

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(calls, refused, slotMicros, bytesIn, bytesOut, probes);
    }
};

/// One run of one host's process.
struct UsageSource
{
    std::string host;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const UsageSource &, const UsageSource &) = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(host, incarnation);
    }
};

using UsageTable = std::map<UsageKey, UsageCounters>;
using UsageBySource = std::map<UsageSource, UsageTable>;

/// Sum over all sources.
UsageTable sumOf(const UsageBySource &sources);

/// Cumulative counters of this process and copies of others'.
class UsageLedger
{
public:
    explicit UsageLedger(UsageSource self);

    void add(const UsageKey &key, const UsageCounters &delta);
    void merge(const UsageSource &source, const UsageTable &table);

    const UsageSource &self() const
    {
        return m_self;
    }
    const UsageBySource &sources() const
    {
        return m_sources;
    }
    const UsageTable &own() const
    {
        return m_sources.at(m_self);
    }
    UsageTable total() const
    {
        return sumOf(m_sources);
    }

private:
    UsageSource m_self;
    UsageBySource m_sources;
};

}

#endif
