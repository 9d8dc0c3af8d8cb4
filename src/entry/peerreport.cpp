#include "entry/peerreport.h"

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
    archive(reportFormat, report.host, report.ip, report.feedPort, report.feeds, report.outcomes);
    return stream.str();
}

}

std::string encodeReport(PeerReport report)
{
    auto bytes = encodeWhole(report);
    while (bytes.size() > maxReportBytes && !report.outcomes.empty()) {
        report.outcomes.resize(report.outcomes.size() / 2);
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
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t format = 0;
        archive(format);
        if (format != reportFormat) {
            return PeerReportError::FutureFormat;
        }
        PeerReport report;
        archive(report.host, report.ip, report.feedPort, report.feeds, report.outcomes);
        return report;
    } catch (const std::exception &) {
        return PeerReportError::Malformed;
    }
}

}
