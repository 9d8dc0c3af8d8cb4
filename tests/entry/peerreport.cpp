#include "entry/peerreport.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>
#include <limits>
#include <random>
#include <sstream>

using namespace Laburnummast;
using namespace Laburnummast::Entry;

namespace
{

PeerReport sampleReport()
{
    PeerReport report{.host = "front-1", .ip = "10.0.0.1", .recordsPort = 4100, .feeds = {}, .observations = {}};
    report.feeds[0] = {.end = 77, .hasSnapshot = true, .isReading = true, .contactAge = 12_ms};
    report.observations.outcomes.push_back({.service = "orders", .upstream = "u1", .successes = 3, .failures = 1});
    report.observations.contention.push_back({.service = "orders", .sample = {.answers = 5, .factor = 2.5}});
    return report;
}

}

TEST_CASE("Decoding an encoded report restores its fields")
{
    const auto decoded = decodeReport(encodeReport(sampleReport()));
    const auto *report = std::get_if<PeerReport>(&decoded);
    REQUIRE(report != nullptr);
    CHECK(report->host == "front-1");
    CHECK(report->recordsPort == 4100);
    CHECK(report->feeds[0].end == 77);
    REQUIRE(report->observations.outcomes.size() == 1);
    CHECK(report->observations.outcomes[0].failures == 1);
    REQUIRE(report->observations.contention.size() == 1);
    CHECK(report->observations.contention[0].sample.factor == doctest::Approx(2.5));
}

TEST_CASE("A report of an older daemon without the contention field is decoded")
{
    const auto report = sampleReport();
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(std::uint8_t{1}, report.host, report.ip, report.recordsPort, report.feeds, report.observations.outcomes);
    const auto decoded = decodeReport(stream.str());
    const auto *read = std::get_if<PeerReport>(&decoded);
    REQUIRE(read != nullptr);
    CHECK(read->observations.outcomes.size() == 1);
    CHECK(read->observations.contention.empty());
    CHECK(read->feeds[0].era == 0);
    CHECK_FALSE(read->statesEras);
}

TEST_CASE("Positions of two eras stay apart in reports and records, also beside daemons that do not know eras")
{
    auto report = sampleReport();
    report.feeds[1].era = 3;
    report.routesVersion = 8;
    const auto decoded = decodeReport(encodeReport(report));
    REQUIRE(std::holds_alternative<PeerReport>(decoded));
    CHECK(std::get<PeerReport>(decoded).feeds[0].position() == Feed::LogPosition{.era = 0, .offset = 77});
    CHECK(std::get<PeerReport>(decoded).feeds[1].era == 3);
    CHECK(std::get<PeerReport>(decoded).statesEras);
    CHECK(std::get<PeerReport>(decoded).routesVersion == 8);

    const Feed::FeedDelta delta{.end = 5, .isSnapshot = true, .records = {{.key = "a", .offset = 4, .value = "x"}}, .era = 2};
    const auto records = decodeRecords(encodeRecords(delta));
    REQUIRE(std::holds_alternative<Feed::FeedDelta>(records));
    CHECK(std::get<Feed::FeedDelta>(records).position() == Feed::LogPosition{.era = 2, .offset = 5});
    CHECK(std::get<Feed::FeedDelta>(records).records.size() == 1);

    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(delta.end, delta.isSnapshot, delta.records);
    const auto older = decodeRecords(stream.str());
    REQUIRE(std::holds_alternative<Feed::FeedDelta>(older));
    CHECK(std::get<Feed::FeedDelta>(older).position() == Feed::LogPosition{.era = 0, .offset = 5});
    // An older daemon reads the fields that it knows from the start of the bytes.
    CHECK(encodeRecords(delta).starts_with(stream.str()));
}

TEST_CASE("Truncated records are rejected")
{
    const auto bytes = encodeRecords({.end = 5, .isSnapshot = true, .records = {{.key = "a", .offset = 4, .value = "x"}}, .era = 2});
    CHECK(std::holds_alternative<PeerReportError>(decodeRecords(bytes.substr(0, bytes.size() - 1))));
    CHECK(std::holds_alternative<PeerReportError>(decodeRecords("")));
}

TEST_CASE("An encoded report fits into one datagram, however many observations it has")
{
    auto report = sampleReport();
    for (int i = 0; i < 500; ++i) {
        report.observations.outcomes.push_back(
            {.service = "orders", .upstream = "upstream-" + std::to_string(i), .successes = 1, .failures = 0});
        report.observations.contention.push_back({.service = "service-" + std::to_string(i), .sample = {.answers = 1, .factor = 1}});
    }
    const auto bytes = encodeReport(report);
    CHECK(bytes.size() <= maxReportBytes);
    const auto decoded = decodeReport(bytes);
    REQUIRE(std::holds_alternative<PeerReport>(decoded));
    CHECK(std::get<PeerReport>(decoded).observations.outcomes.size() > 1);
}

TEST_CASE("A length far beyond the bytes of a report is rejected before memory is allocated for it")
{
    const auto report = sampleReport();
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // Claims a host name of 2^40 bytes.
    archive(std::uint8_t{1}, std::uint64_t{1} << 40);
    const auto decoded = decodeReport(stream.str());
    REQUIRE(std::holds_alternative<PeerReportError>(decoded));
    CHECK(std::get<PeerReportError>(decoded) == PeerReportError::Malformed);
}

TEST_CASE("Reports with changed, missing and added bytes are decoded or rejected without other effects")
{
    const auto bytes = encodeReport(sampleReport());
    std::mt19937 random(7);
    int rejected = 0;
    for (int i = 0; i < 20000; ++i) {
        auto changed = bytes;
        const auto edits = 1 + random() % 4;
        for (std::uint32_t k = 0; k < edits; ++k) {
            const auto at = random() % changed.size();
            switch (random() % 3) {
            case 0:
                changed[at] = static_cast<char>(random());
                break;
            case 1:
                changed.erase(at, 1 + random() % 8);
                break;
            default:
                changed.insert(at, 1, static_cast<char>(random()));
            }
            if (changed.empty()) {
                changed.push_back('\0');
            }
        }
        const auto decoded = decodeReport(changed);
        rejected += std::holds_alternative<PeerReportError>(decoded) ? 1 : 0;
        if (const auto *report = std::get_if<PeerReport>(&decoded)) {
            CHECK(report->observations.outcomes.size() <= maxReportBytes);
        }
    }
    CHECK(rejected > 0);
}

TEST_CASE("Limits of upstreams pass from daemon to daemon, and a report of an older daemon has none")
{
    auto report = sampleReport();
    CHECK(std::get<PeerReport>(decodeReport(encodeReport(report))).observations.limits.empty());
    report.observations.limits = {{.service = "orders", .upstream = "u1", .perSecond = 4.1, .age = 120_ms},
                                  {.service = "orders", .upstream = "u2", .perSecond = std::nullopt, .age = 7_ms}};
    const auto decoded = std::get<PeerReport>(decodeReport(encodeReport(report))).observations.limits;
    REQUIRE(decoded.size() == 2);
    CHECK(decoded[0].upstream == "u1");
    CHECK(decoded[0].perSecond == 4.1);
    CHECK(decoded[0].age == 120_ms);
    CHECK_FALSE(decoded[1].perSecond);
}

TEST_CASE("Limits stay in a report that is too long, and a report with an unusable limit is rejected")
{
    auto report = sampleReport();
    for (int i = 0; i < 100; ++i) {
        report.observations.outcomes.push_back({.service = "orders", .upstream = "u" + std::to_string(i), .successes = 3, .failures = 1});
    }
    for (int i = 0; i < 12; ++i) {
        report.observations.limits.push_back({.service = "orders", .upstream = "i-0123456789", .perSecond = 2, .age = 1_ms});
    }
    CHECK(std::get<PeerReport>(decodeReport(encodeReport(report))).observations.limits.size() == 12);
    for (const double perSecond : {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        report.observations.limits = {{.service = "orders", .upstream = "u1", .perSecond = perSecond, .age = 1_ms}};
        CHECK(std::get<PeerReportError>(decodeReport(encodeReport(report))) == PeerReportError::Malformed);
    }
}
