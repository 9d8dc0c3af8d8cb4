#ifndef LABURNUMMAST_ENTRY_FRESHNESSLINK_H
#define LABURNUMMAST_ENTRY_FRESHNESSLINK_H

#include "core/fleet/freshness.h"
#include "core/membership/membership.h"
#include "entry/datagramport.h"
#include "entry/freshnessmessage.h"
#include "entry/nodesettings.h"
#include "entry/peerreport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Entry
{

/// Callbacks of FreshnessLink.
struct FreshnessLinkEvents
{
    /// Returns the part of the configuration that this daemon has applied.
    std::function<Fleet::KnownConfiguration()> known;
    /// There is a newer proof.
    std::function<void()> onProof;
};

/// State of the proofs for metrics and the state dump.
struct FreshnessState
{
    /// Whether calls with a credential need a proof.
    bool isRequired = false;
    /// Age of the latest proof; empty if there is none.
    std::optional<Millis> age;
    Fleet::ProofOrigin origin = Fleet::ProofOrigin::None;
    /// Host whose read of the store is the proof.
    std::string reader;
    Fleet::ProofResult lastResult = Fleet::ProofResult::NoProof;
    /// Whether the proof is too old to serve calls with a credential.
    bool isStale = false;
    /// Counters since the start.
    std::uint64_t queriesOut = 0;
    std::uint64_t queriesIn = 0;
    std::uint64_t unreadableMessages = 0;
};

/// Collects proofs that this daemon's configuration is current: from its own reads of the store, and from queries to peers while another
/// daemon reads. Does nothing if the settings do not ask for it.
///
/// Runs on the control thread.
class FreshnessLink
{
public:
    FreshnessLink(boost::asio::io_context &loop,
                  const NodeSettings &settings,
                  const Membership::Membership &members,
                  FreshnessLinkEvents events);
    FreshnessLink(const FreshnessLink &) = delete;
    FreshnessLink &operator=(const FreshnessLink &) = delete;

    /// Opens the port. Returns the address that cannot be bound; nothing on success.
    std::optional<Address> start();
    void stop();
    /// States whether the routes in force need credentials, so that proofs are needed.
    void setNeeded(bool isNeeded);
    /// A read of the store that was requested at `requestedAt` reached the end of the log, and its records are applied.
    void addRead(Millis requestedAt);
    void handleReport(const PeerReport &report);
    /// Whether to read the configuration from the store. `isChosen`: whether this daemon is the one that should read it for all.
    bool shouldRead(bool isChosen, bool isReading, std::size_t rankInDomain);
    /// Longest time for which the store may hold a read open; empty if proofs do not limit it.
    std::optional<Millis> pollWait() const;

    bool isRequired() const
    {
        return m_isEnabled && m_isNeeded;
    }
    /// Whether calls with a credential must not be served at present.
    bool isStale() const;
    Fleet::FreshnessLimit limit() const;
    FreshnessState state() const;

private:
    void handleDatagram(std::string_view bytes, const Address &from);
    void handleAnswer(const FreshnessAnswer &answer);
    void askPeers();
    void scheduleQueries();
    /// Serving members that may be asked, the best one first.
    std::vector<const Membership::Member *> sources(Millis now) const;

    const NodeSettings m_settings;
    const Membership::Membership &m_members;
    FreshnessLinkEvents m_events;
    Fleet::Freshness m_freshness;
    DatagramPort m_port;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    bool m_isEnabled = false;
    bool m_isNeeded = false;
    /// Whether this daemon should read the configuration for all; otherwise it asks peers.
    bool m_isChosen = false;
    std::size_t m_rankInDomain = 0;
    /// When the queries without an answer were sent, by nonce.
    std::map<std::uint64_t, Millis> m_queries;
    Millis m_lastAnswerAt{-1e12};
    /// Times of the last reports of daemons that read the configuration, by host.
    std::map<std::string, Millis, std::less<>> m_readers;
    std::uint64_t m_queriesOut = 0;
    std::uint64_t m_queriesIn = 0;
    std::uint64_t m_unreadableMessages = 0;
};

}

#endif
