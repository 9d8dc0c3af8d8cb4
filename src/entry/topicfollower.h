#ifndef LABURNUMMAST_ENTRY_TOPICFOLLOWER_H
#define LABURNUMMAST_ENTRY_TOPICFOLLOWER_H

#include "core/feed/keyedfeed.h"
#include "core/millis.h"
#include "http/clientconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Entry
{

/// Topic and timing of a TopicFollower.
struct TopicFollowerOptions
{
    boost::asio::ip::tcp::endpoint store;
    std::string topic;
    /// Longest time that the store holds a read request open.
    Millis longPollWait{1000};
    /// Seeds the random part of the backoff.
    std::uint64_t randomSeed = 1;
};

/// Counters since the start; they only increase.
struct TopicFollowerCounters
{
    /// Requests to the store.
    std::uint64_t requests = 0;
    /// Failed requests; a response that only requires a new snapshot does not count.
    std::uint64_t failures = 0;
    /// Always 0 at present.
    std::uint64_t records = 0;
    /// Reads of records that the store no longer has.
    std::uint64_t goneReads = 0;
    /// Snapshots of an earlier era, or that end before the position of the feed in the same era.
    std::uint64_t staleSnapshots = 0;
    /// Records from which no key could be read.
    std::uint64_t unreadableRecords = 0;
};

/// Applies the records of one topic of the store to a feed: first a snapshot, then the records that follow it.
///
/// A response of a later era makes a new snapshot necessary; one of an earlier era counts as failed. Failed requests are repeated with
/// exponential backoff.
class TopicFollower
{
public:
    struct Events
    {
        /// The store answered; called before the records are applied.
        std::function<void()> onContact;
        /// Records were applied; `records` is the number of new ones and may be 0.
        std::function<void(std::size_t records)> onRecords;
        /// All records that the store had confirmed when a request was sent, at `requestedAt` on the clock that also counts suspensions,
        /// are applied. May be empty.
        std::function<void(Millis requestedAt)> onCaughtUp;
        /// A request failed and will be repeated.
        std::function<void(std::string_view reason)> onFailure;
        /// The offsets of the store belong to a later era than before.
        std::function<void(std::int64_t era)> onNewEra;
        /// The store no longer has the record at an offset; called for the first such read since a successful one.
        std::function<void(std::int64_t offset)> onRecordsGone;
    };

    TopicFollower(boost::asio::io_context &loop, TopicFollowerOptions options, Feed::KeyedFeed &feed, Events events);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    TopicFollower &operator=(const TopicFollower &) = delete;

    /// Starts or ends reading from the store; the feed keeps its records.
    void setActive(bool active);
    bool active() const
    {
        return m_active;
    }
    /// Changes the longest time that the store holds a read open, from the next request on.
    void setLongPollWait(Millis wait)
    {
        m_options.longPollWait = wait;
    }
    /// Failed requests since the last successful one.
    int consecutiveFailures() const
    {
        return m_consecutiveFailures;
    }
    const TopicFollowerCounters &counters() const
    {
        return m_counters;
    }

private:
    void startNextRequest();
    void startNextRequestAfter(Millis pause);
    void sendRequest(const Http::Request &request, Millis progressTimeout, std::function<void(const Http::Response &)> onResponse);
    void requestSnapshotPage();
    void requestRecords();
    /// Notes the era of a response; a later one than that of the feed makes a new snapshot necessary.
    void handleEra(std::int64_t era);
    void discardSnapshotPages();
    void handleSnapshotPage(const Http::Response &response, Millis requestedAt);
    void handleRecords(const Http::Response &response, const Feed::LogPosition &from, Millis requestedAt);
    void reportCaughtUp(Millis requestedAt);
    void handleFailure(std::string_view reason);
    /// Takes a new snapshot because the position is lost: at once the first time, then with backoff.
    void handleLostPosition();
    Millis backoff(int failures);
    /// Ends the backoff and reports contact with the store.
    void handleContact();

    boost::asio::io_context &m_loop;
    TopicFollowerOptions m_options;
    Feed::KeyedFeed &m_feed;
    Events m_events;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Http::ClientConnection> m_connection;
    /// Records of the snapshot pages received so far.
    std::vector<Feed::KeyedRecord> m_snapshotRecords;
    /// Last key of these pages, after which the next page starts; empty before the first page.
    std::string m_lastSnapshotKey;
    std::mt19937_64 m_random;
    bool m_active = false;
    bool m_requestInFlight = false;
    bool m_needsSnapshot = true;
    /// Number of the current activation; results of requests from earlier ones are ignored.
    std::uint64_t m_activation = 0;
    int m_consecutiveFailures = 0;
    /// Reads since the last successful one that only made a new snapshot necessary.
    int m_consecutiveLostReads = 0;
    /// Highest era that the store has stated.
    std::int64_t m_storeEra = 0;
    /// Era of these pages, and the smallest end that one of them states.
    Feed::LogPosition m_snapshotEnd;
    /// When the first of these pages was requested.
    Millis m_snapshotRequestedAt{};
    TopicFollowerCounters m_counters;
};

}

#endif
