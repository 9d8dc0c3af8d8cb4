#ifndef LABURNUMMAST_CORE_USAGE_USAGECHAIN_H
#define LABURNUMMAST_CORE_USAGE_USAGECHAIN_H

#include "core/millis.h"
#include "core/result.h"
#include "core/usage/usageledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Usage
{

/// Cumulative counters of one source as written to the log.
struct UsageEntry
{
    UsageSource source;
    UsageTable table;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(source, table);
    }
};

/// One record of the usage stream; each writer's records form a chain by hash.
struct UsageRecord
{
    UsageSource writer;
    std::uint64_t sequence = 0;
    /// Hash of the writer's record before; empty for its first.
    std::string previousHash;
    Millis at;
    std::vector<UsageEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(writer, sequence, previousHash, at, entries);
    }
};

enum class UsageRecordError : std::uint8_t {
    Malformed,
    FutureFormat,
};

std::string encode(const UsageRecord &record);
Result<UsageRecord, UsageRecordError> decodeUsageRecord(std::string_view bytes);

/// Builds the chain of one writer.
class UsageChain
{
public:
    explicit UsageChain(UsageSource writer);

    /// The next record's bytes. The chain moves on with each call: unsent bytes must be kept and sent as they are.
    std::string encodeNext(std::vector<UsageEntry> entries, Millis at);

private:
    UsageSource m_writer;
    std::uint64_t m_nextSequence = 0;
    std::string m_previousHash;
};

enum class ChainFaultKind : std::uint8_t {
    /// A record of the chain is missing.
    Gap,
    /// A record does not follow from the one before.
    Break,
    /// A count is smaller than an earlier record of its source said.
    Shrunk,
    Unreadable,
};

std::string_view nameOf(ChainFaultKind kind);

struct ChainFault
{
    ChainFaultKind kind = ChainFaultKind::Gap;
    std::int64_t offset = 0;
    UsageSource writer;
    std::uint64_t sequence = 0;
};

/// Recomputes the bill from the records of the usage stream and checks every chain.
class UsageAudit
{
public:
    void addRecord(std::int64_t offset, std::string_view bytes);

    const std::vector<ChainFault> &faults() const
    {
        return m_faults;
    }
    std::uint64_t records() const
    {
        return m_records;
    }
    std::uint64_t repeats() const
    {
        return m_repeats;
    }
    UsageTable total() const
    {
        return sumOf(m_sources);
    }
    /// Use by day: counts are booked on the day of the record that first showed them.
    const std::map<std::int64_t, UsageTable> &byDay() const
    {
        return m_byDay;
    }

private:
    struct Chain
    {
        std::uint64_t nextSequence = 0;
        std::string lastHash;
    };

    void checkChain(std::int64_t offset, const UsageRecord &record, const std::string &hash);
    void countEntry(std::int64_t offset, const UsageRecord &record, const UsageEntry &entry);

    std::map<UsageSource, Chain> m_chains;
    UsageBySource m_sources;
    std::map<std::int64_t, UsageTable> m_byDay;
    std::vector<ChainFault> m_faults;
    std::uint64_t m_records = 0;
    std::uint64_t m_repeats = 0;
};

}

#endif
