#include "core/feed/keyedfeed.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace Laburnummast::Feed;

namespace
{

// Records the last value that a feed reported for each key.
struct FeedRecorder
{
    std::map<std::string, std::optional<std::string>> reportedValues;
    KeyedFeed feed{[this](const KeyedRecord &it) { reportedValues[it.key] = it.value; }};
};

KeyedRecord valueRecord(const std::string &key, std::int64_t offset, const std::string &value)
{
    return {.key = key, .offset = offset, .value = value};
}

KeyedRecord removalRecord(const std::string &key, std::int64_t offset)
{
    return {.key = key, .offset = offset, .value = std::nullopt};
}

}

TEST_CASE("Records applied in any order and more than once leave the latest value of each key")
{
    const std::vector<KeyedRecord> log{valueRecord("a", 0, "1"),
                                       valueRecord("b", 1, "1"),
                                       removalRecord("a", 2),
                                       valueRecord("b", 3, "2"),
                                       valueRecord("a", 4, "3"),
                                       removalRecord("b", 5)};
    std::mt19937_64 random(1);
    for (int i = 0; i < 200; ++i) {
        auto records = log;
        records.insert(records.end(), log.begin(), log.end());
        std::shuffle(records.begin(), records.end(), random);
        FeedRecorder recorder;
        recorder.feed.applySnapshot({}, 0);
        for (const auto &it : records) {
            recorder.feed.apply({&it, 1}, it.offset + 1);
        }
        CHECK(recorder.feed.end() == 6);
        CHECK(recorder.reportedValues["a"] == "3");
        CHECK_FALSE(recorder.reportedValues["b"].has_value());
    }
}

TEST_CASE("A snapshot older than the known records changes nothing")
{
    FeedRecorder recorder;
    const std::vector<KeyedRecord> newer{valueRecord("a", 7, "new"), valueRecord("b", 8, "new")};
    recorder.feed.applySnapshot(newer, 9);
    const std::vector<KeyedRecord> stale{valueRecord("a", 3, "old")};
    recorder.feed.applySnapshot(stale, 4);
    CHECK(recorder.feed.end() == 9);
    CHECK(recorder.reportedValues["a"] == "new");
    CHECK(recorder.reportedValues["b"] == "new");
}

TEST_CASE("A key that is missing from a newer snapshot is removed")
{
    FeedRecorder recorder;
    const std::vector<KeyedRecord> before{valueRecord("a", 1, "x"), valueRecord("b", 2, "x")};
    recorder.feed.applySnapshot(before, 3);
    const std::vector<KeyedRecord> after{valueRecord("b", 2, "x"), valueRecord("c", 6, "x")};
    recorder.feed.applySnapshot(after, 7);
    CHECK_FALSE(recorder.reportedValues["a"].has_value());
    CHECK(recorder.reportedValues["c"] == "x");
    CHECK(recorder.feed.size() == 2);
}

TEST_CASE("A feed that applies the deltas of another feed ends with the same records")
{
    std::mt19937_64 random(2);
    for (int round = 0; round < 100; ++round) {
        FeedRecorder source;
        FeedRecorder follower;
        source.feed.applySnapshot({}, 0);
        std::int64_t offset = 0;
        for (int i = 0; i < 60; ++i) {
            const auto key = std::string(1, static_cast<char>('a' + random() % 6));
            const auto record = random() % 3 == 0 ? removalRecord(key, offset) : valueRecord(key, offset, std::to_string(offset));
            ++offset;
            source.feed.apply({&record, 1}, offset);
            if (random() % 4 == 0) {
                follower.feed.applyDelta(source.feed.deltaSince(follower.feed.hasSnapshot() ? follower.feed.end() : 0));
            }
        }
        follower.feed.applyDelta(source.feed.deltaSince(follower.feed.hasSnapshot() ? follower.feed.end() : 0));
        CHECK(follower.feed.end() == source.feed.end());
        for (char c = 'a'; c < 'g'; ++c) {
            const auto *followed = follower.feed.find(std::string(1, c));
            const auto *expected = source.feed.find(std::string(1, c));
            CHECK((followed ? *followed : std::nullopt) == (expected ? *expected : std::nullopt));
        }
    }
}

TEST_CASE("A delta from an offset before the first snapshot of its source is a complete snapshot and removes unlisted keys")
{
    FeedRecorder source;
    const std::vector<KeyedRecord> sourceRecords{valueRecord("b", 9, "x")};
    source.feed.applySnapshot(sourceRecords, 10);
    FeedRecorder follower;
    const std::vector<KeyedRecord> followerRecords{valueRecord("a", 1, "x"), valueRecord("b", 2, "x")};
    follower.feed.applySnapshot(followerRecords, 3);
    const auto delta = source.feed.deltaSince(follower.feed.end());
    CHECK(delta.isSnapshot);
    follower.feed.applyDelta(delta);
    CHECK_FALSE(follower.reportedValues["a"].has_value());
}
