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
    struct Topic
    {
        std::int64_t end = 0;
        bool known = false;
        bool reading = false;
        Millis contactAge;
        TopicFollowerCounters store;
    };

    std::array<Topic, topicCount> topics{};
    std::uint64_t routesVersion = 0;
    std::size_t upstreams = 0;
    std::size_t removalsHeldBack = 0;
    std::size_t members = 0;
    std::uint64_t unreadableRecords = 0;
    bool storeAway = false;
    PeerCounters peers;
};

struct ControlEvents
{
    /// Something that the traffic side uses has changed.
    std::function<void(std::shared_ptr<const NodeView>)> onView;
    /// What calls taught another daemon.
    std::function<void(Findings)> onFindings;
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
    void addFindings(const Findings &findings);

    ControlState state() const;

private:
    struct Followed
    {
        explicit Followed(Feed::KeyedFeed::OnChange onChange)
            : feed(std::move(onChange))
        {
        }

        Feed::KeyedFeed feed;
        std::unique_ptr<TopicFollower> follower;
        /// When the store itself was last heard of, here or through a peer.
        std::optional<Millis> contactAt;
        /// The same, only here.
        std::optional<Millis> ownContactAt;
        /// A daemon that comes before this one reads, and was heard of then.
        std::optional<Millis> betterReaderAt;
        bool away = false;
    };

    Followed &of(Topic topic)
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    const Followed &of(Topic topic) const
    {
        return *m_topics[static_cast<std::size_t>(topic)];
    }
    void startFollower(Topic topic, std::string_view name);
    void chooseReaders(Millis now);
    void noteContact(Topic topic, Millis at, bool own);
    void noteAway(Millis now);
    void routesChanged(const Feed::KeyedRecord &record);
    void upstreamChanged(const Feed::KeyedRecord &record);
    void memberChanged(const Membership::MemberChanged &change);
    void reported(const PeerReport &report);
    void records(Topic topic, const Feed::FeedDelta &delta);
    void sendReport(bool toAll);
    Millis reportInterval(bool reads) const;
    void tick();
    void changed();
    void publish();
    bool ready() const;
    std::vector<std::string> daemons() const;

    boost::asio::io_context &m_loop;
    NodeSettings m_settings;
    ControlEvents m_events;
    std::array<std::unique_ptr<Followed>, topicCount> m_topics;
    Fleet::ReaderTimeouts m_rules;
    Fleet::UpstreamTable m_upstreams;
    std::shared_ptr<const Routes::RouteTable> m_routes;
    PeerLink m_peers;
    std::map<std::string, UpstreamOutcome> m_outcomes;
    std::vector<ServiceCrowding> m_crowding;
    boost::asio::steady_timer m_timer;
    Millis m_startedAt;
    Millis m_reportedAt{};
    bool m_draining = false;
    bool m_stopped = false;
    bool m_publishing = false;
    std::uint64_t m_unreadable = 0;
};

}

#endif
