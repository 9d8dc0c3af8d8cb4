#ifndef LABURNUMMAST_CORE_USAGE_USAGELEDGER_H
#define LABURNUMMAST_CORE_USAGE_USAGELEDGER_H

#include <cstdint>
#include <map>
#include <string>

namespace Laburnummast::Usage
{

/// Identifies what usage is billed to: a partner of an owner, and the service that it called.
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

/// Cumulative usage since the counting process started; no counter ever decreases.
struct UsageCounters
{
    /// Answered calls.
    std::uint64_t calls = 0;
    /// Calls that ended without an answer of an upstream.
    std::uint64_t refused = 0;
    /// Time that calls spent at upstreams, in microseconds.
    std::uint64_t slotMicros = 0;
    /// Bytes of request bodies.
    std::uint64_t bytesIn = 0;
    /// Bytes of response bodies.
    std::uint64_t bytesOut = 0;
    /// Probes of upstreams.
    std::uint64_t probes = 0;

    friend bool operator==(const UsageCounters &, const UsageCounters &) = default;
    UsageCounters &operator+=(const UsageCounters &other);
    /// Takes the larger value of each counter, so that merging a copy twice or an outdated copy late changes nothing.
    void mergeMaximum(const UsageCounters &other);

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(calls, refused, slotMicros, bytesIn, bytesOut, probes);
    }
};

/// Identifies one run of the process on a host.
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

/// Counters by what they are billed to.
using UsageTable = std::map<UsageKey, UsageCounters>;
/// Counters by the process that counted them.
using UsageBySource = std::map<UsageSource, UsageTable>;

/// Adds up the counters of all sources for each key.
UsageTable sumOf(const UsageBySource &sources);

/// Holds the cumulative counters of this process and copies of the counters of others.
class UsageLedger
{
public:
    explicit UsageLedger(UsageSource self);

    /// Adds to the counters of this process.
    void add(const UsageKey &key, const UsageCounters &delta);
    /// Merges a copy of the counters of `source`; outdated and repeated copies have no effect.
    void merge(const UsageSource &source, const UsageTable &table);

    const UsageSource &self() const
    {
        return m_self;
    }
    const UsageBySource &sources() const
    {
        return m_sources;
    }
    /// Counters of this process.
    const UsageTable &own() const
    {
        return m_sources.at(m_self);
    }
    /// Counters of all sources added up.
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
