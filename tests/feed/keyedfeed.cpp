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
        recorder.feed.applySnapshot({}, {.offset = 0});
        for (const auto &it : records) {
            recorder.feed.apply({&it, 1}, {.offset = it.offset + 1});
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
    recorder.feed.applySnapshot(newer, {.offset = 9});
    const std::vector<KeyedRecord> stale{valueRecord("a", 3, "old")};
    recorder.feed.applySnapshot(stale, {.offset = 4});
    CHECK(recorder.feed.end() == 9);
    CHECK(recorder.reportedValues["a"] == "new");
    CHECK(recorder.reportedValues["b"] == "new");
}

TEST_CASE("A key that is missing from a newer snapshot is removed")
{
    FeedRecorder recorder;
    const std::vector<KeyedRecord> before{valueRecord("a", 1, "x"), valueRecord("b", 2, "x")};
    recorder.feed.applySnapshot(before, {.offset = 3});
    const std::vector<KeyedRecord> after{valueRecord("b", 2, "x"), valueRecord("c", 6, "x")};
    recorder.feed.applySnapshot(after, {.offset = 7});
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
        source.feed.applySnapshot({}, {.offset = 0});
        std::int64_t offset = 0;
        for (int i = 0; i < 60; ++i) {
            const auto key = std::string(1, static_cast<char>('a' + random() % 6));
            const auto record = random() % 3 == 0 ? removalRecord(key, offset) : valueRecord(key, offset, std::to_string(offset));
            ++offset;
            source.feed.apply({&record, 1}, {.offset = offset});
            if (random() % 4 == 0) {
                follower.feed.applyDelta(source.feed.deltaSince(follower.feed.hasSnapshot() ? follower.feed.position() : LogPosition{}));
            }
        }
        follower.feed.applyDelta(source.feed.deltaSince(follower.feed.hasSnapshot() ? follower.feed.position() : LogPosition{}));
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
    source.feed.applySnapshot(sourceRecords, {.offset = 10});
    FeedRecorder follower;
    const std::vector<KeyedRecord> followerRecords{valueRecord("a", 1, "x"), valueRecord("b", 2, "x")};
    follower.feed.applySnapshot(followerRecords, {.offset = 3});
    const auto delta = source.feed.deltaSince(follower.feed.position());
    CHECK(delta.isSnapshot);
    follower.feed.applyDelta(delta);
    CHECK_FALSE(follower.reportedValues["a"].has_value());
}

TEST_CASE("A snapshot of a later era that ends before the known offset does not hide the records that follow it")
{
    FeedRecorder recorder;
    const std::vector<KeyedRecord> before{valueRecord("a", 7, "8"), valueRecord("b", 5, "x"), valueRecord("c", 8, "x")};
    recorder.feed.applySnapshot(before, {.era = 1, .offset = 9});
    const std::vector<KeyedRecord> copy{valueRecord("a", 3, "4"), valueRecord("b", 2, "x")};
    recorder.feed.applySnapshot(copy, {.era = 2, .offset = 4});
    CHECK(recorder.feed.position() == LogPosition{.era = 2, .offset = 4});
    CHECK(recorder.reportedValues["a"] == "4");
    CHECK_FALSE(recorder.reportedValues["c"].has_value());
    const auto reused = valueRecord("a", 4, "9");
    recorder.feed.apply({&reused, 1}, {.era = 2, .offset = 5});
    CHECK(recorder.reportedValues["a"] == "9");
    CHECK(recorder.feed.position() == LogPosition{.era = 2, .offset = 5});
}

TEST_CASE("Records and snapshots of another era than the present one are not mixed with its records")
{
    FeedRecorder recorder;
    const std::vector<KeyedRecord> snapshot{valueRecord("a", 1, "new")};
    recorder.feed.applySnapshot(snapshot, {.era = 2, .offset = 2});
    const std::vector<KeyedRecord> other{valueRecord("a", 8, "other"), valueRecord("b", 9, "other")};
    CHECK(recorder.feed.apply(other, {.era = 1, .offset = 10}) == 0);
    CHECK(recorder.feed.apply(other, {.era = 3, .offset = 10}) == 0);
    CHECK(recorder.feed.applySnapshot(other, {.era = 1, .offset = 10}) == 0);
    CHECK(recorder.feed.position() == LogPosition{.era = 2, .offset = 2});
    CHECK(recorder.reportedValues["a"] == "new");
    CHECK(recorder.feed.size() == 1);
}

TEST_CASE("A record that a later era leaves unchanged is not reported as a change")
{
    int changes = 0;
    KeyedFeed feed([&](const KeyedRecord &) { ++changes; });
    const std::vector<KeyedRecord> snapshot{valueRecord("a", 1, "x")};
    feed.applySnapshot(snapshot, {.era = 1, .offset = 2});
    feed.applySnapshot(snapshot, {.era = 2, .offset = 2});
    CHECK(changes == 1);
}

TEST_CASE("Feeds that exchange deltas while the store returns from copies agree with its last history")
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 200; ++round) {
        FeedRecorder source;
        std::vector<FeedRecorder> followers(3);
        std::vector<KeyedRecord> log;
        std::int64_t era = 1;
        source.feed.applySnapshot({}, {.era = era});
        for (int i = 0; i < 80; ++i) {
            if (random() % 20 == 0) {
                log.resize(random() % (log.size() + 1));
                std::map<std::string, KeyedRecord> newest;
                for (const auto &it : log) {
                    newest[it.key] = it;
                }
                std::vector<KeyedRecord> snapshot;
                for (const auto &[key, it] : newest) {
                    if (it.value) {
                        snapshot.push_back(it);
                    }
                }
                source.feed.applySnapshot(snapshot, {.era = ++era, .offset = static_cast<std::int64_t>(log.size())});
            }
            const auto offset = static_cast<std::int64_t>(log.size());
            const auto key = std::string(1, static_cast<char>('a' + random() % 6));
            log.push_back(random() % 3 == 0 ? removalRecord(key, offset) : valueRecord(key, offset, std::to_string(i)));
            source.feed.apply({&log.back(), 1}, {.era = era, .offset = offset + 1});
            auto &follower = followers[random() % followers.size()].feed;
            const auto &peer = random() % 2 == 0 ? source.feed : followers[random() % followers.size()].feed;
            if (peer.hasSnapshot()) {
                follower.applyDelta(peer.deltaSince(follower.hasSnapshot() ? follower.position() : LogPosition{}));
            }
        }
        for (auto &it : followers) {
            it.feed.applyDelta(source.feed.deltaSince(it.feed.hasSnapshot() ? it.feed.position() : LogPosition{}));
            CHECK(it.feed.position() == source.feed.position());
            for (char c = 'a'; c < 'g'; ++c) {
                const auto *followed = it.feed.find(std::string(1, c));
                const auto *expected = source.feed.find(std::string(1, c));
                CHECK((followed ? *followed : std::nullopt) == (expected ? *expected : std::nullopt));
            }
        }
    }
}
