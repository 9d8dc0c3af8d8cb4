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

/// Cumulative counters of one source, as written to the log.
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

/// One record of the usage stream. The records of each writer form a hash chain.
struct UsageRecord
{
    UsageSource writer;
    /// Position in the writer's chain, from 0.
    std::uint64_t sequence = 0;
    /// SHA-256 of the writer's previous encoded record, in hex; empty for its first.
    std::string previousHash;
    /// Wall-clock time of writing.
    Millis at;
    std::vector<UsageEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(writer, sequence, previousHash, at, entries);
    }
};

/// Why a usage record cannot be decoded.
enum class UsageRecordError : std::uint8_t {
    Malformed,
    /// Written in a newer format version.
    FutureFormat,
};

/// Serializes a record in the current format version.
std::string encode(const UsageRecord &record);
/// Parses the bytes that `encode` returned.
Result<UsageRecord, UsageRecordError> decodeUsageRecord(std::string_view bytes);

/// Builds the hash chain of one writer.
class UsageChain
{
public:
    explicit UsageChain(UsageSource writer);

    /// Encodes the next record. Each call advances the chain, so the caller must keep unsent bytes and send them unchanged.
    std::string encodeNext(std::vector<UsageEntry> entries, Millis at);

private:
    UsageSource m_writer;
    std::uint64_t m_nextSequence = 0;
    std::string m_previousHash;
};

/// What an audit found wrong with a record.
enum class ChainFaultKind : std::uint8_t {
    /// At least one record of the chain is missing before this one.
    Gap,
    /// The sequence number or previous hash does not follow from the preceding record.
    Break,
    /// A source reports fewer calls than earlier.
    Shrunk,
    /// The record cannot be decoded.
    Unreadable,
};

/// Name of the fault kind as printed in reports.
std::string_view nameOf(ChainFaultKind kind);

/// A fault found in the usage stream.
struct ChainFault
{
    ChainFaultKind kind = ChainFaultKind::Gap;
    /// Log offset of the record.
    std::int64_t offset = 0;
    /// Empty, with sequence 0, for a record that cannot be decoded.
    UsageSource writer;
    std::uint64_t sequence = 0;
};

/// Recomputes usage totals from the records of the usage stream and verifies the hash chain of each writer.
class UsageAudit
{
public:
    /// Processes the record at `offset` of the log; records must be added in log order.
    ///
    /// Records of a writer may be out of order and repeated: what the log lost in a restore is appended again.
    void addRecord(std::int64_t offset, std::string_view bytes);

    /// Faults of the records added so far.
    std::vector<ChainFault> faults() const;
    /// Number of records added, repeats and unreadable ones included.
    std::uint64_t records() const
    {
        return m_records;
    }
    /// Number of records that equal an earlier record of their writer.
    std::uint64_t repeats() const
    {
        return m_repeats;
    }
    /// Usage over all days.
    UsageTable total() const
    {
        return sumOf(m_sources);
    }
    /// Usage by day since the Unix epoch; an increase counts for the day of the record that first reported it.
    const std::map<std::int64_t, UsageTable> &byDay() const
    {
        return m_byDay;
    }

private:
    struct Link
    {
        std::int64_t offset = 0;
        std::string previousHash;
        std::string hash;
    };

    /// Records of one writer by sequence number.
    using Chain = std::map<std::uint64_t, Link>;

    void addLink(std::int64_t offset, const UsageRecord &record, const std::string &hash);
    void countEntry(std::int64_t offset, const UsageRecord &record, const UsageEntry &entry);

    std::map<UsageSource, Chain> m_chains;
    UsageBySource m_sources;
    std::map<std::int64_t, UsageTable> m_byDay;
    /// Faults of single records; those between the records of a chain are found by faults().
    std::vector<ChainFault> m_faults;
    std::uint64_t m_records = 0;
    std::uint64_t m_repeats = 0;
};

}

#endif
