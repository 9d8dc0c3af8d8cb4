#ifndef LABURNUMMAST_ENTRY_CONTROL_H
#define LABURNUMMAST_ENTRY_CONTROL_H

#include "core/feed/keyedfeed.h"
#include "core/fleet/evacuations.h"
#include "core/fleet/fetchsource.h"
#include "core/fleet/firstread.h"
#include "core/fleet/readerchoice.h"
#include "core/fleet/upstreamtable.h"
#include "entry/allowancelink.h"
#include "entry/freshnesslink.h"
#include "entry/nodesettings.h"
#include "entry/nodeview.h"
#include "entry/peerlink.h"
#include "entry/topicfollower.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

/// State of the control thread for metrics and the state dump.
struct ControlState
{
    /// Progress of this daemon in one topic of the store.
    struct TopicState
    {
        /// Era of the store's offsets.
        std::int64_t era = 0;
        /// Offset after the last applied record.
        std::int64_t end = 0;
        /// Whether a snapshot of the topic has been applied.
        bool hasSnapshot = false;
        /// Whether this daemon reads the topic from the store itself.
        bool isReading = false;
        /// Time since the last contact with the store, direct or through a peer; time since the start of this daemon if there was none.
        Millis contactAge;
        TopicFollowerCounters storeCounters;
    };

    /// Indexed by `Topic`.
    std::array<TopicState, topicCount> topics{};
    /// Version of the routes in force; 0 if there are none.
    std::uint64_t routesVersion = 0;
    /// Number of known upstreams, draining ones included.
    std::size_t upstreamCount = 0;
    /// Number of upstreams that were removed during or shortly after an outage of the store and are kept for now.
    std::size_t deferredRemovalCount = 0;
    /// Number of upstreams whose record in an older copy of the store is not applied for now.
    std::size_t heldRecordCount = 0;
    /// Failure domains that operators have evacuated.
    std::vector<std::string> evacuatedDomains;
    /// Number of alive and suspected members; this daemon counts until it drains.
    std::size_t servingMemberCount = 0;
    /// Routes and upstream records whose value could not be decoded; records without a readable key count in `storeCounters`.
    std::uint64_t unreadableValues = 0;
    /// Whether the store is unreachable for at least one topic.
    bool storeUnreachable = false;
    PeerCounters peers;
    FreshnessState freshness;
    AllowanceLinkState allowances;
};

/// Callbacks of Control, called on the control thread.
struct ControlEvents
{
    /// Called with the new state for the traffic thread after every change.
    std::function<void(std::shared_ptr<const NodeView>)> onViewChanged;
    /// There is a newer proof that the configuration of the last view is current.
    std::function<void(Millis provenAt)> onProof;
    /// Another daemon reported observations from its calls.
    std::function<void(Observations)> onPeerObservations;
    /// The home of a workspace answered a request.
    std::function<void(const Limits::AllowanceAnswer &)> onAllowanceAnswer;
};

/// Follows the routes, the upstreams and the members: reads records from the store or gets them from peers.
///
/// Runs on the control thread.
class Control
{
public:
    Control(boost::asio::io_context &loop, const NodeSettings &settings, ControlEvents events);

    /// Opens the internal ports and starts to follow the topics. Returns the address that cannot be bound; nothing on success.
    std::optional<Address> start();
    /// Removes this daemon from the entry lists; topics and members are still followed.
    void drain();
    /// Ends all requests and announces to the peers that this process ends.
    void stop();
    /// Adds observations from this daemon's calls to the next report.
    void addObservations(const Observations &observations);
    /// Passes a request of this daemon's calls to the home of the workspace.
    void requestAllowance(const Limits::AllowanceRequest &request)
    {
        m_allowances.send(request);
    }

    ControlState state() const;

private:
    /// A topic of the store and what is known about its readers.
    struct FollowedTopic
    {
        FollowedTopic(Feed::KeyedFeed::OnChange onChange, Feed::KeyedFeed::OnNewEra onNewEra)
            : feed(std::move(onChange), std::move(onNewEra))
        {
        }

        Feed::KeyedFeed feed;
        std::unique_ptr<TopicFollower> follower;
        /// Last contact with the store, direct or through a peer; empty before the first one.
        std::optional<Millis> lastContactAt;
        /// When a peer sent the first records; empty if none did.
        std::optional<Millis> firstRecordsAt;
        /// Last direct contact with the store.
        std::optional<Millis> lastDirectContactAt;
        /// Times of the last reports in which a daemon, or one of higher rank, stated that it reads the topic; empty if there was none.
        std::optional<Millis> lastReaderReportAt;
        std::optional<Millis> lastHigherRankedReportAt;
        /// Time of the last report of a daemon that has a snapshot of the topic; empty if there was none.
        std::optional<Millis> lastSourceReportAt;
        /// Since when a peer is known to be ahead; empty if none is.
        std::optional<Millis> behindSince;
        /// Ranks of this daemon for reading the topic, among all daemons and those of its failure domain, as of `m_rankedRevision`.
        std::size_t rank = 0;
        std::size_t rankInDomain = 0;
        bool storeUnreachable = false;
    };

    /// Limit of an upstream that is to be reported.
    struct PendingLimit
    {
        ReportedLimit limit;
        /// When `limit.age` was 0.
        Millis since;
    };

    FollowedTopic &followedTopic(Topic topic)
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    const FollowedTopic &followedTopic(Topic topic) const
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    void startFollower(Topic topic, std::string_view name);
    /// Starts or ends reading each topic from the store, according to rank and contact.
    void startOrEndReading(Millis now);
    bool shouldRead(const FollowedTopic &followed, Millis now) const;
    /// Works out the ranks of this daemon if the members have changed.
    void updateRanks();
    /// Records contact with the store at the time `at`, made directly (`isDirect`) or through a peer.
    void recordContact(Topic topic, Millis at, bool isDirect);
    void detectUnreachableStore(Millis now);
    void applyRoutesRecord(const Feed::KeyedRecord &record);
    void applyEvacuation(std::string_view domain, bool isEvacuated);
    void applyUpstreamRecord(const Feed::KeyedRecord &record);
    void handleMemberChange(const Membership::MemberChanged &change);
    void handleReport(const PeerReport &report);
    /// Requests the records that a peer has and this daemon does not, unless a nearer source will have them soon.
    void fetchFrom(Topic topic, const PeerReport &report, Millis now);
    void applyPeerRecords(Topic topic, const Feed::FeedDelta &delta);
    /// Report of this daemon's position in all topics, without observations.
    PeerReport positionReport() const;
    /// Records of the feed for another daemon; the routes in force replace a record of routes that are not in force.
    Feed::FeedDelta recordsSince(Topic topic, const Feed::LogPosition &from) const;
    /// Removes and returns the limits that fit into one report, changes first.
    std::vector<ReportedLimit> takeLimits();
    void sendReport(ReportScope scope);
    Millis reportInterval(bool isReader) const;
    void tick();
    /// Starts or ends what follows from the need for proofs, and updates the view when the proof gets too old or is recent again.
    void updateFreshness();
    /// Part of the configuration that is applied.
    Fleet::KnownConfiguration knownConfiguration() const;
    /// Schedules one call of updateView() in the event loop, unless one is scheduled already.
    void scheduleViewUpdate();
    /// The same after a change of the upstreams.
    void scheduleUpstreamUpdate();
    void updateView();
    /// Whether this daemon can serve calls: it knows routes and upstreams and is not draining.
    bool ready() const;
    bool routesCurrent() const;
    /// Whether this daemon has run long enough to know nearly all members.
    bool membersKnown() const;
    /// Upstreams that may get new calls: neither draining nor in an evacuated domain.
    std::shared_ptr<const std::vector<Fleet::KnownUpstream>> listedUpstreams() const;
    Limits::LimitPool limitPool() const;
    boost::asio::io_context &m_loop;
    NodeSettings m_settings;
    ControlEvents m_events;
    std::array<std::unique_ptr<FollowedTopic>, topicCount> m_topics;
    Fleet::ReaderTimeouts m_readerTimeouts;
    Fleet::FirstReadOptions m_firstRead;
    /// Revision of the members for which the ranks were worked out.
    std::uint64_t m_rankedRevision = 0;
    Fleet::UpstreamTable m_upstreams;
    Fleet::Evacuations m_evacuations;
    std::shared_ptr<const Routes::RouteTable> m_routes;
    /// Latest position of the routes that a peer reported.
    Feed::LogPosition m_reportedRoutesPosition;
    /// Latest version of the routes that a peer reported to be in force.
    std::uint64_t m_reportedRoutesVersion = 0;
    /// Earliest time of the next request for routes that only a peer has in force.
    Millis m_nextVersionFetchAt{};
    /// Record of the routes in force; after the store has returned from a copy, its own may be older.
    std::string m_routesValue;
    PeerLink m_peers;
    FreshnessLink m_freshness;
    AllowanceLink m_allowances;
    /// Outcomes for the next report, by upstream.
    std::map<std::string, UpstreamOutcome> m_outcomes;
    /// Limits for the next reports, by upstream, with the time since which they hold.
    std::map<std::string, PendingLimit> m_limits;
    /// Contention samples for the next report.
    std::vector<ServiceContention> m_contention;
    boost::asio::steady_timer m_timer;
    Millis m_startedAt;
    Millis m_lastReportAt{};
    Millis m_lastViewAt{};
    bool m_draining = false;
    bool m_stopped = false;
    bool m_viewUpdateScheduled = false;
    /// The catch-up time after the start has passed.
    bool m_startEnded = false;
    /// A member has changed since the last view.
    bool m_membersChanged = false;
    /// Whether the last view was made without a recent proof.
    bool m_viewedStale = false;
    /// Upstreams of the last view; null if they have changed since.
    std::shared_ptr<const std::vector<Fleet::KnownUpstream>> m_viewedUpstreams;
    std::uint64_t m_unreadableValues = 0;
};

}

#endif
