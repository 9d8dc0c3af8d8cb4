#ifndef LABURNUMMAST_CORE_FEED_KEYEDFEED_H
#define LABURNUMMAST_CORE_FEED_KEYEDFEED_H

#include <compare>
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

/// Position in a log whose store may return from an older copy, after which it gives out offsets again.
struct LogPosition
{
    /// Number of the log's history, which rises by one when the store returns from a copy.
    std::int64_t era = 0;
    std::int64_t offset = 0;

    auto operator<=>(const LogPosition &) const = default;
};

/// Latest record of one key; a record without a value removes the key.
struct KeyedRecord
{
    std::string key;
    /// Offset in the log; -1 until a record of the key is applied in the present era.
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

/// Records up to, not including, the offset `end`, as one daemon sends them to another.
struct FeedDelta
{
    std::int64_t end = 0;
    /// Whether the records are a complete snapshot, not only those from some offset on.
    bool isSnapshot = false;
    std::vector<KeyedRecord> records;
    /// Era of all offsets.
    std::int64_t era = 0;

    LogPosition position() const
    {
        return {.era = era, .offset = end};
    }
};

/// Latest record of each key of a log; a record never replaces a newer one.
///
/// Records may come from the store or from another daemon, in any order and more than once, with the same result. Only a
/// snapshot starts a later era; records of another era than the present one are ignored.
class KeyedFeed
{
public:
    /// Called after the value of a key was changed or removed.
    using OnChange = std::function<void(const KeyedRecord &)>;

    /// Called before the changes that a snapshot of a later era makes to known records.
    using OnNewEra = std::function<void()>;

    explicit KeyedFeed(OnChange onChange, OnNewEra onNewEra = {});

    /// Applies records from before the position `end`; a record that is not newer than the known one of its key is ignored. Advances
    /// `end()` to `end` if that is later. Returns how many records were new.
    std::size_t apply(std::span<const KeyedRecord> records, const LogPosition &end);
    /// Applies a snapshot of all keys that exist at `end` and removes the others. Returns how many records were new, plus how many
    /// keys were removed.
    ///
    /// A snapshot that ends before `end()` in the same era removes nothing and leaves `end()` and `hasSnapshot()` unchanged. One of a
    /// later era replaces all records and `end()`, also if it ends earlier; one of an earlier era is ignored.
    std::size_t applySnapshot(std::span<const KeyedRecord> records, const LogPosition &end);
    /// Applies what another daemon sent. Returns the count of `applySnapshot` if it is a snapshot, otherwise that of `apply`.
    std::size_t applyDelta(const FeedDelta &delta);

    /// Returns what a daemon whose next record is at `from` does not know yet.
    ///
    /// The result is a complete snapshot if the offset of `from` is 0, of another era or so old that the records since then may lack
    /// removals.
    FeedDelta deltaSince(const LogPosition &from) const;

    /// Offset of the next record; 0 before any record is known.
    std::int64_t end() const
    {
        return m_end;
    }
    /// Era and offset of the next record.
    LogPosition position() const
    {
        return {.era = m_era, .offset = m_end};
    }
    /// Whether a snapshot has been applied.
    bool hasSnapshot() const
    {
        return m_hasSnapshot;
    }
    /// Value of a key; null if the key was never known, a pointer to an empty value if it was removed.
    const std::optional<std::string> *find(std::string_view key) const;
    /// Number of keys that have a value.
    std::size_t size() const;

private:
    bool applyRecord(const KeyedRecord &record);
    /// Makes the offsets of all records invalid; their values are kept until records of the new era replace them.
    void startEra(const LogPosition &end);

    OnChange m_onChange;
    OnNewEra m_onNewEra;
    std::map<std::string, KeyedRecord, std::less<>> m_records;
    std::int64_t m_era = 0;
    std::int64_t m_end = 0;
    /// A delta from an earlier offset would miss the removal of keys that were never known here.
    std::int64_t m_earliestDeltaOffset = 0;
    bool m_hasSnapshot = false;
};

}

#endif
