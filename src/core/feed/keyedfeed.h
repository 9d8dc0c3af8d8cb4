#ifndef LABURNUMMAST_CORE_FEED_KEYEDFEED_H
#define LABURNUMMAST_CORE_FEED_KEYEDFEED_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Feed
{

/// Newest record of one key; without a value the key was removed.
struct KeyedRecord
{
    std::string key;
    std::int64_t offset = -1;
    std::optional<std::string> value;

    template <class Archive>
    void serialize(Archive &archive)
    {
        bool present = value.has_value();
        archive(key, offset, present);
        std::string text = value.value_or(std::string());
        archive(text);
        value = present ? std::optional<std::string>(std::move(text)) : std::nullopt;
    }
};

/// Records up to an offset, as one daemon hands them to another.
struct FeedDelta
{
    std::int64_t end = 0;
    /// The records are all there are, not only those after some offset.
    bool isSnapshot = false;
    std::vector<KeyedRecord> records;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(end, isSnapshot, records);
    }
};

/// Newest record of each key of a log, followed by offset; it never goes back.
///
/// The same state comes from the store or from another daemon, in any order and more than once.
class KeyedFeed
{
public:
    using OnChange = std::function<void(const KeyedRecord &)>;

    explicit KeyedFeed(OnChange onChange);

    /// Records that follow `end()`, or overlap what is known. Returns how many were new.
    std::size_t apply(std::span<const KeyedRecord> records, std::int64_t end);
    /// A list of all keys that exist at `end`. An older list than what is known removes nothing.
    std::size_t applySnapshot(std::span<const KeyedRecord> records, std::int64_t end);
    std::size_t applyDelta(const FeedDelta &delta);

    /// What a daemon that is at `from` does not know yet.
    FeedDelta deltaSince(std::int64_t from) const;

    /// Offset of the next record; 0 before anything is known.
    std::int64_t end() const
    {
        return m_end;
    }
    /// Whether the whole list was known once.
    bool hasSnapshot() const
    {
        return m_hasSnapshot;
    }
    const std::optional<std::string> *find(std::string_view key) const;
    std::size_t size() const;

private:
    bool applyRecord(const KeyedRecord &record);

    OnChange m_onChange;
    std::map<std::string, KeyedRecord, std::less<>> m_records;
    std::int64_t m_end = 0;
    /// Deltas from before this offset would miss removals of keys that were never known here.
    std::int64_t m_earliestDeltaOffset = 0;
    bool m_hasSnapshot = false;
};

}

#endif
