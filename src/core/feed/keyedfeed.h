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

/// Latest record of one key; a record without a value removes the key.
struct KeyedRecord
{
    std::string key;
    /// Position in the log; -1 for a key without a record.
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

/// Records before the offset `end`, as one daemon sends them to another.
struct FeedDelta
{
    std::int64_t end = 0;
    /// Whether the records are a complete snapshot, not only those from some offset on.
    bool isSnapshot = false;
    std::vector<KeyedRecord> records;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(end, isSnapshot, records);
    }
};

/// Latest record of each key of a log; a record never replaces a newer one.
///
/// Records may come from the store or from another daemon, in any order and more than once, with the same result.
class KeyedFeed
{
public:
    /// Called after the value of a key changed or was removed.
    using OnChange = std::function<void(const KeyedRecord &)>;

    explicit KeyedFeed(OnChange onChange);

    /// Applies records that follow `end()` or overlap the known ones. Returns how many were new.
    std::size_t apply(std::span<const KeyedRecord> records, std::int64_t end);
    /// Applies a snapshot of all keys that exist at `end` and removes the others. Returns how many keys got a new record.
    ///
    /// A snapshot that is older than the known records removes nothing.
    std::size_t applySnapshot(std::span<const KeyedRecord> records, std::int64_t end);
    /// Applies what another daemon sent. Returns the same count as `apply` and `applySnapshot`.
    std::size_t applyDelta(const FeedDelta &delta);

    /// Returns what a daemon whose next offset is `from` does not know yet.
    ///
    /// The result is a complete snapshot where single records could miss removals.
    FeedDelta deltaSince(std::int64_t from) const;

    /// Offset of the next record; 0 before any record is known.
    std::int64_t end() const
    {
        return m_end;
    }
    /// Whether a snapshot has been applied.
    bool hasSnapshot() const
    {
        return m_hasSnapshot;
    }
    /// Value of a key; null if the key was never known, empty if it was removed.
    const std::optional<std::string> *find(std::string_view key) const;
    /// Number of keys that have a value.
    std::size_t size() const;

private:
    bool applyRecord(const KeyedRecord &record);

    OnChange m_onChange;
    std::map<std::string, KeyedRecord, std::less<>> m_records;
    std::int64_t m_end = 0;
    /// A delta from an earlier offset would miss the removal of keys that were never known here.
    std::int64_t m_earliestDeltaOffset = 0;
    bool m_hasSnapshot = false;
};

}

#endif
