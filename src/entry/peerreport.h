#ifndef LABURNUMMAST_ENTRY_PEERREPORT_H
#define LABURNUMMAST_ENTRY_PEERREPORT_H

#include "core/feed/keyedfeed.h"
#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Entry
{

/// Topics of the store that the daemons follow together. The values are sent between daemons.
enum class Topic : std::uint8_t {
    Routes,
    Upstreams,
};

constexpr std::size_t topicCount = 2;

/// Progress of a daemon in one topic.
struct FeedPosition
{
    /// Offset after the last applied record.
    std::int64_t end = 0;
    /// Whether the daemon has applied a snapshot of the topic.
    bool hasSnapshot = false;
    /// Whether the daemon reads the topic from the store itself, without a failure at present.
    bool isReading = false;
    /// Time since its last contact with the store, direct or through a peer.
    Millis contactAge;
    /// Era of `end`; sent apart from the other fields, because older daemons do not know it.
    std::int64_t era = 0;

    Feed::LogPosition position() const
    {
        return {.era = era, .offset = end};
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(end, hasSnapshot, isReading, contactAge);
    }
};

/// Outcomes of calls on one upstream.
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

/// Contention sample of one service: how much its full upstreams slow down, as observed from calls.
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

/// Limit of one upstream, as its last answer to any daemon said.
struct ReportedLimit
{
    std::string service;
    std::string upstream;
    /// Calls per second from all daemons together; empty if the upstream accepts any rate.
    std::optional<double> perSecond;
    /// Time since this was known to hold.
    Millis age;
    /// The limit has begun or ended; not sent.
    bool isChange = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, upstream, perSecond, age);
    }
};

/// Observations from a daemon's calls since its last report.
struct Observations
{
    std::vector<UpstreamOutcome> outcomes;
    std::vector<ServiceContention> contention;
    std::vector<ReportedLimit> limits;

    bool empty() const
    {
        return outcomes.empty() && contention.empty() && limits.empty();
    }
};

/// Report that a daemon sends to its peers several times per second.
struct PeerReport
{
    /// Host of the daemon.
    std::string host;
    /// IP and TCP port at which the daemon serves records.
    std::string ip;
    std::uint16_t recordsPort = 0;
    /// Indexed by `Topic`.
    std::array<FeedPosition, topicCount> feeds{};
    Observations observations;
    /// Whether the eras of `feeds` are known; an older daemon does not state them.
    bool statesEras = true;
    /// Version of the routes in force; 0 if there are none or an older daemon sent the report.
    std::uint64_t routesVersion = 0;
};

/// Why a report or records cannot be decoded.
enum class PeerReportError : std::uint8_t {
    TooLong,
    Malformed,
    UnsupportedFormat,
};

/// Largest report that is sent or read, in bytes; a report is sent in one datagram.
constexpr std::size_t maxReportBytes = 1400;

/// Encodes a report; observations beyond `maxReportBytes` are left out.
std::string encodeReport(PeerReport report);
/// Decodes a report; ignores fields that a newer daemon appended, and leaves those empty that an older one did not send.
Result<PeerReport, PeerReportError> decodeReport(std::string_view bytes);

/// Encodes the records that a daemon requested.
std::string encodeRecords(const Feed::FeedDelta &delta);
/// Decodes records; the era is 0 if an older daemon sent them.
Result<Feed::FeedDelta, PeerReportError> decodeRecords(std::string_view bytes);

}

#endif
