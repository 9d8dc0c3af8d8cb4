#include "core/feed/keyedfeed.h"

#include <algorithm>
#include <set>

namespace Laburnummast::Feed
{

KeyedFeed::KeyedFeed(OnChange onChange)
    : m_onChange(std::move(onChange))
{
}

bool KeyedFeed::applyRecord(const KeyedRecord &record)
{
    auto &current = m_records[record.key];
    if (record.offset <= current.offset) {
        return false;
    }
    const bool changed = current.offset < 0 || current.value != record.value;
    current = record;
    if (changed) {
        m_onChange(current);
    }
    return true;
}

std::size_t KeyedFeed::apply(std::span<const KeyedRecord> records, std::int64_t end)
{
    const auto applied = std::count_if(records.begin(), records.end(), [&](const KeyedRecord &it) { return applyRecord(it); });
    m_end = std::max(m_end, end);
    return static_cast<std::size_t>(applied);
}

std::size_t KeyedFeed::applySnapshot(std::span<const KeyedRecord> records, std::int64_t end)
{
    auto applied
        = static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [&](const KeyedRecord &it) { return applyRecord(it); }));
    if (end >= m_end) {
        std::set<std::string_view> listedKeys;
        for (const auto &it : records) {
            listedKeys.insert(it.key);
        }
        for (auto &[key, it] : m_records) {
            // A record at or after the snapshot's end is newer than the snapshot.
            if (it.value && it.offset < end && !listedKeys.contains(key)) {
                it.offset = end - 1;
                it.value.reset();
                m_onChange(it);
                ++applied;
            }
        }
        m_end = end;
        m_earliestDeltaOffset = m_hasSnapshot ? m_earliestDeltaOffset : end;
        m_hasSnapshot = true;
    }
    return applied;
}

std::size_t KeyedFeed::applyDelta(const FeedDelta &delta)
{
    return delta.isSnapshot ? applySnapshot(delta.records, delta.end) : apply(delta.records, delta.end);
}

FeedDelta KeyedFeed::deltaSince(std::int64_t from) const
{
    FeedDelta delta{.end = m_end, .isSnapshot = from < m_earliestDeltaOffset || from == 0, .records = {}};
    for (const auto &[key, it] : m_records) {
        if (delta.isSnapshot ? it.value.has_value() : it.offset >= from) {
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
