#include "entry/control.h"

#include "core/config/address.h"
#include "core/text.h"
#include "platform/records.h"
#include "platform/storeprotocol.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace Laburnummast::Entry
{
namespace
{

using Process::logInfo;
using Process::logWarning;

constexpr std::chrono::milliseconds tickEvery(100);
// Notes on crowding that are kept for one report; each takes about 40 bytes of the 1,400 that it holds.
constexpr std::size_t maxCrowdingKept = 16;
// A reader's word keeps others from reading; plain reports carry outcomes, of which failures do not wait.
constexpr Millis readerReportEvery = 250_ms;
constexpr Millis plainReportEvery = 600_ms;
constexpr Millis failureReportEvery = 100_ms;
// Without any word for this long the store counts as away: longer than a change of readers takes.
constexpr Millis awayAfter = 3_s;

Membership::Address recordsAddress(const PeerReport &report)
{
    return {.ip = report.ip, .port = report.feedPort};
}

std::string textOf(std::int64_t number)
{
    return Text::concat(number);
}

}

Control::Control(boost::asio::io_context &loop, const NodeSettings &settings, ControlEvents events)
    : m_loop(loop)
    , m_settings(settings)
    , m_events(std::move(events))
    , m_topics{std::make_unique<Followed>([this](const Feed::KeyedRecord &it) { routesChanged(it); }),
               std::make_unique<Followed>([this](const Feed::KeyedRecord &it) { upstreamChanged(it); })}
    , m_peers(loop,
              settings,
              {.onMember = [this](const Membership::MemberChanged &it) { memberChanged(it); },
               .onReport = [this](const PeerReport &it) { reported(it); },
               .recordsSince = [this](Topic topic, std::int64_t from) { return of(topic).feed.deltaSince(from); },
               .onRecords = [this](Topic topic, const Feed::FeedDelta &delta) { records(topic, delta); }})
    , m_timer(loop)
    , m_startedAt(Process::steadyNow())
{
}

std::optional<Address> Control::start()
{
    if (auto failure = m_peers.start()) {
        return failure;
    }
    startFollower(Topic::Routes, Platform::routesTopic());
    startFollower(Topic::Upstreams, Platform::upstreamsTopic());
    tick();
    return std::nullopt;
}

void Control::startFollower(Topic topic, std::string_view name)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(m_settings.store.ip, ec);
    auto &followed = of(topic);
    followed.follower = std::make_unique<TopicFollower>(
        m_loop,
        TopicFollowerOptions{.store = {ip, m_settings.store.port},
                             .topic = std::string(name),
                             .wait = m_rules.longPollWait,
                             .seed = static_cast<std::uint64_t>(m_startedAt.count * 1000) + static_cast<std::uint64_t>(topic)},
        followed.feed,
        TopicFollower::Events{.onContact = [this, topic] { noteContact(topic, Process::steadyNow(), true); },
                              .onRecords =
                                  [this](std::size_t n) {
                                      if (n > 0) {
                                          sendReport(true);
                                      }
                                      changed();
                                  },
                              .onFailure =
                                  [this, topic](std::string_view reason) {
                                      if (of(topic).follower->failing() == 1) {
                                          logWarning(
                                              "store-read-failed",
                                              {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"reason", std::string(reason)}});
                                      }
                                  }});
}

void Control::noteContact(Topic topic, Millis at, bool own)
{
    auto &followed = of(topic);
    if (own) {
        followed.ownContactAt = at;
    }
    const auto latest = followed.contactAt.value_or(Process::steadyNow() - awayAfter);
    if (at <= latest) {
        return;
    }
    followed.contactAt = at;
    if (followed.away) {
        followed.away = false;
        logInfo("store-back", {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"through", own ? "itself" : "peer"}});
        if (topic == Topic::Upstreams) {
            m_upstreams.markStoreReachable(Process::steadyNow());
        }
    }
}

void Control::noteAway(Millis now)
{
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        auto &followed = of(topic);
        if (followed.away || !followed.contactAt || now - *followed.contactAt < awayAfter) {
            continue;
        }
        followed.away = true;
        logWarning("store-away", {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"position", textOf(followed.feed.end())}});
        if (topic == Topic::Upstreams) {
            m_upstreams.markStoreUnreachable();
        }
    }
}

std::vector<std::string> Control::daemons() const
{
    std::vector<std::string> names;
    for (const auto &it : m_peers.members().serving()) {
        names.push_back(it.info.host);
    }
    return names;
}

void Control::chooseReaders(Millis now)
{
    const auto names = daemons();
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        auto &followed = of(topic);
        const auto name = topic == Topic::Routes ? Platform::routesTopic() : Platform::upstreamsTopic();
        const auto age = now - followed.contactAt.value_or(m_startedAt);
        const auto silence = followed.betterReaderAt ? std::optional(now - *followed.betterReaderAt) : std::nullopt;
        const auto place = Fleet::readerRank(name, names, m_settings.host);
        const bool active = followed.follower->active();
        // A daemon that knows nothing yet does not wait for others: after a restart of all there is nobody to wait for.
        const bool wanted = !followed.feed.hasSnapshot() || Fleet::shouldRead(place, age, active, silence, m_rules);
        if (wanted != active) {
            logInfo(wanted ? "store-reading" : "store-reading-ended",
                    {{"topic", std::string(name)},
                     {"place", textOf(static_cast<std::int64_t>(place))},
                     {"age-ms", textOf(static_cast<std::int64_t>(age.count))}});
            followed.follower->setActive(wanted);
            // The next in the order must hear of it before its own turn.
            m_reportedAt = Millis{-1e12};
        }
    }
}

void Control::tick()
{
    if (m_stopped) {
        return;
    }
    const auto now = Process::steadyNow();
    noteAway(now);
    chooseReaders(now);
    if (m_upstreams.applyDeferredRemovals(now)) {
        changed();
    }
    // Every daemon has to hear of a reader; plain reports may go to some.
    const bool reads = std::any_of(m_topics.begin(), m_topics.end(), [](const auto &it) { return it->follower->active(); });
    if (now - m_reportedAt >= reportInterval(reads)) {
        sendReport(reads);
    }
    m_timer.expires_after(tickEvery);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec) {
            tick();
        }
    });
}

Millis Control::reportInterval(bool reads) const
{
    const bool failures = std::any_of(m_outcomes.begin(), m_outcomes.end(), [](const auto &it) { return it.second.bad > 0; });
    return failures ? failureReportEvery : reads ? readerReportEvery : plainReportEvery;
}

void Control::sendReport(bool toAll)
{
    const auto now = Process::steadyNow();
    m_reportedAt = now;
    PeerReport report{.host = m_settings.host,
                      .ip = m_settings.ip,
                      .feedPort = internalAddress(m_settings, InternalPort::Members).port,
                      .feeds = {},
                      .findings = {}};
    for (std::size_t i = 0; i < topicCount; ++i) {
        const auto &followed = *m_topics[i];
        report.feeds[i] = {.end = followed.feed.end(),
                           .known = followed.feed.hasSnapshot(),
                           .reading = followed.follower->active() && followed.follower->failing() == 0,
                           .contactAge = now - followed.contactAt.value_or(Millis{-1e12})};
    }
    for (auto &[key, it] : m_outcomes) {
        report.findings.outcomes.push_back(std::move(it));
    }
    m_outcomes.clear();
    report.findings.crowding = std::exchange(m_crowding, {});
    m_peers.report(report, toAll);
}

void Control::reported(const PeerReport &report)
{
    if (report.host == m_settings.host) {
        return;
    }
    const auto now = Process::steadyNow();
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        const auto &theirs = report.feeds[static_cast<std::size_t>(topic)];
        auto &followed = of(topic);
        const bool ahead = theirs.known && (theirs.end > followed.feed.end() || !followed.feed.hasSnapshot());
        if (ahead) {
            m_peers.fetch(topic, followed.feed.hasSnapshot() ? followed.feed.end() : 0, recordsAddress(report));
        } else if (theirs.known && theirs.end == followed.feed.end()) {
            // Its word is as old as its contact, and says nothing of what this daemon has not fetched yet.
            noteContact(topic, now - theirs.contactAge, false);
        }
        const auto name = topic == Topic::Routes ? Platform::routesTopic() : Platform::upstreamsTopic();
        const std::array<std::string, 1> other{report.host};
        if (theirs.reading && Fleet::readerRank(name, other, m_settings.host) == 1) {
            followed.betterReaderAt = now;
        }
    }
    if (!report.findings.empty()) {
        m_events.onFindings(report.findings);
    }
}

void Control::records(Topic topic, const Feed::FeedDelta &delta)
{
    const auto n = of(topic).feed.applyDelta(delta);
    logInfo("records-from-peer",
            {{"topic", textOf(static_cast<std::int64_t>(topic))},
             {"records", textOf(static_cast<std::int64_t>(n))},
             {"position", textOf(delta.end)}});
    changed();
}

void Control::routesChanged(const Feed::KeyedRecord &record)
{
    if (record.key != Platform::routesKey() || !record.value) {
        return;
    }
    auto decoded = Platform::decodeRoutes(*record.value);
    if (const auto *error = std::get_if<Platform::RecordError>(&decoded)) {
        ++m_unreadable;
        logWarning("routes-unreadable", {{"offset", textOf(record.offset)}, {"error", std::string(Platform::nameOf(*error))}});
        return;
    }
    auto &table = std::get<Routes::RouteTable>(decoded);
    if (m_routes && table.version() <= m_routes->version()) {
        logInfo("routes-not-newer",
                {{"version", textOf(static_cast<std::int64_t>(table.version()))},
                 {"in-force", textOf(static_cast<std::int64_t>(m_routes->version()))}});
        return;
    }
    logInfo("routes-in-force",
            {{"version", textOf(static_cast<std::int64_t>(table.version()))},
             {"offset", textOf(record.offset)},
             {"routes", textOf(static_cast<std::int64_t>(table.routeCount()))}});
    m_routes = std::make_shared<const Routes::RouteTable>(std::move(table));
}

void Control::upstreamChanged(const Feed::KeyedRecord &record)
{
    const auto now = Process::steadyNow();
    if (!record.value) {
        logInfo("upstream-removed", {{"upstream", record.key}, {"offset", textOf(record.offset)}});
        m_upstreams.remove(record.key, now);
        return;
    }
    const auto decoded = Platform::decodeUpstream(record.key, *record.value);
    if (const auto *error = std::get_if<Platform::RecordError>(&decoded)) {
        ++m_unreadable;
        logWarning("upstream-unreadable",
                   {{"upstream", record.key}, {"offset", textOf(record.offset)}, {"error", std::string(Platform::nameOf(*error))}});
        m_upstreams.remove(record.key, now);
        return;
    }
    const auto &upstream = std::get<Fleet::UpstreamRecord>(decoded);
    logInfo("upstream",
            {{"upstream", upstream.id},
             {"service", upstream.service},
             {"state", upstream.draining ? "draining" : "ready"},
             {"offset", textOf(record.offset)}});
    m_upstreams.put(upstream, now);
}

void Control::memberChanged(const Membership::MemberChanged &change)
{
    if (!change.previousState || *change.previousState != change.member.state) {
        logInfo("member", {{"host", change.member.info.host}, {"state", std::string(Membership::nameOf(change.member.state))}});
    }
    changed();
}

bool Control::ready() const
{
    return m_routes && of(Topic::Upstreams).feed.hasSnapshot() && !m_draining;
}

void Control::changed()
{
    if (m_publishing || m_stopped) {
        return;
    }
    // Several records mostly come in one step; one view carries them all.
    m_publishing = true;
    boost::asio::post(m_loop, [this] {
        m_publishing = false;
        publish();
    });
}

void Control::publish()
{
    if (m_stopped) {
        return;
    }
    const auto announced = ready() ? static_cast<std::int64_t>(m_routes->version()) : -1;
    if (m_peers.members().self().config.offset != announced) {
        m_peers.announce(announced);
    }
    auto view = std::make_shared<NodeView>();
    view->routes = m_routes;
    view->upstreamsKnown = of(Topic::Upstreams).feed.hasSnapshot();
    view->draining = m_draining;
    for (const auto &[id, it] : m_upstreams.upstreams()) {
        if (!it.record.draining) {
            view->upstreams.push_back(it);
        }
    }
    if (ready()) {
        view->entries.push_back({.host = m_settings.host, .domain = m_settings.domain, .address = Config::toString(m_settings.front)});
    }
    view->servingDaemons = m_peers.members().serving().size();
    view->daemons = 1;
    for (const auto &it : m_peers.members().others()) {
        ++view->daemons;
        if (it.state == Membership::MemberState::Alive && it.config.offset >= 0) {
            view->entries.push_back({.host = it.info.host, .domain = it.info.domain, .address = Config::toString(it.info.entry)});
        }
    }
    m_events.onView(std::move(view));
}

void Control::addFindings(const Findings &findings)
{
    // More than a report carries would only be left out of it.
    if (m_crowding.size() + findings.crowding.size() <= maxCrowdingKept) {
        m_crowding.insert(m_crowding.end(), findings.crowding.begin(), findings.crowding.end());
    }
    for (const auto &it : findings.outcomes) {
        auto &sum = m_outcomes[it.upstream];
        sum.service = it.service;
        sum.upstream = it.upstream;
        sum.good += it.good;
        sum.bad += it.bad;
    }
}

void Control::drain()
{
    m_draining = true;
    m_peers.leave();
    changed();
}

void Control::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (const auto &it : m_topics) {
        if (it->follower) {
            it->follower->setActive(false);
        }
    }
    m_peers.stop();
}

ControlState Control::state() const
{
    ControlState state;
    const auto now = Process::steadyNow();
    for (std::size_t i = 0; i < topicCount; ++i) {
        const auto &followed = *m_topics[i];
        state.topics[i] = {.end = followed.feed.end(),
                           .known = followed.feed.hasSnapshot(),
                           .reading = followed.follower && followed.follower->active(),
                           .contactAge = now - followed.contactAt.value_or(m_startedAt),
                           .store = followed.follower ? followed.follower->counters() : TopicFollowerCounters{}};
        state.storeAway = state.storeAway || followed.away;
    }
    state.routesVersion = m_routes ? m_routes->version() : 0;
    state.upstreams = m_upstreams.upstreams().size();
    state.removalsHeldBack = m_upstreams.deferredRemovalCount();
    state.members = m_peers.members().serving().size();
    state.unreadableRecords = m_unreadable;
    state.peers = m_peers.counters();
    return state;
}

}
