#include "entry/peerreport.h"

#include "core/boundedarchive.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <sstream>

namespace Laburnummast::Entry
{
namespace
{

constexpr std::uint8_t reportFormat = 1;

bool isValid(const ReportedLimit &limit)
{
    const double perSecond = limit.perSecond.value_or(0);
    return std::isfinite(perSecond) && perSecond >= 0 && std::isfinite(limit.age.count) && limit.age >= 0_ms;
}

std::string serializeReport(const PeerReport &report)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    std::array<std::int64_t, topicCount> eras{};
    std::transform(report.feeds.begin(), report.feeds.end(), eras.begin(), [](const FeedPosition &it) { return it.era; });
    // New fields are appended: older daemons read the fields that they know and ignore the rest.
    archive(reportFormat,
            report.host,
            report.ip,
            report.recordsPort,
            report.feeds,
            report.observations.outcomes,
            report.observations.contention,
            eras,
            report.routesVersion,
            report.observations.limits);
    return stream.str();
}

}

std::string encodeReport(PeerReport report)
{
    auto bytes = serializeReport(report);
    auto &observations = report.observations;
    while (bytes.size() > maxReportBytes && !observations.empty()) {
        // Limits are kept longest: without them, calls would exceed what an upstream accepts.
        if (observations.outcomes.empty() && observations.contention.empty()) {
            observations.limits.resize(observations.limits.size() / 2);
        }
        observations.outcomes.resize(observations.outcomes.size() / 2);
        observations.contention.resize(observations.contention.size() / 2);
        bytes = serializeReport(report);
    }
    return bytes;
}

Result<PeerReport, PeerReportError> decodeReport(std::string_view bytes)
{
    if (bytes.size() > maxReportBytes) {
        return PeerReportError::TooLong;
    }
    // The archive reports truncated bytes and lengths beyond their end only by exceptions.
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t format = 0;
        archive(format);
        if (format != reportFormat) {
            return PeerReportError::UnsupportedFormat;
        }
        PeerReport report;
        archive(report.host, report.ip, report.recordsPort, report.feeds, report.observations.outcomes);
        if (!archive.atEnd()) {
            archive(report.observations.contention);
        }
        report.statesEras = !archive.atEnd();
        if (report.statesEras) {
            std::array<std::int64_t, topicCount> eras{};
            archive(eras);
            for (std::size_t i = 0; i < topicCount; ++i) {
                report.feeds[i].era = eras[i];
            }
        }
        if (!archive.atEnd()) {
            archive(report.routesVersion);
        }
        if (!archive.atEnd()) {
            archive(report.observations.limits);
        }
        if (!std::all_of(report.observations.limits.begin(), report.observations.limits.end(), isValid)) {
            return PeerReportError::Malformed;
        }
        return report;
    } catch (const std::exception &) {
        return PeerReportError::Malformed;
    }
}

std::string encodeRecords(const Feed::FeedDelta &delta)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(delta.end, delta.isSnapshot, delta.records, delta.era);
    }
    return stream.str();
}

Result<Feed::FeedDelta, PeerReportError> decodeRecords(std::string_view bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Feed::FeedDelta delta;
        archive(delta.end, delta.isSnapshot, delta.records);
        if (!archive.atEnd()) {
            archive(delta.era);
        }
        return delta;
    } catch (const std::exception &) {
        return PeerReportError::Malformed;
    }
}

}
