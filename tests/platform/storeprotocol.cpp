#include "platform/storeprotocol.h"

#include <doctest/doctest.h>
#include <random>

using namespace Laburnummast;
using namespace Laburnummast::Platform;

namespace
{

std::string encodeBigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>(number >> (8 * i)));
    }
    return text;
}

// Encodes a record of a log response: its length, and its content of key length, key and value.
std::string encodeRecord(const std::string &key, const std::string &value)
{
    const auto content = std::string(1, static_cast<char>(key.size())) + key + value;
    return encodeBigEndian(content.size(), 4) + content;
}

}

TEST_CASE("Log records are decoded with their offsets, and a record without a value is a removal")
{
    const Http::Response response{.body = encodeBigEndian(12, 8) + encodeBigEndian(3, 8) + encodeRecord("a", "1") + encodeRecord("b", "")};
    const auto decoded = decodeLogRecords(response, 10);
    REQUIRE(std::holds_alternative<LogRecords>(decoded));
    const auto &log = std::get<LogRecords>(decoded);
    CHECK(log.end == 12);
    CHECK(log.nextOffset == 12);
    REQUIRE(log.records.size() == 2);
    CHECK(log.records[0].offset == 10);
    CHECK(log.records[0].value == "1");
    CHECK_FALSE(log.records[1].value.has_value());
}

TEST_CASE("A record whose key cannot be read is skipped, and the records after it keep their offsets")
{
    const Http::Response response{.body = encodeBigEndian(12, 8) + encodeBigEndian(0, 8) + encodeBigEndian(1, 4) + "\x09"
                                      + encodeRecord("b", "2")};
    const auto decoded = decodeLogRecords(response, 10);
    REQUIRE(std::holds_alternative<LogRecords>(decoded));
    const auto &log = std::get<LogRecords>(decoded);
    CHECK(log.unreadableCount == 1);
    REQUIRE(log.records.size() == 1);
    CHECK(log.records[0].offset == 11);
}

TEST_CASE("A response that ends within a record is malformed")
{
    auto body = encodeBigEndian(12, 8) + encodeBigEndian(0, 8) + encodeRecord("a", "1");
    body.pop_back();
    const auto decoded = decodeLogRecords({.body = body}, 0);
    REQUIRE(std::holds_alternative<StoreError>(decoded));
    CHECK(std::get<StoreError>(decoded) == StoreError::Malformed);
}

TEST_CASE("Each refusal of the store is decoded as its own error")
{
    CHECK(std::get<StoreError>(decodeLogRecords({.status = 410}, 0)) == StoreError::RecordsGone);
    CHECK(std::get<StoreError>(decodeLogRecords({.status = 429}, 0)) == StoreError::Throttled);
    CHECK(std::get<StoreError>(decodeSnapshotPage({.status = 503})) == StoreError::Unavailable);
    CHECK(std::get<StoreError>(decodeSnapshotPage({.status = 418})) == StoreError::Unexpected);
    CHECK(std::get<StoreError>(decodeSnapshotPage({.body = "{}"})) == StoreError::Malformed);
}

TEST_CASE("The era of the store is read from every response, and a response that does not state it has era 0")
{
    CHECK(storeEra({.status = 410, .headers = {{"store-era", "3"}}}) == 3);
    CHECK(storeEra({.headers = {}}) == 0);
    CHECK(storeEra({.headers = {{"Store-Era", "unreadable"}}}) == 0);
}

TEST_CASE("A snapshot page is decoded and states whether more records follow")
{
    const auto decoded = decodeSnapshotPage({.body = R"({"items":[{"key":"config","value":"YWJj","offset":4}],"more":true,"end":6})"});
    REQUIRE(std::holds_alternative<SnapshotPage>(decoded));
    const auto &page = std::get<SnapshotPage>(decoded);
    CHECK(page.hasMore);
    CHECK(page.end == 6);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records[0].value == "abc");
}

TEST_CASE("The last key of a snapshot page is also known if its entry cannot be decoded, so that the next page follows it")
{
    const auto decoded = decodeSnapshotPage(
        {.body = R"({"items":[{"key":"a","value":"YWJj","offset":4},{"key":"b","value":"YWJj"},7],"more":true,"end":6})"});
    REQUIRE(std::holds_alternative<SnapshotPage>(decoded));
    CHECK(std::get<SnapshotPage>(decoded).records.size() == 1);
    CHECK(std::get<SnapshotPage>(decoded).lastKey == "b");
}

TEST_CASE("A snapshot page whose field of a further page is not a boolean has none")
{
    const auto decoded = decodeSnapshotPage({.status = 200, .headers = {}, .body = R"({"items":[],"more":"no","end":4})"});
    REQUIRE(std::holds_alternative<SnapshotPage>(decoded));
    CHECK_FALSE(std::get<SnapshotPage>(decoded).hasMore);
}

TEST_CASE("Decoding random bytes as a response of the store does not crash")
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 5000; ++i) {
        std::string body(random() % 80, '\0');
        for (auto &it : body) {
            it = static_cast<char>(random() % 8 == 0 ? random() : 0);
        }
        decodeLogRecords({.body = body}, 0);
        decodeSnapshotPage({.body = body});
    }
    CHECK(true);
}
