#include "entry/topicfollower.h"

#include "core/config/address.h"
#include "platform/storeprotocol.h"
#include "process/wallclock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Laburnummast::Entry
{
namespace
{

// Longest time without a byte of a response, in addition to the time for which the store holds a long poll open.
constexpr Millis responseTimeout = 700_ms;
// Longest time for a whole response: a page of 1 MB takes seconds on a slow link.
constexpr Millis totalTimeout = 20_s;
// The store sends at most a megabyte of records at once, which takes a third more in the encoding of a snapshot.
constexpr std::uint64_t maxResponseBytes = 8388608;
// Pause after new records. Records usually appear in groups, so the next request gets the rest of a group at once.
constexpr Millis batchDelay = 100_ms;
constexpr Millis initialBackoff = 100_ms;
constexpr Millis maxBackoff = 2_s;

}

TopicFollower::TopicFollower(boost::asio::io_context &loop, TopicFollowerOptions options, Feed::KeyedFeed &feed, Events events)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_feed(feed)
    , m_events(std::move(events))
    , m_timer(loop)
    , m_random(m_options.randomSeed)
{
}

TopicFollower::~TopicFollower()
{
    setActive(false);
}

void TopicFollower::setActive(bool active)
{
    if (active == m_active) {
        return;
    }
    m_active = active;
    ++m_activation;
    if (active) {
        m_needsSnapshot = !m_feed.hasSnapshot();
        discardSnapshotPages();
        startNextRequest();
        return;
    }
    m_timer.cancel();
    m_requestInFlight = false;
    if (m_connection) {
        m_connection->cancel();
        m_connection.reset();
    }
}

void TopicFollower::startNextRequest()
{
    if (!m_active || m_requestInFlight) {
        return;
    }
    if (m_needsSnapshot) {
        requestSnapshotPage();
    } else {
        requestRecords();
    }
}

void TopicFollower::startNextRequestAfter(Millis pause)
{
    m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(pause.count * 1000)));
    m_timer.async_wait([this, activation = m_activation](const auto &ec) {
        if (!ec && activation == m_activation) {
            startNextRequest();
        }
    });
}

void TopicFollower::sendRequest(const Http::Request &request,
                                Millis progressTimeout,
                                std::function<void(const Http::Response &)> onResponse)
{
    ++m_counters.requests;
    m_requestInFlight = true;
    if (!m_connection || !m_connection->usable()) {
        m_connection = std::make_shared<Http::ClientConnection>(m_loop, m_options.store);
    }
    auto requestWithHost = request;
    requestWithHost.headers.push_back({"Host", m_options.store.address().to_string()});
    m_connection->start(
        {.bytes = Http::encode(requestWithHost),
         .timeout = totalTimeout,
         .progressTimeout = progressTimeout,
         .maxBodyBytes = maxResponseBytes,
         .matchesRequest = nullptr,
         .onResult = [this, activation = m_activation, onResponse = std::move(onResponse)](const Http::ClientResult &result) {
             if (activation != m_activation) {
                 return;
             }
             m_requestInFlight = false;
             if (const auto *error = std::get_if<Http::ClientError>(&result)) {
                 handleFailure(Http::nameOf(*error));
             } else {
                 const auto &response = std::get<Http::Response>(result);
                 handleEra(Platform::storeEra(response));
                 onResponse(response);
             }
         }});
}

void TopicFollower::handleEra(std::int64_t era)
{
    if (era > m_storeEra) {
        m_storeEra = era;
        m_events.onNewEra(era);
    }
    if (era > m_feed.position().era) {
        m_needsSnapshot = true;
    }
}

void TopicFollower::requestSnapshotPage()
{
    sendRequest(Platform::snapshotRequest(m_options.topic, m_lastSnapshotKey),
                responseTimeout,
                [this, requestedAt = Process::bootNow()](const Http::Response &response) { handleSnapshotPage(response, requestedAt); });
}

void TopicFollower::discardSnapshotPages()
{
    m_snapshotRecords.clear();
    m_lastSnapshotKey.clear();
}

void TopicFollower::handleSnapshotPage(const Http::Response &response, Millis requestedAt)
{
    auto decoded = Platform::decodeSnapshotPage(response);
    const auto era = Platform::storeEra(response);
    const auto *error = std::get_if<Platform::StoreError>(&decoded);
    const bool isFirstPage = m_lastSnapshotKey.empty();
    // Pages of two eras do not belong to one log.
    const bool otherEra = era < std::max(m_storeEra, m_feed.position().era) || (!isFirstPage && era != m_snapshotEnd.era);
    if (error || otherEra) {
        m_counters.staleSnapshots += error ? 0 : 1;
        discardSnapshotPages();
        handleFailure(error ? Platform::nameOf(*error) : "other-era");
        return;
    }
    auto &page = std::get<Platform::SnapshotPage>(decoded);
    if (page.hasMore && (page.lastKey.empty() || page.lastKey == m_lastSnapshotKey)) {
        // The next page would be the same one again, and without it the snapshot is not complete.
        discardSnapshotPages();
        handleFailure(Platform::nameOf(Platform::StoreError::Malformed));
        return;
    }
    // The pages are read one after the other, so a key of an earlier page may have changed before the end that a later one states.
    const Feed::LogPosition pageEnd{.era = era, .offset = page.end};
    m_snapshotEnd = isFirstPage ? pageEnd : std::min(m_snapshotEnd, pageEnd);
    m_snapshotRequestedAt = isFirstPage ? requestedAt : m_snapshotRequestedAt;
    m_lastSnapshotKey = page.lastKey;
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_snapshotRecords));
    if (page.hasMore) {
        requestSnapshotPage();
        return;
    }
    handleContact();
    const auto records = std::move(m_snapshotRecords);
    discardSnapshotPages();
    m_needsSnapshot = false;
    const bool isStale = m_snapshotEnd < m_feed.position();
    m_counters.staleSnapshots += isStale ? 1 : 0;
    m_events.onRecords(m_feed.applySnapshot(records, m_snapshotEnd));
    if (!isStale) {
        reportCaughtUp(m_snapshotRequestedAt);
    }
    startNextRequest();
}

void TopicFollower::requestRecords()
{
    const auto from = m_feed.position();
    sendRequest(
        Platform::logReadRequest(m_options.topic, from.offset, m_options.longPollWait),
        m_options.longPollWait + responseTimeout,
        [this, from, requestedAt = Process::bootNow()](const Http::Response &response) { handleRecords(response, from, requestedAt); });
}

void TopicFollower::handleRecords(const Http::Response &response, const Feed::LogPosition &from, Millis requestedAt)
{
    auto decoded = Platform::decodeLogRecords(response, from.offset);
    if (const auto *error = std::get_if<Platform::StoreError>(&decoded)) {
        if (*error == Platform::StoreError::RecordsGone) {
            ++m_counters.goneReads;
            if (m_consecutiveLostReads == 0) {
                m_events.onRecordsGone(from.offset);
            }
            handleLostPosition();
            return;
        }
        handleFailure(Platform::nameOf(*error));
        return;
    }
    const auto era = Platform::storeEra(response);
    if (era < std::max(m_storeEra, m_feed.position().era)) {
        handleFailure("other-era");
        return;
    }
    if (era != from.era) {
        // The requested offset belongs to an earlier era, so the records do not follow those of the feed.
        handleLostPosition();
        return;
    }
    const auto &log = std::get<Platform::LogRecords>(decoded);
    handleContact();
    m_consecutiveLostReads = 0;
    m_counters.unreadableRecords += log.unreadableCount;
    if (log.nextOffset > from.offset) {
        m_events.onRecords(m_feed.apply(log.records, {.era = era, .offset = log.nextOffset}));
    }
    if (log.nextOffset == log.end) {
        reportCaughtUp(requestedAt);
    }
    if (log.nextOffset > from.offset) {
        startNextRequestAfter(batchDelay);
    } else {
        startNextRequest();
    }
}

void TopicFollower::reportCaughtUp(Millis requestedAt)
{
    if (m_events.onCaughtUp) {
        m_events.onCaughtUp(requestedAt);
    }
}

void TopicFollower::handleLostPosition()
{
    m_needsSnapshot = true;
    if (++m_consecutiveLostReads == 1) {
        startNextRequest();
        return;
    }
    ++m_counters.failures;
    startNextRequestAfter(backoff(m_consecutiveLostReads - 1));
}

void TopicFollower::handleContact()
{
    m_consecutiveFailures = 0;
    m_events.onContact();
}

void TopicFollower::handleFailure(std::string_view reason)
{
    ++m_counters.failures;
    ++m_consecutiveFailures;
    m_connection.reset();
    m_events.onFailure(reason);
    startNextRequestAfter(backoff(m_consecutiveFailures));
}

Millis TopicFollower::backoff(int failures)
{
    // The limit of 8 doublings only keeps the power small; maxBackoff is reached earlier.
    const auto longest = std::min(maxBackoff, initialBackoff * std::pow(2.0, std::min(failures - 1, 8)));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return longest * jitter(m_random);
}

}
