#ifndef LABURNUMMAST_ENTRY_CONTROL_H
#define LABURNUMMAST_ENTRY_CONTROL_H

#include "core/feed/keyedfeed.h"
#include "core/fleet/readerchoice.h"
#include "core/fleet/upstreamtable.h"
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

/// Counts and positions of the control side, for metrics and the state dump.
struct ControlState
{
    struct TopicState
    {
        std::int64_t end = 0;
        bool hasSnapshot = false;
        bool isReading = false;
        Millis contactAge;
        TopicFollowerCounters storeCounters;
    };

    std::array<TopicState, topicCount> topics{};
    std::uint64_t routesVersion = 0;
    std::size_t upstreamCount = 0;
    std::size_t deferredRemovalCount = 0;
    std::size_t servingMemberCount = 0;
    std::uint64_t unreadableRecords = 0;
    bool storeUnreachable = false;
    PeerCounters peers;
};

struct ControlEvents
{
    /// Something that the traffic side uses has changed.
    std::function<void(std::shared_ptr<const NodeView>)> onView;
    /// What calls taught another daemon.
    std::function<void(Observations)> onPeerObservations;
};

/// Beliefs of one daemon: routes and upstreams from the store or from peers, and who the peers are.
class Control
{
public:
    Control(boost::asio::io_context &loop, const NodeSettings &settings, ControlEvents events);

    std::optional<Address> start();
    /// Leaves the entry lists; goes on following.
    void drain();
    void stop();
    /// What calls taught this daemon, for the next report.
    void addObservations(const Observations &observations);

    ControlState state() const;

private:
    struct FollowedTopic
    {
        explicit FollowedTopic(Feed::KeyedFeed::OnChange onChange)
            : feed(std::move(onChange))
        {
        }

        Feed::KeyedFeed feed;
        std::unique_ptr<TopicFollower> follower;
        /// When the store itself was last heard of, here or through a peer.
        std::optional<Millis> lastContactAt;
        /// The same, only here.
        std::optional<Millis> lastDirectContactAt;
        /// A daemon that comes before this one reads, and was heard of then.
        std::optional<Millis> higherRankedReaderAt;
        bool storeUnreachable = false;
    };

    FollowedTopic &topicState(Topic topic)
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    const FollowedTopic &topicState(Topic topic) const
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    void startFollower(Topic topic, std::string_view name);
    void updateReading(Millis now);
    void recordContact(Topic topic, Millis at, bool isDirect);
    void detectUnreachableStore(Millis now);
    void applyRoutesRecord(const Feed::KeyedRecord &record);
    void applyUpstreamRecord(const Feed::KeyedRecord &record);
    void handleMemberChange(const Membership::MemberChanged &change);
    void handleReport(const PeerReport &report);
    void applyPeerRecords(Topic topic, const Feed::FeedDelta &delta);
    void sendReport(bool toAll);
    Millis reportInterval(bool isReader) const;
    void tick();
    void scheduleViewUpdate();
    void updateView();
    bool ready() const;
    std::vector<std::string> servingHosts() const;

    boost::asio::io_context &m_loop;
    NodeSettings m_settings;
    ControlEvents m_events;
    std::array<std::unique_ptr<FollowedTopic>, topicCount> m_topics;
    Fleet::ReaderTimeouts m_readerTimeouts;
    Fleet::UpstreamTable m_upstreams;
    std::shared_ptr<const Routes::RouteTable> m_routes;
    PeerLink m_peers;
    std::map<std::string, UpstreamOutcome> m_outcomes;
    std::vector<ServiceContention> m_contention;
    boost::asio::steady_timer m_timer;
    Millis m_startedAt;
    Millis m_reportedAt{};
    bool m_draining = false;
    bool m_stopped = false;
    bool m_viewUpdateScheduled = false;
    std::uint64_t m_unreadableRecords = 0;
};

}

#endif
