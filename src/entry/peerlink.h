#ifndef LABURNUMMAST_ENTRY_PEERLINK_H
#define LABURNUMMAST_ENTRY_PEERLINK_H

#include "core/feed/keyedfeed.h"
#include "core/feed/uploadqueue.h"
#include "core/membership/membership.h"
#include "entry/nodesettings.h"
#include "entry/peerreport.h"
#include "http/clientpool.h"
#include "http/listener.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

/// Ports for traffic between the daemons, as offsets from the first internal port.
enum class InternalPort : std::uint16_t {
    /// Membership over UDP and records over TCP.
    Members = 0,
    /// Reports over UDP.
    Reports = 1,
    /// Metrics and the state dump over TCP.
    Admin = 2,
    /// Allowances of workspaces over UDP.
    Allowances = 3,
    /// Proofs that the configuration is current, over UDP.
    Freshness = 4,
};

/// Address of an internal port of this daemon.
Address internalAddress(const NodeSettings &settings, InternalPort port);

/// Which peers a report is sent to.
enum class ReportScope : std::uint8_t {
    All,
    /// Those of the same failure domain.
    Domain,
    /// All if there are few; otherwise some, mostly of the same failure domain.
    Some,
};

/// Callbacks for what other daemons send.
struct PeerEvents
{
    /// A member is new or has changed.
    std::function<void(const Membership::MemberChanged &)> onMember;
    /// A report has arrived.
    std::function<void(const PeerReport &)> onReport;
    /// Returns the position of this daemon in all topics, without observations.
    std::function<PeerReport()> currentReport;
    /// Returns the records from a position on, which another daemon requested.
    std::function<Feed::FeedDelta(Topic, const Feed::LogPosition &from)> recordsSince;
    /// The records that fetchRecords() requested have arrived.
    std::function<void(Topic, const Feed::FeedDelta &)> onRecords;
};

/// Counters since the start; they only increase.
struct PeerCounters
{
    /// Datagrams received, unreadable ones included.
    std::uint64_t datagramsIn = 0;
    /// Datagrams passed to a socket, including those that it dropped.
    std::uint64_t datagramsOut = 0;
    /// Datagrams and fetched records that could not be decoded.
    std::uint64_t unreadableMessages = 0;
    /// Requests for records.
    std::uint64_t fetches = 0;
    /// Requests for records without a usable response.
    std::uint64_t failedFetches = 0;
    /// Requests for records that the other daemon deferred, because it was serving others.
    std::uint64_t deferredFetches = 0;
    /// Requests of other daemons for records that this daemon deferred.
    std::uint64_t deferredUploads = 0;
    /// Bytes of records received from and sent to other daemons.
    std::uint64_t recordBytesIn = 0;
    std::uint64_t recordBytesOut = 0;
};

/// Exchanges membership, reports and records with the other daemons; runs on the control thread.
class PeerLink
{
public:
    PeerLink(boost::asio::io_context &loop, const NodeSettings &settings, PeerEvents events);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Opens the internal ports and joins the members. Returns the address that cannot be bound; nothing on success.
    std::optional<Address> start();
    void sendReport(const PeerReport &report, ReportScope scope);
    /// Requests the records of a topic from the position `from` on; does nothing while another request for the topic is in flight.
    void fetchRecords(Topic topic, const Feed::LogPosition &from, const Address &peer);
    /// Announces the version of the routes in force to the other members; -1 while this daemon is not ready.
    void announceRoutesVersion(std::int64_t version);
    /// Announces that this daemon is leaving; it continues to exchange data.
    void leave();
    /// Announces that this process ends, and closes all ports.
    void stop();

    const Membership::Membership &members() const
    {
        return m_membership;
    }
    const PeerCounters &counters() const
    {
        return m_counters;
    }

private:
    using Udp = boost::asio::ip::udp;

    /// UDP socket with the buffer of the datagram that it receives.
    struct Receiver
    {
        explicit Receiver(boost::asio::io_context &loop)
            : socket(loop)
        {
        }

        Udp::socket socket;
        std::array<char, 2048> buf{};
        Udp::endpoint from;
    };

    void tick();
    void execute(const Membership::MembershipActions &actions);
    void receive(Receiver &receiver, void (PeerLink::*handle)(std::string_view, const Udp::endpoint &));
    void handleMemberDatagram(std::string_view bytes, const Udp::endpoint &from);
    void handleReportDatagram(std::string_view bytes, const Udp::endpoint &from);
    void send(Udp::socket &socket, std::string_view bytes, const Address &to);
    void serveRecords(const Http::Request &request, const Http::Responder &responder);
    void handleRecordsResponse(Topic topic, const Http::Response &response);
    /// Sends this daemon's position to waiting peers whose turn has come, and sets the timer for the next ones.
    void inviteWaitingPeers();
    /// Does nothing for this daemon itself.
    void sendReportTo(const Membership::Member &member, std::string_view bytes);
    Http::ClientPool &clientPoolOf(const Address &peer);
    std::optional<Address> bind(Receiver &receiver, const Address &address);

    boost::asio::io_context &m_loop;
    const NodeSettings m_settings;
    PeerEvents m_events;
    Membership::Membership m_membership;
    Receiver m_memberReceiver;
    Receiver m_reportReceiver;
    Http::Listener m_recordsListener;
    std::map<Address, std::unique_ptr<Http::ClientPool>> m_pools;
    std::array<bool, topicCount> m_fetching{};
    /// One for each topic, so that small records of one do not wait for large ones of the other.
    std::array<Feed::UploadQueue, topicCount> m_uploads;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_invitationTimer;
    std::mt19937_64 m_random;
    bool m_stopped = false;
    PeerCounters m_counters;
};

}

#endif
