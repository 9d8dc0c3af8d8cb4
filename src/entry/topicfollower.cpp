#include "entry/topicfollower.h"

#include "core/config/address.h"
#include "platform/storeprotocol.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Laburnummast::Entry
{
namespace
{

// Longest time for an answer that the store does not hold back; it may be slow.
constexpr Millis answerTimeout = 700_ms;
// Records mostly come together: a short pause lets one call bring them all.
constexpr Millis gatherPause = 30_ms;
constexpr Millis firstBackoff = 100_ms;
constexpr Millis longestBackoff = 2_s;

}

TopicFollower::TopicFollower(boost::asio::io_context &loop, TopicFollowerOptions options, Feed::KeyedFeed &feed, Events events)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_feed(feed)
    , m_events(std::move(events))
    , m_timer(loop)
    , m_random(m_options.seed)
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
    ++m_turn;
    if (active) {
        m_mustList = !m_feed.hasSnapshot();
        next();
        return;
    }
    m_timer.cancel();
    m_busy = false;
    if (m_connection) {
        m_connection->cancel();
        m_connection.reset();
    }
}

void TopicFollower::next()
{
    if (!m_active || m_busy) {
        return;
    }
    if (m_mustList) {
        list();
    } else {
        readOn();
    }
}

void TopicFollower::nextAfter(Millis pause)
{
    m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(pause.count * 1000)));
    m_timer.async_wait([this, turn = m_turn](const auto &ec) {
        if (!ec && turn == m_turn) {
            next();
        }
    });
}

void TopicFollower::call(const Http::Request &request, Millis timeout, std::function<void(const Http::Response &)> onResponse)
{
    ++m_counters.calls;
    m_busy = true;
    if (!m_connection || !m_connection->usable()) {
        m_connection = std::make_shared<Http::ClientConnection>(m_loop, m_options.store);
    }
    auto addressed = request;
    addressed.headers.push_back({"Host", m_options.store.address().to_string()});
    m_connection->start({.bytes = Http::encode(addressed),
                         .timeout = timeout,
                         .matchesRequest = nullptr,
                         .onResult = [this, turn = m_turn, onResponse = std::move(onResponse)](const Http::ClientResult &result) {
                             if (turn != m_turn) {
                                 return;
                             }
                             m_busy = false;
                             if (const auto *error = std::get_if<Http::ClientError>(&result)) {
                                 failed(Http::nameOf(*error));
                             } else {
                                 onResponse(std::get<Http::Response>(result));
                             }
                         }});
}

void TopicFollower::list()
{
    call(Platform::snapshotRequest(m_options.topic, m_after), answerTimeout, [this](const Http::Response &response) { listed(response); });
}

void TopicFollower::listed(const Http::Response &response)
{
    auto decoded = Platform::decodeSnapshotPage(response);
    if (const auto *error = std::get_if<Platform::StoreError>(&decoded)) {
        m_page.clear();
        m_after.clear();
        failed(Platform::nameOf(*error));
        return;
    }
    auto &page = std::get<Platform::SnapshotPage>(decoded);
    const bool more = page.hasMore && !page.records.empty();
    if (more) {
        m_after = page.records.back().key;
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(m_page));
    if (more) {
        list();
        return;
    }
    contact();
    const auto records = std::move(m_page);
    m_page.clear();
    m_after.clear();
    m_mustList = false;
    m_events.onRecords(m_feed.applySnapshot(records, page.end));
    next();
}

void TopicFollower::readOn()
{
    const auto from = m_feed.end();
    call(Platform::logReadRequest(m_options.topic, from, m_options.wait),
         m_options.wait + answerTimeout,
         [this, from](const Http::Response &response) { readEnded(response, from); });
}

void TopicFollower::readEnded(const Http::Response &response, std::int64_t from)
{
    auto decoded = Platform::decodeLogRecords(response, from);
    if (const auto *error = std::get_if<Platform::StoreError>(&decoded)) {
        if (*error == Platform::StoreError::RecordsGone) {
            m_mustList = true;
            next();
            return;
        }
        failed(Platform::nameOf(*error));
        return;
    }
    const auto &log = std::get<Platform::LogRecords>(decoded);
    contact();
    m_counters.unreadable += log.unreadableCount;
    if (log.nextOffset > from) {
        m_events.onRecords(m_feed.apply(log.records, log.nextOffset));
        nextAfter(gatherPause);
    } else {
        next();
    }
}

void TopicFollower::contact()
{
    m_failing = 0;
    m_events.onContact();
}

void TopicFollower::failed(std::string_view reason)
{
    ++m_counters.failures;
    ++m_failing;
    m_connection.reset();
    m_events.onFailure(reason);
    const auto backoff = std::min(longestBackoff, firstBackoff * std::pow(2.0, std::min(m_failing - 1, 8)));
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    nextAfter(backoff * spread(m_random));
}

}
