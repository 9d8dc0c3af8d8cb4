#include "entry/peerreport.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace Laburnummast;
using namespace Laburnummast::Entry;

namespace
{

PeerReport sample()
{
    PeerReport report{.host = "front-1", .ip = "10.0.0.1", .feedPort = 4100, .feeds = {}, .findings = {}};
    report.feeds[0] = {.end = 77, .known = true, .reading = true, .contactAge = 12_ms};
    report.findings.outcomes.push_back({.service = "orders", .upstream = "u1", .good = 3, .bad = 1});
    report.findings.crowding.push_back({.service = "orders", .sample = {.answers = 5, .factor = 2.5}});
    return report;
}

}

TEST_CASE("A report arrives as it was sent")
{
    const auto decoded = decodeReport(encodeReport(sample()));
    const auto *report = std::get_if<PeerReport>(&decoded);
    REQUIRE(report != nullptr);
    CHECK(report->host == "front-1");
    CHECK(report->feedPort == 4100);
    CHECK(report->feeds[0].end == 77);
    REQUIRE(report->findings.outcomes.size() == 1);
    CHECK(report->findings.outcomes[0].bad == 1);
    REQUIRE(report->findings.crowding.size() == 1);
    CHECK(report->findings.crowding[0].sample.factor == doctest::Approx(2.5));
}

TEST_CASE("A report of an older daemon, without what it does not know, is read")
{
    const auto report = sample();
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(std::uint8_t{1}, report.host, report.ip, report.feedPort, report.feeds, report.findings.outcomes);
    const auto decoded = decodeReport(stream.str());
    const auto *read = std::get_if<PeerReport>(&decoded);
    REQUIRE(read != nullptr);
    CHECK(read->findings.outcomes.size() == 1);
    CHECK(read->findings.crowding.empty());
}

TEST_CASE("A report stays within one datagram whatever it has to tell")
{
    auto report = sample();
    for (int i = 0; i < 500; ++i) {
        report.findings.outcomes.push_back({.service = "orders", .upstream = "upstream-" + std::to_string(i), .good = 1, .bad = 0});
        report.findings.crowding.push_back({.service = "service-" + std::to_string(i), .sample = {.answers = 1, .factor = 1}});
    }
    const auto bytes = encodeReport(report);
    CHECK(bytes.size() <= maxReportBytes);
    const auto decoded = decodeReport(bytes);
    REQUIRE(std::holds_alternative<PeerReport>(decoded));
    CHECK(std::get<PeerReport>(decoded).findings.outcomes.size() > 1);
}

TEST_CASE("A length far beyond the bytes of a report is refused before memory is taken for it")
{
    const auto report = sample();
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // A host name of 2^40 bytes.
    archive(std::uint8_t{1}, std::uint64_t{1} << 40);
    const auto decoded = decodeReport(stream.str());
    REQUIRE(std::holds_alternative<PeerReportError>(decoded));
    CHECK(std::get<PeerReportError>(decoded) == PeerReportError::Malformed);
}

TEST_CASE("Reports with changed, missing and added bytes are read or refused, never more")
{
    const auto bytes = encodeReport(sample());
    std::mt19937 random(7);
    int refused = 0;
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
        refused += std::holds_alternative<PeerReportError>(decoded) ? 1 : 0;
        if (const auto *report = std::get_if<PeerReport>(&decoded)) {
            CHECK(report->findings.outcomes.size() <= maxReportBytes);
        }
    }
    CHECK(refused > 0);
}
