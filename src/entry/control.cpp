#include "entry/control.h"

#include "core/config/address.h"
#include "core/routing/rendezvous.h"
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

constexpr std::chrono::milliseconds tickInterval(100);
// Contention samples kept for one report; each takes about 40 of the 1,400 bytes that a report may have.
constexpr std::size_t maxContentionSamples = 16;
// Limits in one report; each takes about 60 of its bytes.
constexpr std::size_t maxReportedLimits = 12;
// Reports of a reader are frequent because they keep other daemons from reading. Other reports carry call outcomes, and those
// with failures are sent soonest.
constexpr Millis readerReportInterval = 250_ms;
constexpr Millis defaultReportInterval = 600_ms;
constexpr Millis failureReportInterval = 100_ms;
// In a fleet of more daemons than this, each has few calls, and its reports without changes of limits are sent less often by this factor.
constexpr std::size_t largeFleet = 64;
constexpr double largeFleetIntervalFactor = 2.5;
// The store counts as unreachable after this time without contact, which is longer than the change to another reader takes.
constexpr Millis unreachableAfter = 3_s;
// Between two views of which the second differs only in the members: at the start of a large fleet they change all the time.
constexpr Millis memberViewInterval = 200_ms;
// Between two requests for routes that only a peer has in force.
constexpr Millis versionFetchInterval = 500_ms;

Membership::Address recordsAddressOf(const PeerReport &report)
{
    return {.ip = report.ip, .port = report.recordsPort};
}

std::string_view nameOf(Topic topic)
{
    return topic == Topic::Routes ? Platform::routesTopic() : Platform::upstreamsTopic();
}

Fleet::FirstReadOptions firstReadOptions(const NodeSettings &settings)
{
    Fleet::FirstReadOptions options{.seedIndex = std::nullopt, .catchUp = settings.bounds.catchUp};
    const auto own = std::find_if(settings.seeds.begin(), settings.seeds.end(), [&](const Address &it) { return it.ip == settings.ip; });
    if (own != settings.seeds.end()) {
        options.seedIndex = static_cast<std::size_t>(own - settings.seeds.begin());
    }
    // A fixed number for each host: all daemons differ, and a test repeats exactly.
    options.spread = static_cast<double>(Routing::rendezvousScore("first-read", settings.host)) / 0x1p64;
    return options;
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
    , m_topics{std::make_unique<FollowedTopic>([this](const Feed::KeyedRecord &it) { applyRoutesRecord(it); },
                                               [this] { m_evacuations.markStoreRestored(Process::steadyNow()); }),
               std::make_unique<FollowedTopic>([this](const Feed::KeyedRecord &it) { applyUpstreamRecord(it); },
                                               [this] { m_upstreams.markStoreRestored(Process::steadyNow()); })}
    , m_firstRead(firstReadOptions(settings))
    , m_peers(loop,
              settings,
              {.onMember = [this](const Membership::MemberChanged &it) { handleMemberChange(it); },
               .onReport = [this](const PeerReport &it) { handleReport(it); },
               .currentReport = [this] { return positionReport(); },
               .recordsSince = [this](Topic topic, const Feed::LogPosition &from) { return recordsSince(topic, from); },
               .onRecords = [this](Topic topic, const Feed::FeedDelta &delta) { applyPeerRecords(topic, delta); }})
    , m_freshness(loop,
                  settings,
                  m_peers.members(),
                  {.known = [this] { return knownConfiguration(); },
                   .onProof =
                       [this] {
                           // Behind a view update that is scheduled, as the proof holds for the routes of that view, and with the proof of
                           // this moment, as a later one holds for later routes.
                           boost::asio::post(m_loop, [this, provenAt = m_freshness.limit().provenAt] { m_events.onProof(*provenAt); });
                       }})
    , m_allowances(loop, settings, m_peers.members(), m_events.onAllowanceAnswer)
    , m_timer(loop)
    , m_startedAt(Process::steadyNow())
{
}

std::optional<Address> Control::start()
{
    if (auto failure = m_peers.start()) {
        return failure;
    }
    if (auto failure = m_freshness.start()) {
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
    auto &followed = followedTopic(topic);
    followed.follower = std::make_unique<TopicFollower>(
        m_loop,
        TopicFollowerOptions{.store = {ip, m_settings.store.port},
                             .topic = std::string(name),
                             .longPollWait = m_readerTimeouts.longPollWait,
                             .randomSeed = static_cast<std::uint64_t>(m_startedAt.count * 1000) + static_cast<std::uint64_t>(topic)},
        followed.feed,
        TopicFollower::Events{
            .onContact = [this, topic] { recordContact(topic, Process::steadyNow(), true); },
            .onRecords =
                [this](std::size_t n) {
                    if (n > 0) {
                        sendReport(ReportScope::All);
                    }
                    scheduleViewUpdate();
                },
            .onCaughtUp =
                [this, topic](Millis requestedAt) {
                    if (topic == Topic::Routes) {
                        m_freshness.addRead(requestedAt);
                    }
                },
            .onFailure =
                [this, topic](std::string_view reason) {
                    if (followedTopic(topic).follower->consecutiveFailures() == 1) {
                        logWarning("store-read-failed",
                                   {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"reason", std::string(reason)}});
                    }
                },
            .onNewEra =
                [this, topic](std::int64_t era) {
                    logInfo("store-era",
                            {{"topic", textOf(static_cast<std::int64_t>(topic))},
                             {"era", textOf(era)},
                             {"position", textOf(followedTopic(topic).feed.end())}});
                },
            .onRecordsGone =
                [topic](std::int64_t offset) {
                    logWarning("store-records-gone", {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"offset", textOf(offset)}});
                }});
}

void Control::recordContact(Topic topic, Millis at, bool isDirect)
{
    auto &followed = followedTopic(topic);
    if (isDirect) {
        followed.lastDirectContactAt = at;
    }
    // Before the first contact, one that is already older than the limit for an unreachable store does not count.
    const auto latest = followed.lastContactAt.value_or(Process::steadyNow() - unreachableAfter);
    if (at <= latest) {
        return;
    }
    followed.lastContactAt = at;
    if (followed.storeUnreachable) {
        followed.storeUnreachable = false;
        logInfo("store-back", {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"through", isDirect ? "itself" : "peer"}});
        scheduleViewUpdate();
        if (topic == Topic::Upstreams) {
            m_upstreams.markStoreReachable(Process::steadyNow());
        }
    }
}

void Control::detectUnreachableStore(Millis now)
{
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        auto &followed = followedTopic(topic);
        if (followed.storeUnreachable || !followed.lastContactAt || now - *followed.lastContactAt < unreachableAfter) {
            continue;
        }
        followed.storeUnreachable = true;
        logWarning("store-away", {{"topic", textOf(static_cast<std::int64_t>(topic))}, {"position", textOf(followed.feed.end())}});
        scheduleViewUpdate();
        if (topic == Topic::Upstreams) {
            m_upstreams.markStoreUnreachable();
        }
    }
}

void Control::updateRanks()
{
    const auto &members = m_peers.members();
    if (m_rankedRevision == members.revision()) {
        return;
    }
    m_rankedRevision = members.revision();
    std::vector<std::string> hosts;
    std::vector<std::string> hostsInDomain;
    for (const auto &it : members.serving()) {
        hosts.push_back(it.info.host);
        if (it.info.domain == m_settings.domain) {
            hostsInDomain.push_back(it.info.host);
        }
    }
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        followedTopic(topic).rank = Fleet::readerRank(nameOf(topic), hosts, m_settings.host);
        followedTopic(topic).rankInDomain = Fleet::readerRank(nameOf(topic), hostsInDomain, m_settings.host);
    }
}

bool Control::shouldRead(const FollowedTopic &followed, Millis now) const
{
    const auto silenceOf = [&](const std::optional<Millis> &at) { return at ? std::optional(now - *at) : std::nullopt; };
    const bool isReading = followed.follower->active();
    if (!followed.feed.hasSnapshot()) {
        return isReading || Fleet::shouldReadFirst(m_firstRead, now - m_startedAt, silenceOf(followed.lastSourceReportAt));
    }
    const auto contactAge = now - followed.lastContactAt.value_or(followed.firstRecordsAt.value_or(m_startedAt));
    const auto readerSilence = silenceOf(isReading ? followed.lastHigherRankedReportAt : followed.lastReaderReportAt);
    return Fleet::shouldRead(followed.rank, contactAge, isReading, readerSilence, m_readerTimeouts);
}

void Control::startOrEndReading(Millis now)
{
    updateRanks();
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        auto &followed = followedTopic(topic);
        const bool isChosen = shouldRead(followed, now);
        const bool wanted
            = topic == Topic::Routes ? m_freshness.shouldRead(isChosen, followed.follower->active(), followed.rankInDomain) : isChosen;
        if (wanted != followed.follower->active()) {
            logInfo(wanted ? "store-reading" : "store-reading-ended",
                    {{"topic", std::string(nameOf(topic))},
                     {"place", textOf(static_cast<std::int64_t>(followed.rank))},
                     {"age-ms", textOf(static_cast<std::int64_t>((now - followed.lastContactAt.value_or(m_startedAt)).count))}});
            followed.follower->setActive(wanted);
            // Send a report at once, so that the daemon of the next rank gets it before it would start reading itself.
            m_lastReportAt = Millis{-1e12};
        }
    }
}

void Control::tick()
{
    if (m_stopped) {
        return;
    }
    const auto now = Process::steadyNow();
    detectUnreachableStore(now);
    startOrEndReading(now);
    updateFreshness();
    m_allowances.tick(m_peers.counters().datagramsIn, now);
    if (m_upstreams.applyDeferredRemovals(now)) {
        scheduleUpstreamUpdate();
    }
    if (m_upstreams.applyHeldRecords(now)) {
        scheduleUpstreamUpdate();
    }
    if (m_evacuations.applyDeferredEnds(now)) {
        logInfo("evacuations-ended", {{"evacuated", textOf(static_cast<std::int64_t>(m_evacuations.domains().size()))}});
        scheduleUpstreamUpdate();
    }
    if (m_membersChanged && now - m_lastViewAt >= memberViewInterval) {
        scheduleViewUpdate();
    }
    if (membersKnown() && !m_startEnded) {
        m_startEnded = true;
        logInfo("members-known", {{"count", textOf(static_cast<std::int64_t>(m_peers.members().serving().size()))}});
        scheduleViewUpdate();
    }
    // The reports of a reader must reach every daemon; for other reports some daemons suffice.
    const bool isReader = std::any_of(m_topics.begin(), m_topics.end(), [](const auto &it) { return it->follower->active(); });
    if (now - m_lastReportAt >= reportInterval(isReader)) {
        sendReport(isReader ? ReportScope::All : ReportScope::Some);
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec) {
            tick();
        }
    });
}

Millis Control::reportInterval(bool isReader) const
{
    const bool failures = std::any_of(m_outcomes.begin(), m_outcomes.end(), [](const auto &it) { return it.second.failures > 0; });
    const bool limitChanges = std::any_of(m_limits.begin(), m_limits.end(), [](const auto &it) { return it.second.limit.isChange; });
    if (limitChanges) {
        return failureReportInterval;
    }
    const double factor = m_peers.members().serving().size() > largeFleet ? largeFleetIntervalFactor : 1;
    const auto outcomeInterval = (failures ? failureReportInterval : defaultReportInterval) * factor;
    return isReader ? std::min(readerReportInterval, outcomeInterval) : outcomeInterval;
}

PeerReport Control::positionReport() const
{
    const auto now = Process::steadyNow();
    PeerReport report{.host = m_settings.host,
                      .ip = m_settings.ip,
                      .recordsPort = internalAddress(m_settings, InternalPort::Members).port,
                      .feeds = {},
                      .observations = {},
                      .routesVersion = m_routes ? m_routes->version() : 0};
    for (std::size_t i = 0; i < topicCount; ++i) {
        const auto &followed = *m_topics[i];
        report.feeds[i] = {.end = followed.feed.end(),
                           .hasSnapshot = followed.feed.hasSnapshot(),
                           .isReading = followed.follower->active() && followed.follower->consecutiveFailures() == 0,
                           .contactAge = now - followed.lastContactAt.value_or(Millis{-1e12}),
                           .era = followed.feed.position().era};
    }
    return report;
}

void Control::sendReport(ReportScope scope)
{
    m_lastReportAt = Process::steadyNow();
    auto report = positionReport();
    for (auto &[key, it] : m_outcomes) {
        report.observations.outcomes.push_back(std::move(it));
    }
    m_outcomes.clear();
    report.observations.contention = std::exchange(m_contention, {});
    report.observations.limits = takeLimits();
    m_peers.sendReport(report, scope);
}

std::vector<ReportedLimit> Control::takeLimits()
{
    const auto now = Process::steadyNow();
    std::vector<ReportedLimit> limits;
    for (const bool isChange : {true, false}) {
        std::erase_if(m_limits, [&](const auto &it) {
            if (limits.size() == maxReportedLimits || it.second.limit.isChange != isChange) {
                return false;
            }
            limits.push_back(it.second.limit);
            limits.back().age = now - it.second.since;
            return true;
        });
    }
    return limits;
}

void Control::handleReport(const PeerReport &report)
{
    if (report.host == m_settings.host) {
        return;
    }
    const auto now = Process::steadyNow();
    m_freshness.handleReport(report);
    for (const auto topic : {Topic::Routes, Topic::Upstreams}) {
        const auto &peerPosition = report.feeds[static_cast<std::size_t>(topic)];
        auto &followed = followedTopic(topic);
        if (!report.statesEras && followed.feed.position().era > 0) {
            // The offsets of an older daemon cannot be compared, so it cannot stand in for this daemon's own reading either.
            continue;
        }
        const bool peerIsAhead
            = peerPosition.hasSnapshot && (peerPosition.position() > followed.feed.position() || !followed.feed.hasSnapshot());
        if (peerIsAhead && topic == Topic::Routes && peerPosition.position() > m_reportedRoutesPosition) {
            m_reportedRoutesPosition = peerPosition.position();
            scheduleViewUpdate();
        }
        if (peerIsAhead) {
            fetchFrom(topic, report, now);
        } else if (peerPosition.hasSnapshot && peerPosition.position() == followed.feed.position()) {
            // Contact through a peer is as old as the peer's own. It counts only at the same position, because it does not cover
            // records that this daemon has not fetched yet.
            recordContact(topic, now - peerPosition.contactAge, false);
            if (topic == Topic::Routes && report.routesVersion > (m_routes ? m_routes->version() : 0) && now >= m_nextVersionFetchAt) {
                m_nextVersionFetchAt = now + versionFetchInterval;
                m_peers.fetchRecords(topic, {}, recordsAddressOf(report));
            }
        }
        if (peerPosition.hasSnapshot) {
            followed.lastSourceReportAt = now;
        }
        if (peerPosition.isReading) {
            followed.lastReaderReportAt = now;
            // Rank 1 after a single other daemon means that the peer ranks higher.
            const std::array<std::string, 1> peerHost{report.host};
            if (Fleet::readerRank(nameOf(topic), peerHost, m_settings.host) == 1) {
                followed.lastHigherRankedReportAt = now;
            }
        }
    }
    if (report.routesVersion > m_reportedRoutesVersion) {
        m_reportedRoutesVersion = report.routesVersion;
        scheduleViewUpdate();
    }
    if (!report.observations.empty()) {
        m_events.onPeerObservations(report.observations);
    }
}

void Control::fetchFrom(Topic topic, const PeerReport &report, Millis now)
{
    auto &followed = followedTopic(topic);
    followed.behindSince = followed.behindSince.value_or(now);
    const auto *peer = m_peers.members().find(report.host);
    const Fleet::FetchSource source{.sameDomain = peer && peer->info.domain == m_settings.domain,
                                    .rankInDomain = followed.rankInDomain,
                                    .behindFor = now - *followed.behindSince};
    if (Fleet::shouldFetchFrom(source)) {
        m_peers.fetchRecords(topic, followed.feed.hasSnapshot() ? followed.feed.position() : Feed::LogPosition{}, recordsAddressOf(report));
    }
}

Feed::FeedDelta Control::recordsSince(Topic topic, const Feed::LogPosition &from) const
{
    auto delta = followedTopic(topic).feed.deltaSince(from);
    if (topic != Topic::Routes || !m_routes) {
        return delta;
    }
    const auto it = std::find_if(
        delta.records.begin(), delta.records.end(), [](const Feed::KeyedRecord &record) { return record.key == Platform::routesKey(); });
    if (it != delta.records.end()) {
        it->value = m_routesValue;
    } else if (delta.isSnapshot) {
        // The store's copy may be older than the first routes.
        delta.records.push_back({.key = std::string(Platform::routesKey()), .offset = -1, .value = m_routesValue});
    }
    return delta;
}

void Control::applyPeerRecords(Topic topic, const Feed::FeedDelta &delta)
{
    auto &followed = followedTopic(topic);
    const auto n = followed.feed.applyDelta(delta);
    followed.behindSince.reset();
    if (!followed.firstRecordsAt) {
        followed.firstRecordsAt = Process::steadyNow();
    }
    if (n > 0 && Fleet::offersToDomain(followed.rankInDomain)) {
        m_peers.sendReport(positionReport(), ReportScope::Domain);
    }
    logInfo("records-from-peer",
            {{"topic", textOf(static_cast<std::int64_t>(topic))},
             {"records", textOf(static_cast<std::int64_t>(n))},
             {"position", textOf(delta.end)},
             {"era", textOf(delta.era)}});
    if (topic == Topic::Routes) {
        // At the same position the feed ignores the record, but the peer may have a later version in force than the store's copy.
        const auto *known = followed.feed.find(Platform::routesKey());
        for (const auto &it : delta.records) {
            if (it.key == Platform::routesKey() && (!known || *known != it.value)) {
                applyRoutesRecord(it);
            }
        }
    }
    scheduleViewUpdate();
}

void Control::applyEvacuation(std::string_view domain, bool isEvacuated)
{
    const bool hasChanged = isEvacuated ? m_evacuations.begin(domain) : m_evacuations.end(domain, Process::steadyNow());
    if (hasChanged) {
        logInfo(isEvacuated ? "domain-evacuated" : "evacuation-ended", {{"domain", std::string(domain)}});
        scheduleUpstreamUpdate();
    }
}

void Control::applyRoutesRecord(const Feed::KeyedRecord &record)
{
    if (const auto domain = Platform::evacuatedDomain(record.key)) {
        applyEvacuation(*domain, record.value.has_value());
        return;
    }
    if (record.key != Platform::routesKey() || !record.value) {
        return;
    }
    auto decoded = Platform::decodeRoutes(*record.value);
    if (const auto *error = std::get_if<Platform::RecordError>(&decoded)) {
        ++m_unreadableValues;
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
    m_routesValue = *record.value;
    m_freshness.setNeeded(m_routes->workspaces() != nullptr);
}

void Control::applyUpstreamRecord(const Feed::KeyedRecord &record)
{
    const auto now = Process::steadyNow();
    if (!record.value) {
        logInfo("upstream-removed", {{"upstream", record.key}, {"offset", textOf(record.offset)}});
        m_upstreams.remove(record.key, now);
        m_viewedUpstreams.reset();
        return;
    }
    const auto decoded = Platform::decodeUpstream(record.key, *record.value);
    if (const auto *error = std::get_if<Platform::RecordError>(&decoded)) {
        ++m_unreadableValues;
        logWarning("upstream-unreadable",
                   {{"upstream", record.key}, {"offset", textOf(record.offset)}, {"error", std::string(Platform::nameOf(*error))}});
        m_upstreams.remove(record.key, now);
        m_viewedUpstreams.reset();
        return;
    }
    const auto &upstream = std::get<Fleet::UpstreamRecord>(decoded);
    logInfo("upstream",
            {{"upstream", upstream.id},
             {"service", upstream.service},
             {"state", upstream.draining ? "draining" : "ready"},
             {"offset", textOf(record.offset)}});
    m_upstreams.put(upstream, now);
    m_viewedUpstreams.reset();
}

void Control::handleMemberChange(const Membership::MemberChanged &change)
{
    // The members that are there when this daemon starts get one line together, see tick().
    const bool isInitial = !change.previousState && !membersKnown();
    if (!isInitial && (!change.previousState || *change.previousState != change.member.state)) {
        logInfo("member", {{"host", change.member.info.host}, {"state", std::string(Membership::nameOf(change.member.state))}});
    }
    m_membersChanged = true;
    m_allowances.handleMemberChange(change);
}

bool Control::ready() const
{
    return m_routes && followedTopic(Topic::Upstreams).feed.hasSnapshot() && !m_draining && !m_freshness.isStale();
}

Fleet::KnownConfiguration Control::knownConfiguration() const
{
    return {.position = followedTopic(Topic::Routes).feed.position(), .version = m_routes ? m_routes->version() : 0};
}

void Control::updateFreshness()
{
    followedTopic(Topic::Routes).follower->setLongPollWait(m_freshness.pollWait().value_or(m_readerTimeouts.longPollWait));
    const bool isStale = m_freshness.isStale();
    if (isStale != m_viewedStale) {
        m_viewedStale = isStale;
        const auto state = m_freshness.state();
        logInfo(isStale ? "credentials-stale" : "credentials-fresh",
                {{"age-ms", state.age ? textOf(static_cast<std::int64_t>(state.age->count)) : "none"},
                 {"last-result", std::string(Fleet::nameOf(state.lastResult))}});
        scheduleViewUpdate();
    }
}

bool Control::membersKnown() const
{
    return Process::steadyNow() - m_startedAt >= m_settings.bounds.catchUp;
}

bool Control::routesCurrent() const
{
    const auto &followed = followedTopic(Topic::Routes);
    const bool storeReachable = followed.lastContactAt && !followed.storeUnreachable;
    return storeReachable && followed.feed.position() >= m_reportedRoutesPosition && m_routes
        && m_routes->version() >= m_reportedRoutesVersion && !m_freshness.isStale();
}

void Control::scheduleViewUpdate()
{
    if (m_viewUpdateScheduled || m_stopped) {
        return;
    }
    // Records usually arrive in groups; one view update covers all of a group.
    m_viewUpdateScheduled = true;
    boost::asio::post(m_loop, [this] {
        m_viewUpdateScheduled = false;
        updateView();
    });
}

void Control::scheduleUpstreamUpdate()
{
    m_viewedUpstreams.reset();
    scheduleViewUpdate();
}

std::shared_ptr<const std::vector<Fleet::KnownUpstream>> Control::listedUpstreams() const
{
    auto upstreams = std::make_shared<std::vector<Fleet::KnownUpstream>>();
    for (const auto &[id, it] : m_upstreams.upstreams()) {
        if (!it.record.draining && !m_evacuations.contains(it.record.domain)) {
            upstreams->push_back(it);
        }
    }
    return upstreams;
}

void Control::updateView()
{
    if (m_stopped) {
        return;
    }
    const auto routesVersion = ready() ? static_cast<std::int64_t>(m_routes->version()) : -1;
    if (m_peers.members().self().config.offset != routesVersion) {
        m_peers.announceRoutesVersion(routesVersion);
    }
    m_membersChanged = false;
    m_lastViewAt = Process::steadyNow();
    auto view = std::make_shared<NodeView>();
    view->routes = m_routes;
    view->routesCurrent = routesCurrent();
    view->upstreamsKnown = followedTopic(Topic::Upstreams).feed.hasSnapshot();
    view->draining = m_draining;
    view->freshness = m_freshness.limit();
    if (!m_viewedUpstreams) {
        m_viewedUpstreams = listedUpstreams();
    }
    view->upstreams = m_viewedUpstreams;
    if (ready()) {
        view->entries.push_back({.host = m_settings.host, .domain = m_settings.domain, .address = Config::toString(m_settings.front)});
    }
    view->servingDaemonCount = m_peers.members().serving().size();
    view->daemonCount = 1;
    view->membersKnown = membersKnown();
    for (const auto &it : m_peers.members().others()) {
        ++view->daemonCount;
        if (it.state == Membership::MemberState::Alive && it.config.offset >= 0) {
            view->entries.push_back({.host = it.info.host, .domain = it.info.domain, .address = Config::toString(it.info.entry)});
        }
    }
    auto pool = limitPool();
    m_allowances.configure(m_routes ? m_routes->workspaces() : nullptr, pool, m_lastViewAt);
    view->allowanceDaemons = m_allowances.knownDaemons();
    view->limitPool = std::make_shared<const Limits::LimitPool>(std::move(pool));
    m_events.onViewChanged(std::move(view));
}

Limits::LimitPool Control::limitPool() const
{
    Limits::LimitPool pool;
    for (const auto &it : m_peers.members().others()) {
        // A suspected daemon may still send calls, so another one must not use its shares yet.
        const bool serves = it.state == Membership::MemberState::Alive || it.state == Membership::MemberState::Suspect;
        if (serves && it.config.offset >= 0) {
            pool.daemons.push_back({.name = it.info.host, .domain = it.info.domain});
        }
        pool.unreachable += it.state == Membership::MemberState::Dead ? 1 : 0;
    }
    pool.self = pool.daemons.size();
    if (ready()) {
        pool.daemons.push_back({.name = m_settings.host, .domain = m_settings.domain});
    }
    return pool;
}

void Control::addObservations(const Observations &observations)
{
    // More samples would not fit into a report and would be dropped when it is encoded.
    if (m_contention.size() + observations.contention.size() <= maxContentionSamples) {
        m_contention.insert(m_contention.end(), observations.contention.begin(), observations.contention.end());
    }
    for (const auto &it : observations.limits) {
        auto &pending = m_limits[it.upstream];
        const bool isChange = pending.limit.isChange || it.isChange;
        pending = {.limit = it, .since = Process::steadyNow() - it.age};
        pending.limit.isChange = isChange;
    }
    for (const auto &it : observations.outcomes) {
        auto &total = m_outcomes[it.upstream];
        total.service = it.service;
        total.upstream = it.upstream;
        total.successes += it.successes;
        total.failures += it.failures;
    }
}

void Control::drain()
{
    m_draining = true;
    m_peers.leave();
    scheduleViewUpdate();
}

void Control::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_freshness.stop();
    for (const auto &it : m_topics) {
        if (it->follower) {
            it->follower->setActive(false);
        }
    }
    m_peers.stop();
    m_allowances.stop();
}

ControlState Control::state() const
{
    ControlState state;
    const auto now = Process::steadyNow();
    for (std::size_t i = 0; i < topicCount; ++i) {
        const auto &followed = *m_topics[i];
        state.topics[i] = {.era = followed.feed.position().era,
                           .end = followed.feed.end(),
                           .hasSnapshot = followed.feed.hasSnapshot(),
                           .isReading = followed.follower && followed.follower->active(),
                           .contactAge = now - followed.lastContactAt.value_or(m_startedAt),
                           .storeCounters = followed.follower ? followed.follower->counters() : TopicFollowerCounters{}};
        state.storeUnreachable = state.storeUnreachable || followed.storeUnreachable;
    }
    state.routesVersion = m_routes ? m_routes->version() : 0;
    state.upstreamCount = m_upstreams.upstreams().size();
    state.deferredRemovalCount = m_upstreams.deferredRemovalCount();
    state.heldRecordCount = m_upstreams.heldRecordCount();
    state.evacuatedDomains.assign(m_evacuations.domains().begin(), m_evacuations.domains().end());
    state.servingMemberCount = m_peers.members().serving().size();
    state.unreadableValues = m_unreadableValues;
    state.peers = m_peers.counters();
    state.freshness = m_freshness.state();
    state.allowances = m_allowances.state();
    return state;
}

}
