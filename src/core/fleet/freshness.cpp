#include "core/fleet/freshness.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Laburnummast::Fleet
{
namespace
{

// The rest of the bound is for the way from the check to the upstream.
constexpr double serveShare = 0.85;
// A daemon that loses all contact has to serve for another 0.6 of the bound, so a proof may be at most 0.25 of it old in calm. A proof is
// up to two held reads old at the reader, and up to one interval of queries older at each of two levels of peers: 0.22 in total.
constexpr double pollShare = 0.05;
constexpr double askShare = 0.06;
constexpr double urgentAskShare = 0.03;
constexpr double urgentShare = 0.24;
constexpr double ownReadShare = 0.35;
constexpr double ownReadRankShare = 0.03;
// Peers asked at once when proofs are late: some of them may be on the other side of a partition.
constexpr std::size_t lateFanout = 3;
// A store states this era, or none, until it is restored for the first time.
constexpr std::int64_t firstEra = 1;

}

FreshnessTimes freshnessTimes(Millis revocation)
{
    return {.serveFor = revocation * serveShare,
            .pollWait = revocation * pollShare,
            .askInterval = revocation * askShare,
            .urgentAskInterval = revocation * urgentAskShare,
            .urgentAge = revocation * urgentShare,
            .ownReadAge = revocation * ownReadShare,
            .ownReadRankDelay = revocation * ownReadRankShare};
}

std::string_view nameOf(ProofOrigin origin)
{
    constexpr std::array<std::string_view, 3> names{"none", "own-read", "peer"};
    return names[static_cast<std::size_t>(origin)];
}

std::string_view nameOf(ProofResult result)
{
    constexpr std::array<std::string_view, 6> names{
        "accepted", "no-proof", "other-position", "later-version", "store-restored", "not-newer"};
    return names[static_cast<std::size_t>(result)];
}

Freshness::Freshness(const FreshnessTimes &times, std::string host)
    : m_times(times)
    , m_host(std::move(host))
{
}

void Freshness::noteEra(const Feed::LogPosition &position, Millis now)
{
    const bool isKnown = position != Feed::LogPosition{};
    if (!isKnown || (m_era && position.era <= *m_era)) {
        return;
    }
    // A daemon that has just started cannot tell when the store was restored, unless it never was.
    const bool mayBeRecent = m_era || position.era > firstEra;
    m_era = position.era;
    if (mayBeRecent) {
        m_settledAt = now + m_times.settleTime;
    }
}

ProofResult Freshness::accept(Millis provenAt, const KnownConfiguration &known, Millis now)
{
    if (m_reportedVersion > known.version && now - m_versionReportedAt <= m_times.reportedVersionLifetime) {
        return ProofResult::LaterVersion;
    }
    if (m_settledAt && provenAt < *m_settledAt) {
        return ProofResult::StoreRestored;
    }
    if (m_provenAt && provenAt <= *m_provenAt) {
        return ProofResult::NotNewer;
    }
    m_provenAt = provenAt;
    return ProofResult::Accepted;
}

ProofResult Freshness::addRead(Millis requestedAt, const KnownConfiguration &known, Millis now)
{
    noteEra(known.position, now);
    m_lastResult = accept(requestedAt, known, now);
    if (m_lastResult == ProofResult::Accepted) {
        m_origin = ProofOrigin::OwnRead;
        m_reader = m_host;
    }
    return m_lastResult;
}

ProofResult Freshness::addAnswer(const PeerProof &proof, Millis askedAt, const KnownConfiguration &known, bool readerIsSenior, Millis now)
{
    noteEra(known.position, now);
    const auto judge = [&] {
        if (!proof.age || *proof.age < 0_ms) {
            return ProofResult::NoProof;
        }
        if (proof.known.position != known.position) {
            return ProofResult::OtherPosition;
        }
        if (proof.known.version > known.version) {
            return ProofResult::LaterVersion;
        }
        // The peer made its answer after the query was sent, however long either of them took.
        const auto provenAt = askedAt - *proof.age;
        if (proof.isSettled && m_settledAt) {
            m_settledAt = std::min(*m_settledAt, provenAt);
        }
        const auto result = accept(provenAt, known, now);
        if (readerIsSenior && (result == ProofResult::Accepted || result == ProofResult::NotNewer)) {
            m_seniorProvenAt = std::max(m_seniorProvenAt.value_or(provenAt), provenAt);
        }
        return result;
    };
    m_lastResult = judge();
    if (m_lastResult == ProofResult::Accepted) {
        m_origin = ProofOrigin::Peer;
        m_reader = proof.reader;
    }
    // A peer whose proof is not newer is still the right one to ask as long as that proof is young.
    if (m_lastResult == ProofResult::Accepted || (m_lastResult == ProofResult::NotNewer && !isOlder(m_provenAt, m_times.urgentAge, now))) {
        m_uselessQueries = 0;
    }
    return m_lastResult;
}

void Freshness::addReportedVersion(std::uint64_t version, Millis now)
{
    // An earlier version than the latest one says nothing, as its sender may only not have got that yet.
    const bool isExpired = now - m_versionReportedAt > m_times.reportedVersionLifetime;
    if (version >= m_reportedVersion || isExpired) {
        m_reportedVersion = version;
        m_versionReportedAt = now;
    }
}

PeerProof Freshness::proofFor(const KnownConfiguration &known, Millis now)
{
    noteEra(known.position, now);
    PeerProof proof{.known = known, .age = std::nullopt, .isSettled = false, .reader = m_reader};
    if (m_provenAt) {
        proof.age = now - *m_provenAt;
        proof.isSettled = !m_settledAt || *m_provenAt >= *m_settledAt;
    }
    return proof;
}

bool Freshness::isOlder(const std::optional<Millis> &provenAt, Millis age, Millis now)
{
    return !provenAt || now - *provenAt > age;
}

bool Freshness::needsOwnRead(Millis now, bool isReading, bool peersAnswer, std::size_t rankInDomain) const
{
    if (isReading) {
        // Goes on until another daemon reads that has priority; of two that end in favour of each other, neither would read.
        return isOlder(m_seniorProvenAt, m_times.urgentAge, now);
    }
    const auto turnDelay = peersAnswer ? m_times.ownReadRankDelay * static_cast<double>(rankInDomain) : 0_ms;
    return isOlder(std::max(m_provenAt, m_waitingSince), m_times.ownReadAge + turnDelay, now);
}

bool Freshness::shouldAsk(Millis now, bool isChosen) const
{
    return !isChosen || isOlder(std::max(m_provenAt, m_waitingSince), m_times.urgentAge, now);
}

Millis Freshness::askInterval(Millis now) const
{
    return isOlder(m_provenAt, m_times.urgentAge, now) ? m_times.urgentAskInterval : m_times.askInterval;
}

std::size_t Freshness::startAsking()
{
    return m_uselessQueries++;
}

std::size_t Freshness::askFanout(Millis now) const
{
    return isOlder(m_provenAt, m_times.ownReadAge, now) ? lateFanout : 1;
}

}
