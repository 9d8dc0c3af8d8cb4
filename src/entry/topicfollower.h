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

struct TopicFollowerOptions
{
    boost::asio::ip::tcp::endpoint store;
    std::string topic;
    /// How long the store may hold a read open.
    Millis longPollWait{1000};
    std::uint64_t randomSeed = 1;
};

/// Counts since the start; each only grows.
struct TopicFollowerCounters
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t records = 0;
    std::uint64_t unreadableRecords = 0;
};

/// Follows one topic of the store into a feed: lists the newest records once, then reads on from there.
class TopicFollower
{
public:
    struct Events
    {
        /// The store answered; called before its records are applied.
        std::function<void()> onContact;
        std::function<void(std::size_t records)> onRecords;
        std::function<void(std::string_view reason)> onFailure;
    };

    TopicFollower(boost::asio::io_context &loop, TopicFollowerOptions options, Feed::KeyedFeed &feed, Events events);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    TopicFollower &operator=(const TopicFollower &) = delete;

    void setActive(bool active);
    bool active() const
    {
        return m_active;
    }
    /// Failures in a row.
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
    void sendRequest(const Http::Request &request, Millis timeout, std::function<void(const Http::Response &)> onResponse);
    void requestSnapshotPage();
    void requestRecords();
    void handleSnapshotPage(const Http::Response &response);
    void handleRecords(const Http::Response &response, std::int64_t from);
    void handleFailure(std::string_view reason);
    void recordContact();

    boost::asio::io_context &m_loop;
    TopicFollowerOptions m_options;
    Feed::KeyedFeed &m_feed;
    Events m_events;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Http::ClientConnection> m_connection;
    std::vector<Feed::KeyedRecord> m_snapshotRecords;
    std::string m_lastKey;
    std::mt19937_64 m_random;
    bool m_active = false;
    bool m_requestInFlight = false;
    bool m_needsSnapshot = true;
    std::uint64_t m_activation = 0;
    int m_consecutiveFailures = 0;
    TopicFollowerCounters m_counters;
};

}

#endif
