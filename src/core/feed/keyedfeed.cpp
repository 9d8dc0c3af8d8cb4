#include "core/feed/keyedfeed.h"

#include <algorithm>
#include <set>

namespace Laburnummast::Feed
{

KeyedFeed::KeyedFeed(OnChange onChange, OnNewEra onNewEra)
    : m_onChange(std::move(onChange))
    , m_onNewEra(std::move(onNewEra))
{
}

bool KeyedFeed::applyRecord(const KeyedRecord &record)
{
    const auto [it, isNew] = m_records.try_emplace(record.key);
    auto &current = it->second;
    if (record.offset <= current.offset) {
        return false;
    }
    const bool changed = isNew || current.value != record.value;
    current = record;
    if (changed) {
        m_onChange(current);
    }
    return true;
}

void KeyedFeed::startEra(const LogPosition &end)
{
    m_era = end.era;
    m_end = 0;
    m_earliestDeltaOffset = end.offset;
    for (auto &[key, it] : m_records) {
        it.offset = -1;
    }
    if (m_hasSnapshot && m_onNewEra) {
        m_onNewEra();
    }
}

std::size_t KeyedFeed::apply(std::span<const KeyedRecord> records, const LogPosition &end)
{
    if (end.era != m_era) {
        return 0;
    }
    const auto applied = std::count_if(records.begin(), records.end(), [&](const KeyedRecord &it) { return applyRecord(it); });
    m_end = std::max(m_end, end.offset);
    return static_cast<std::size_t>(applied);
}

std::size_t KeyedFeed::applySnapshot(std::span<const KeyedRecord> records, const LogPosition &end)
{
    if (end.era < m_era) {
        return 0;
    }
    if (end.era > m_era) {
        startEra(end);
    }
    auto applied
        = static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [&](const KeyedRecord &it) { return applyRecord(it); }));
    if (end.offset >= m_end) {
        std::set<std::string_view> listedKeys;
        for (const auto &it : records) {
            listedKeys.insert(it.key);
        }
        for (auto &[key, it] : m_records) {
            // A record at or after the snapshot's end is newer than the snapshot.
            if (it.value && it.offset < end.offset && !listedKeys.contains(key)) {
                it.offset = end.offset - 1;
                it.value.reset();
                m_onChange(it);
                ++applied;
            }
        }
        m_end = end.offset;
        m_earliestDeltaOffset = m_hasSnapshot ? m_earliestDeltaOffset : end.offset;
        m_hasSnapshot = true;
    }
    return applied;
}

std::size_t KeyedFeed::applyDelta(const FeedDelta &delta)
{
    return delta.isSnapshot ? applySnapshot(delta.records, delta.position()) : apply(delta.records, delta.position());
}

FeedDelta KeyedFeed::deltaSince(const LogPosition &from) const
{
    const bool isSnapshot = from.era != m_era || from.offset < m_earliestDeltaOffset || from.offset == 0;
    FeedDelta delta{.end = m_end, .isSnapshot = isSnapshot, .records = {}, .era = m_era};
    for (const auto &[key, it] : m_records) {
        if (delta.isSnapshot ? it.value.has_value() : it.offset >= from.offset) {
            delta.records.push_back(it);
        }
    }
    return delta;
}

const std::optional<std::string> *KeyedFeed::find(std::string_view key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second.value;
}

std::size_t KeyedFeed::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &it) { return it.second.value.has_value(); }));
}

}
