#ifndef LABURNUMMAST_ENTRY_PEERREPORT_H
#define LABURNUMMAST_ENTRY_PEERREPORT_H

#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Entry
{

/// The topics of the store that daemons follow together.
enum class Topic : std::uint8_t {
    Routes,
    Upstreams,
};

constexpr std::size_t topicCount = 2;

/// How far a daemon has followed a topic.
struct FeedPosition
{
    std::int64_t end = 0;
    bool hasSnapshot = false;
    /// It reads the store itself.
    bool isReading = false;
    /// How long ago it last heard of the store itself.
    Millis contactAge;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(end, hasSnapshot, isReading, contactAge);
    }
};

/// How calls fared on one upstream.
struct UpstreamOutcome
{
    std::string service;
    std::string upstream;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, upstream, successes, failures);
    }
};

/// What calls showed of a service's upstreams when full.
struct ServiceContention
{
    std::string service;
    Placement::ContentionSample sample;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, sample.answers, sample.factor);
    }
};

/// What calls taught a daemon since its last report.
struct Observations
{
    std::vector<UpstreamOutcome> outcomes;
    std::vector<ServiceContention> contention;

    bool empty() const
    {
        return outcomes.empty() && contention.empty();
    }
};

/// What a daemon tells its peers several times a second.
struct PeerReport
{
    std::string host;
    /// TCP port on which it hands out records.
    std::string ip;
    std::uint16_t recordsPort = 0;
    std::array<FeedPosition, topicCount> feeds{};
    Observations observations;
};

enum class PeerReportError : std::uint8_t {
    TooLong,
    Malformed,
    UnsupportedFormat,
};

/// Largest report that is sent or read, in bytes: it travels in one datagram.
constexpr std::size_t maxReportBytes = 1400;

/// Bytes of a report; findings that do not fit are left out.
std::string encodeReport(PeerReport report);
Result<PeerReport, PeerReportError> decodeReport(std::string_view bytes);

}

#endif
