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

std::string encodeWhole(const PeerReport &report)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // New fields go to the end: older daemons read what they know and leave the rest.
    archive(reportFormat, report.host, report.ip, report.feedPort, report.feeds, report.findings.outcomes, report.findings.crowding);
    return stream.str();
}

}

std::string encodeReport(PeerReport report)
{
    auto bytes = encodeWhole(report);
    auto &findings = report.findings;
    while (bytes.size() > maxReportBytes && !findings.empty()) {
        findings.outcomes.resize(findings.outcomes.size() / 2);
        findings.crowding.resize(findings.crowding.size() / 2);
        bytes = encodeWhole(report);
    }
    return bytes;
}

Result<PeerReport, PeerReportError> decodeReport(std::string_view bytes)
{
    if (bytes.size() > maxReportBytes) {
        return PeerReportError::TooLong;
    }
    // The archive throws on bytes that end early or name lengths beyond them; that is its only way to say so.
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t format = 0;
        archive(format);
        if (format != reportFormat) {
            return PeerReportError::FutureFormat;
        }
        PeerReport report;
        archive(report.host, report.ip, report.feedPort, report.feeds, report.findings.outcomes);
        if (!archive.atEnd()) {
            archive(report.findings.crowding);
        }
        return report;
    } catch (const std::exception &) {
        return PeerReportError::Malformed;
    }
}

}
