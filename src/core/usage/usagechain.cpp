#include "core/usage/usagechain.h"

#include "core/keyedhash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace Laburnummast::Usage
{
namespace
{

constexpr std::uint8_t recordFormat = 1;
constexpr Millis dayLength = 86400_s;

UsageCounters increase(const UsageCounters &from, const UsageCounters &to)
{
    return {.calls = to.calls - from.calls,
            .refused = to.refused - from.refused,
            .slotMicros = to.slotMicros - from.slotMicros,
            .bytesIn = to.bytesIn - from.bytesIn,
            .bytesOut = to.bytesOut - from.bytesOut,
            .probes = to.probes - from.probes};
}

}

std::string encode(const UsageRecord &record)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(recordFormat, record);
    return stream.str();
}

Result<UsageRecord, UsageRecordError> decodeUsageRecord(std::string_view bytes)
{
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t format = 0;
        archive(format);
        if (format > recordFormat) {
            return UsageRecordError::FutureFormat;
        }
        UsageRecord record;
        archive(record);
        return record;
    } catch (const std::exception &) {
        return UsageRecordError::Malformed;
    }
}

std::string_view nameOf(ChainFaultKind kind)
{
    switch (kind) {
    case ChainFaultKind::Gap:
        return "gap";
    case ChainFaultKind::Break:
        return "break";
    case ChainFaultKind::Shrunk:
        return "shrunk";
    case ChainFaultKind::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

UsageChain::UsageChain(UsageSource writer)
    : m_writer(std::move(writer))
{
}

std::string UsageChain::encodeNext(std::vector<UsageEntry> entries, Millis at)
{
    auto bytes = encode(UsageRecord{
        .writer = m_writer, .sequence = m_nextSequence++, .previousHash = m_previousHash, .at = at, .entries = std::move(entries)});
    m_previousHash = sha256Hex(bytes);
    return bytes;
}

void UsageAudit::addRecord(std::int64_t offset, std::string_view bytes)
{
    ++m_records;
    const auto decoded = decodeUsageRecord(bytes);
    if (std::holds_alternative<UsageRecordError>(decoded)) {
        m_faults.push_back({.kind = ChainFaultKind::Unreadable, .offset = offset, .writer = {}});
        return;
    }
    const auto &record = std::get<UsageRecord>(decoded);
    addLink(offset, record, sha256Hex(bytes));
    for (const auto &it : record.entries) {
        countEntry(offset, record, it);
    }
}

// An append whose acknowledgement was lost, and records that the log lost in a restore, are sent again with the same bytes. Such a
// repeat is not a fault.
void UsageAudit::addLink(std::int64_t offset, const UsageRecord &record, const std::string &hash)
{
    auto &chain = m_chains[record.writer];
    const auto [it, inserted]
        = chain.try_emplace(record.sequence, Link{.offset = offset, .previousHash = record.previousHash, .hash = hash});
    if (inserted) {
        return;
    }
    if (it->second.hash == hash) {
        ++m_repeats;
    } else {
        m_faults.push_back({.kind = ChainFaultKind::Break, .offset = offset, .writer = record.writer, .sequence = record.sequence});
    }
}

std::vector<ChainFault> UsageAudit::faults() const
{
    auto faults = m_faults;
    for (const auto &[writer, chain] : m_chains) {
        std::uint64_t nextSequence = 0;
        std::string lastHash;
        for (const auto &[sequence, link] : chain) {
            if (sequence != nextSequence) {
                faults.push_back({.kind = ChainFaultKind::Gap, .offset = link.offset, .writer = writer, .sequence = sequence});
            } else if (link.previousHash != lastHash) {
                faults.push_back({.kind = ChainFaultKind::Break, .offset = link.offset, .writer = writer, .sequence = sequence});
            }
            nextSequence = sequence + 1;
            lastHash = link.hash;
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const ChainFault &a, const ChainFault &b) { return a.offset < b.offset; });
    return faults;
}

void UsageAudit::countEntry(std::int64_t offset, const UsageRecord &record, const UsageEntry &entry)
{
    auto &table = m_sources[entry.source];
    // A record that was appended again after later ones states lower counters than these.
    const bool isNewest = m_chains[record.writer].rbegin()->first == record.sequence;
    const auto dayNumber = static_cast<std::int64_t>(record.at / dayLength);
    for (const auto &[key, counters] : entry.table) {
        auto &maximum = table[key];
        const auto before = maximum;
        maximum.mergeMaximum(counters);
        // Counters may only be lower than before in copies written by other members, which may be outdated.
        if (isNewest && entry.source == record.writer && counters.calls < before.calls) {
            m_faults.push_back({.kind = ChainFaultKind::Shrunk, .offset = offset, .writer = record.writer, .sequence = record.sequence});
        }
        m_byDay[dayNumber][key] += increase(before, maximum);
    }
}

}
