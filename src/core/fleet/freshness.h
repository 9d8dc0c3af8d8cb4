#ifndef LABURNUMMAST_CORE_FLEET_FRESHNESS_H
#define LABURNUMMAST_CORE_FLEET_FRESHNESS_H

#include "core/feed/keyedfeed.h"
#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Fleet
{

/// Times for proofs that the configuration is current. All follow from the time within which a withdrawn credential must be rejected.
struct FreshnessTimes
{
    /// Largest age of a proof at which calls with a credential are served.
    Millis serveFor;
    /// Time after a rise of the store's era in which nothing is proven, as operators write lost records again.
    Millis settleTime{2000};
    /// A later version counts as in force elsewhere for this long after the last report of it.
    Millis reportedVersionLifetime{60000};
    /// Longest time that the store may hold a read open.
    Millis pollWait;
    /// Interval of queries to peers, and the shorter one once the proof is older than `urgentAge`.
    Millis askInterval;
    Millis urgentAskInterval;
    Millis urgentAge;
    /// Age of the proof at which a daemon reads the store itself, and the additional age per rank while peers answer.
    Millis ownReadAge;
    Millis ownReadRankDelay;
};

/// Times for a given bound on the time from the withdrawal of a credential to the last call with it.
FreshnessTimes freshnessTimes(Millis revocation);

/// Part of the configuration that a daemon has applied.
struct KnownConfiguration
{
    /// Position in the topic of the configuration.
    Feed::LogPosition position;
    /// Version in force.
    std::uint64_t version = 0;
};

/// Statement of a daemon about its latest proof, as it answers a query.
struct PeerProof
{
    KnownConfiguration known;
    /// Age of the proof when the answer was made; empty if there is none.
    std::optional<Millis> age;
    /// The proof is from a time at which records lost by a restored store had been written again.
    bool isSettled = false;
    /// Host whose read of the store is the proof.
    std::string reader;
};

/// How a daemon got its latest proof.
enum class ProofOrigin : std::uint8_t {
    None,
    OwnRead,
    Peer,
};
std::string_view nameOf(ProofOrigin origin);

/// Whether a proof was accepted, or why not.
enum class ProofResult : std::uint8_t {
    Accepted,
    /// The peer has no proof.
    NoProof,
    /// The peer is at another position of the topic.
    OtherPosition,
    /// A peer has a later version in force.
    LaterVersion,
    /// The store was restored from an older copy shortly before.
    StoreRestored,
    NotNewer,
};
std::string_view nameOf(ProofResult result);

/// Whether calls with a credential may be served. Cheap to copy and to check.
struct FreshnessLimit
{
    /// Otherwise all calls may be served.
    bool isRequired = false;
    /// Time before which every confirmed change is known; empty if nothing is proven.
    std::optional<Millis> provenAt;
    Millis serveFor;

    bool permits(Millis now) const
    {
        return !isRequired || (provenAt && now - *provenAt <= serveFor);
    }
};

/// Latest time before which every confirmed change of the configuration is known to this daemon.
///
/// All times are of the host's clock that also counts the time for which the host is suspended.
class Freshness
{
public:
    explicit Freshness(const FreshnessTimes &times, std::string host);

    /// A read of the store that was requested at `requestedAt` reached the end of the log, and all its records are applied: `known`.
    ProofResult addRead(Millis requestedAt, const KnownConfiguration &known, Millis now);
    /// A peer answered a query that was sent at `askedAt`. `readerIsSenior`: the reader named in `proof` has priority over this daemon in
    /// reading the topic.
    ProofResult addAnswer(const PeerProof &proof, Millis askedAt, const KnownConfiguration &known, bool readerIsSenior, Millis now);
    /// A peer reported the version that it has in force.
    void addReportedVersion(std::uint64_t version, Millis now);
    /// Proofs are needed from now on; until there is one, its age counts from here for needsOwnRead().
    void startWaiting(Millis now)
    {
        m_waitingSince = now;
    }
    /// Answer to the query of a peer.
    PeerProof proofFor(const KnownConfiguration &known, Millis now);

    /// Whether this daemon should read the topic from the store itself, because peers do not provide proofs in time. `isReading`: whether
    /// it does so already. `peersAnswer`: whether peers answer queries, so that those of lower `rankInDomain` read first.
    bool needsOwnRead(Millis now, bool isReading, bool peersAnswer, std::size_t rankInDomain) const;
    /// Whether to ask peers for proofs. `isChosen`: whether this daemon is the one that reads the topic for all; it asks only if its own
    /// reads do not give proofs.
    bool shouldAsk(Millis now, bool isChosen) const;
    /// Time between two queries to peers.
    Millis askInterval(Millis now) const;
    /// Number of peers to ask at once.
    std::size_t askFanout(Millis now) const;
    /// Queries are being sent; returns how many before them got no useful answer, so that other peers are asked.
    std::size_t startAsking();

    const std::optional<Millis> &provenAt() const
    {
        return m_provenAt;
    }
    ProofOrigin origin() const
    {
        return m_origin;
    }
    /// Host whose read is the latest proof; empty without a proof.
    const std::string &reader() const
    {
        return m_reader;
    }
    /// Result of the last proof that was offered.
    ProofResult lastResult() const
    {
        return m_lastResult;
    }
    const FreshnessTimes &times() const
    {
        return m_times;
    }

private:
    /// Starts the settle time if the era of the known records has risen.
    void noteEra(const Feed::LogPosition &position, Millis now);
    ProofResult accept(Millis provenAt, const KnownConfiguration &known, Millis now);
    /// Whether the proof is older than `age` or missing.
    static bool isOlder(const std::optional<Millis> &provenAt, Millis age, Millis now);

    FreshnessTimes m_times;
    std::string m_host;
    std::optional<Millis> m_provenAt;
    std::optional<Millis> m_waitingSince;
    /// Latest proof from the read of a senior daemon.
    std::optional<Millis> m_seniorProvenAt;
    ProofOrigin m_origin = ProofOrigin::None;
    std::string m_reader;
    ProofResult m_lastResult = ProofResult::NoProof;
    std::size_t m_uselessQueries = 0;
    /// Latest era at which this daemon knew a record; empty before there is one.
    std::optional<std::int64_t> m_era;
    /// Proofs of earlier times are rejected.
    std::optional<Millis> m_settledAt;
    std::uint64_t m_reportedVersion = 0;
    Millis m_versionReportedAt{};
};

}

#endif
