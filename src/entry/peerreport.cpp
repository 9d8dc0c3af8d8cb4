#include "entry/peerreport.h"

#include "core/boundedarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace Laburnummast::Entry
{
namespace
{

constexpr std::uint8_t reportFormat = 1;

std::string serializeReport(const PeerReport &report)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // New fields are appended: older daemons read the fields that they know and ignore the rest.
    archive(reportFormat,
            report.host,
            report.ip,
            report.recordsPort,
            report.feeds,
            report.observations.outcomes,
            report.observations.contention);
    return stream.str();
}

}

std::string encodeReport(PeerReport report)
{
    auto bytes = serializeReport(report);
    auto &observations = report.observations;
    while (bytes.size() > maxReportBytes && !observations.empty()) {
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
        return report;
    } catch (const std::exception &) {
        return PeerReportError::Malformed;
    }
}

}
