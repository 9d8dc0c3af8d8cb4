#include "daemon/control.h"

#include "core/config/address.h"
#include "core/membership/configsource.h"
#include "core/text.h"
#include "daemon/hostlist.h"
#include "net/peerclient.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace Laburnummast::Daemon
{
namespace
{

using Process::steadyNow;

constexpr auto tickInterval = std::chrono::milliseconds(50);
constexpr std::size_t workerThreads = 4;
// Members that receive the idempotency keys when this one stops.
constexpr std::size_t keySuccessorCount = 2;
constexpr Millis peerRequestTimeout = 1_s;
// A configuration may take long to transfer over a slow link; only a transfer that stalls is given up early.
constexpr Net::ExchangeLimits configFetchLimits{.stall = 3_s, .total = 60_s};
constexpr Millis finalFlushTimeout = 2_s;
// Mean pause after a peer gave no usable configuration.
constexpr Millis configFetchBackoff = 300_ms;
constexpr Millis noteAppendTimeout = 1500_ms;
// Time after which the next log reader enters a later era of the log if the one before it has not.
constexpr Millis eraTakeoverInterval = 1500_ms;
constexpr std::size_t maxHostListBytes = 4 << 20;
// Rendezvous hashing of this key selects the members that read the log and the one that writes snapshots.
constexpr std::string_view logReaderKey = "log-readers";

Membership::MembershipOptions membershipOptions(const Settings &settings, std::uint64_t incarnation)
{
    return {.self = {.host = settings.host,
                     .domain = settings.domain,
                     .peer = settings.peerAddress,
                     .entry = settings.entryAddress,
                     .admin = settings.adminAddress},
            .incarnation = incarnation,
            .seeds = settings.seeds,
            .randomSeed = incarnation};
}

double threadCpuSeconds()
{
    constexpr double nanosPerSecond = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosPerSecond;
}

nlohmann::json toJson(const Membership::Member &member)
{
    return {{"host", member.info.host},
            {"domain", member.info.domain},
            {"state", nameOf(member.state)},
            {"incarnation", member.incarnation},
            {"entry", Config::toString(member.info.entry)},
            {"admin", Config::toString(member.info.admin)},
            {"peer", Config::toString(member.info.peer)},
            {"config_offset", member.config.offset},
            {"config_hash", Text::hex((member.config.hash))}};
}

}

Control::Control(const Settings &settings, const Usage::UsageSource &identity, std::string peerKey, Traffic &traffic, KeyCoordinator &keys)
    : m_settings(settings)
    , m_peerKey(std::move(peerKey))
    , m_traffic(traffic)
    , m_keys(keys)
    , m_timer(m_context)
    , m_peerServer(m_context, m_peerKey)
    , m_membership(membershipOptions(settings, identity.incarnation))
    , m_random(identity.incarnation ^ std::hash<std::string>{}(identity.host))
    , m_log(settings.logAddress)
    , m_logOutbox(m_log)
    , m_logTail(m_log,
                settings.logPollTimeout,
                {.position = [this] { return m_config.position().offset; },
                 .applyRecords =
                     [this](std::vector<Net::LogRecord> records) {
                         std::promise<void> done;
                         boost::asio::post(m_context, [&] {
                             applyRecords(records);
                             done.set_value();
                         });
                         done.get_future().wait();
                     },
                 .applySnapshot =
                     [this](const std::string &bytes) {
                         std::promise<bool> done;
                         boost::asio::post(m_context, [&] { done.set_value(applySnapshot(bytes)); });
                         return done.get_future().get();
                     },
                 .enterEra =
                     [this](Config::Offset firstRetained, Millis waited) {
                         std::promise<void> done;
                         boost::asio::post(m_context, [&] {
                             enterEra(firstRetained, waited);
                             done.set_value();
                         });
                         done.get_future().wait();
                     }})
    , m_workers(workerThreads)
    , m_usageReporter(identity, m_peerKey, traffic, m_logOutbox, m_workers)
    , m_startedAt(steadyNow())
{
    m_publishedSelf = m_membership.self();
}

Control::~Control()
{
    stop();
}

std::optional<Membership::Address> Control::start()
{
    auto failure = m_peerServer.start(
        m_settings.peerAddress,
        [this](const Membership::Message &message, const Membership::Address &from) {
            Membership::MembershipActions actions;
            m_membership.receive(message, from, steadyNow(), actions);
            performActions(actions);
        },
        [this](const Net::PeerRequest &request) { return handlePeerRequest(request); });
    if (failure) {
        return failure;
    }
    const auto now = steadyNow();
    m_nextUsageShare = now + m_settings.usageShareInterval;
    m_nextUsageLog = now + m_settings.usageLogInterval;
    m_thread = std::thread([this] {
        tick();
        m_context.run();
    });
    m_logOutbox.start();
    m_logTail.start();
    return std::nullopt;
}

void Control::stop()
{
    m_logTail.stop();
    m_logOutbox.stop();
    m_workers.stop();
    boost::asio::post(m_context, [this] { m_peerServer.stop(); });
    if (m_thread.joinable()) {
        m_context.stop();
        m_thread.join();
    }
}

void Control::reload(const Settings &settings)
{
    boost::asio::post(m_context, [this, settings] {
        m_membership.addSeeds(settings.seeds);
        m_settings.hostListAddresses = settings.hostListAddresses;
        m_settings.hostListInterval = settings.hostListInterval;
        m_settings.usageShareInterval = settings.usageShareInterval;
        m_settings.usageLogInterval = settings.usageLogInterval;
        m_settings.recordsPerSnapshot = settings.recordsPerSnapshot;
        m_settings.logReaderCount = settings.logReaderCount;
        m_membersChanged = true;
    });
}

void Control::tick()
{
    const auto now = steadyNow();
    Membership::MembershipActions actions;
    m_membership.tick(now, actions);
    performActions(actions);
    if (m_membersChanged) {
        publishMembers();
    }
    fetchConfigIfBehind();
    if (now >= m_nextUsageShare) {
        m_nextUsageShare = now + m_settings.usageShareInterval;
        m_usageReporter.shareWithPeers(m_membership.serving());
        m_keys.expire();
    }
    m_usageReporter.enqueueRepeated();
    if (now >= m_nextUsageLog) {
        m_nextUsageLog = now + m_settings.usageLogInterval;
        m_usageReporter.enqueueForLog(m_membership.others());
    }
    if (now >= m_nextHostListPoll) {
        m_nextHostListPoll = now + m_settings.hostListInterval;
        pollHostLists();
    }
    m_cpuSeconds = threadCpuSeconds();
    m_counters.falseDeaths = m_membership.falseDeaths();
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Control::performActions(const Membership::MembershipActions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{[this](const Membership::SendMessage &it) { m_peerServer.send(it.to, it.message); },
                              [this](const Membership::MemberChanged &it) { handleMemberChange(it); }},
                   action);
    }
}

void Control::handleMemberChange(const Membership::MemberChanged &change)
{
    m_membersChanged = true;
    const auto &member = change.member;
    if (change.previousState != member.state) {
        Process::logInfo("member",
                         {{"host", member.info.host},
                          {"before", std::string(change.previousState ? nameOf(*change.previousState) : "unknown")},
                          {"state", std::string(nameOf(member.state))},
                          {"incarnation", Text::concat(member.incarnation)}});
    }
    const auto ownPosition = m_config.position();
    const bool diverged
        = member.config.offset == ownPosition.offset && member.config.hash != ownPosition.hash && ownPosition.offset != Config::noOffset;
    if (diverged && m_divergedHosts.insert(member.info.host).second) {
        ++m_counters.divergences;
        Process::logError("config-divergence", {{"host", member.info.host}, {"offset", Text::concat(ownPosition.offset)}});
    } else if (!diverged) {
        m_divergedHosts.erase(member.info.host);
    }
}

void Control::publishMembers()
{
    m_membersChanged = false;
    const auto serving = m_membership.serving();
    auto all = m_membership.others();
    all.push_back(m_membership.self());
    {
        const std::lock_guard lock(m_selfMutex);
        m_publishedSelf = m_membership.self();
    }
    const auto readers = rendezvousMembers(logReaderKey, serving, static_cast<std::size_t>(m_settings.logReaderCount));
    // A daemon that sees no other serving member reads the log itself.
    const bool isReader = serving.size() <= 1
        || std::any_of(readers.begin(), readers.end(), [this](const auto &it) { return it.info.host == m_settings.host; });
    if (isReader != m_logTail.reading()) {
        Process::logInfo("log-reader", {{"reading", isReader ? "yes" : "no"}});
        m_logTail.setReading(isReader);
    }
    m_traffic.setMembers(serving, std::move(all));
}

Net::PeerReply Control::handlePeerRequest(const Net::PeerRequest &request)
{
    return std::visit(Overloaded{[this](const Net::FetchConfig &it) -> Net::PeerReply {
                                     if (auto records = m_config.recordsSince(it.knownOffset)) {
                                         return Net::ConfigReply{.snapshot = {}, .records = std::move(*records)};
                                     }
                                     return Net::ConfigReply{.snapshot = m_config.snapshot(), .records = {}};
                                 },
                                 [this](const Net::ClaimKey &it) -> Net::PeerReply { return Net::toReply(m_keys.claimForPeer(it)); },
                                 [this](const Net::HandOverKeys &it) -> Net::PeerReply {
                                     m_keys.importKeys(it);
                                     return Net::Acknowledged{};
                                 },
                                 [this](const Net::ShareUsage &it) -> Net::PeerReply {
                                     for (const auto &copy : it.copies) {
                                         m_traffic.mergeUsage(copy.source, copy.table);
                                     }
                                     return Net::Acknowledged{};
                                 },
                                 [this](const Net::ReportDraining &it) -> Net::PeerReply {
                                     m_traffic.setUpstreamDraining(it.service, it.upstream);
                                     return Net::Acknowledged{};
                                 }},
                      request);
}

void Control::applyRecords(const std::vector<Net::LogRecord> &records)
{
    if (m_config.apply(records)) {
        handleConfigChange();
        writeSnapshotIfDue();
    }
}

bool Control::applySnapshot(const std::string &bytes)
{
    if (!m_config.applySnapshot(bytes)) {
        return false;
    }
    m_lastSnapshotOffset = m_config.position().offset;
    handleConfigChange();
    return true;
}

// Members that enter an era on their own may differ in the notes that they knew before, so the first log reader does it once it knows
// all that the others have, and the others fetch its state. Each further reader takes over after another interval.
void Control::enterEra(Config::Offset firstRetained, Millis waited)
{
    if (Config::eraOf(firstRetained) <= Config::eraOf(m_config.position().offset + 1)) {
        return;
    }
    const auto serving = m_membership.serving();
    const auto readers = rendezvousMembers(logReaderKey, serving, static_cast<std::size_t>(m_settings.logReaderCount));
    const auto self = std::find_if(readers.begin(), readers.end(), [this](const auto &it) { return it.info.host == m_settings.host; });
    if (self == readers.end() && serving.size() > 1) {
        return;
    }
    const bool behind = Membership::findConfigSource(m_membership.others(), m_config.position().offset, 0) != nullptr;
    const auto turns = static_cast<double>(std::distance(readers.begin(), self)) + (behind ? 1 : 0);
    if (waited < eraTakeoverInterval * turns) {
        return;
    }
    m_config.enterEra(firstRetained);
    Process::logInfo("era-entered", {{"offset", Text::concat(m_config.position().offset)}});
    m_lastSnapshotOffset = m_config.position().offset;
    m_logOutbox.enqueueOrReplace(std::string(Net::snapshotStream), m_config.snapshot());
    handleConfigChange();
}

void Control::restoreLostNotes()
{
    for (auto &record : m_config.takeLostRecords()) {
        m_workers.post([this, record = std::move(record)] { (void)m_log.append(Net::noteStream, record, noteAppendTimeout); });
    }
}

void Control::handleConfigChange()
{
    const auto era = Config::eraOf(m_config.position().offset + 1);
    if (std::exchange(m_usageEra, era) != era) {
        m_usageReporter.repeatRecords();
    }
    // Waiting publish() calls are woken only after traffic uses the configuration.
    m_traffic.setConfig(m_config.runtimeConfig());
    Membership::MembershipActions actions;
    m_membership.setConfig(m_config.position(), actions);
    performActions(actions);
    publishMembers();
    m_config.notifyWaiters();
}

void Control::fetchConfigIfBehind()
{
    if (m_configFetchRunning || steadyNow() < m_nextConfigFetch) {
        return;
    }
    const auto others = m_membership.others();
    if (const auto *source = Membership::findConfigSource(others, m_config.position().offset, m_random())) {
        fetchConfigFrom(*source);
    }
}

void Control::fetchConfigFrom(const Membership::Member &member)
{
    m_configFetchRunning = true;
    ++m_counters.configFetches;
    m_workers.post([this, address = member.info.peer, knownOffset = m_config.position().offset] {
        auto reply = Net::askPeer(address, Net::FetchConfig{.knownOffset = knownOffset}, m_peerKey, configFetchLimits);
        boost::asio::post(m_context, [this, reply = std::move(reply)] {
            m_configFetchRunning = false;
            std::uniform_real_distribution<double> spread(0.5, 1.5);
            const auto backoff = configFetchBackoff * spread(m_random);
            const auto *answer = std::get_if<Net::PeerReply>(&reply);
            const auto *config = answer == nullptr ? nullptr : std::get_if<Net::ConfigReply>(answer);
            if (config != nullptr && !config->snapshot.empty()) {
                if (!applySnapshot(config->snapshot)) {
                    m_nextConfigFetch = steadyNow() + backoff;
                    restoreLostNotes();
                }
            } else if (config != nullptr) {
                applyRecords(config->records);
            } else {
                m_nextConfigFetch = steadyNow() + backoff;
            }
        });
    });
}

// Snapshots at the same offset are equal, so it is harmless if two members write one. Selecting one writer only saves appends.
void Control::writeSnapshotIfDue()
{
    const auto ownOffset = m_config.position().offset;
    if (ownOffset - m_lastSnapshotOffset < m_settings.recordsPerSnapshot) {
        return;
    }
    m_lastSnapshotOffset = ownOffset;
    const auto writer = rendezvousMembers(logReaderKey, m_membership.serving(), 1);
    if (writer.empty() || writer.front().info.host == m_settings.host) {
        m_logOutbox.enqueueOrReplace(std::string(Net::snapshotStream), m_config.snapshot());
    }
}

Membership::Member Control::self() const
{
    const std::lock_guard lock(m_selfMutex);
    return m_publishedSelf;
}

void Control::leave()
{
    boost::asio::post(m_context, [this] {
        Membership::MembershipActions actions;
        m_membership.leave(actions);
        performActions(actions);
        publishMembers();
    });
}

void Control::handOver()
{
    const auto successors = rendezvousMembers(Text::concat("heirs:", m_settings.host), m_traffic.serving(), keySuccessorCount);
    const Net::PeerRequest keys = Net::HandOverKeys{.from = m_settings.host, .keys = m_keys.exportKeys()};
    std::size_t acknowledged = 0;
    for (const auto &it : successors) {
        acknowledged += std::holds_alternative<Net::PeerReply>(Net::askPeer(it.info.peer, keys, m_peerKey, peerRequestTimeout)) ? 1 : 0;
    }
    Process::logInfo("keys-handed-over", {{"members", Text::concat(acknowledged)}});
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        m_usageReporter.shareWithPeers(m_membership.serving());
        m_usageReporter.enqueueForLog(m_membership.others());
        Membership::MembershipActions actions;
        m_membership.announceLeft(actions);
        performActions(actions);
        done.set_value();
    });
    done.get_future().wait();
    if (!m_logOutbox.flush(finalFlushTimeout)) {
        Process::logWarning("usage-not-logged", {{"note", "peers hold a copy of the usage counters"}});
    }
}

void Control::announceUpstreamDraining(const std::string &service, const std::string &upstream)
{
    Process::logInfo("upstream-draining", {{"service", service}, {"upstream", upstream}});
    for (const auto &it : m_traffic.serving()) {
        if (it.info.host != m_settings.host) {
            m_workers.post([this, address = it.info.peer, service, upstream] {
                (void)Net::askPeer(address, Net::ReportDraining{.service = service, .upstream = upstream}, m_peerKey, peerRequestTimeout);
            });
        }
    }
}

void Control::pollHostLists()
{
    for (const auto &address : m_settings.hostListAddresses) {
        m_workers.post([this, address] {
            const auto answer = Net::fetch(address, {.method = "GET", .target = "/v1/hosts"}, peerRequestTimeout, maxHostListBytes);
            const auto *response = std::get_if<Net::ClientResponse>(&answer);
            if (response != nullptr) {
                boost::asio::post(m_context, [this, text = response->body] { applyHostList(text); });
            }
        });
    }
}

ControlResourceUse Control::resourceUse() const
{
    constexpr double millisPerSecond = 1000;
    const auto &peers = m_peerServer.counters();
    return {.cpuSeconds = m_cpuSeconds,
            .wallSeconds = (steadyNow() - m_startedAt).count / millisPerSecond,
            .bytes = peers.bytesIn + peers.bytesOut + m_logOutbox.counters().bytes};
}

// The host list may be out of date: it adds seeds and marks upstreams as draining, but never removes a member.
void Control::applyHostList(const std::string &text)
{
    const auto list = parseHostList(text);
    m_membership.addSeeds(list.liveDaemons);
    const auto config = m_traffic.config();
    if (!config) {
        return;
    }
    for (const auto &[name, service] : config->services()) {
        for (const auto &it : service.upstreams) {
            const Membership::Address address{.ip = it.upstream.host, .port = static_cast<std::uint16_t>(it.upstream.port)};
            if (std::find(list.leavingUpstreams.begin(), list.leavingUpstreams.end(), address) != list.leavingUpstreams.end()) {
                m_traffic.setUpstreamDraining(name, it.name);
            }
        }
    }
}

nlohmann::json Control::dump() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto &it : m_traffic.allMembers()) {
        members.push_back(toJson(it));
    }
    const auto ownPosition = m_config.position();
    const auto &config = m_config.counters();
    const auto resources = resourceUse();
    const auto &peers = m_peerServer.counters();
    nlohmann::json badDatagrams;
    for (std::size_t i = 0; i < Membership::messageErrorCount; ++i) {
        badDatagrams[std::string(nameOf(static_cast<Membership::MessageError>(i)))] = peers.rejectedDatagrams[i].load();
    }
    const auto outbox = m_logOutbox.counters();
    return {{"members", members},
            {"config",
             {{"offset", ownPosition.offset},
              {"hash", Text::hex((ownPosition.hash))},
              {"notes_accepted", config.accepted.load()},
              {"notes_rejected", config.rejected.load()},
              {"notes_repeated", config.repeated.load()},
              {"records_unreadable", config.unreadable.load()},
              {"snapshots_refused", config.snapshotsRefused.load()},
              {"fetches", m_counters.configFetches.load()},
              {"divergences", m_counters.divergences.load()}}},
            {"log",
             {{"reading", m_logTail.reading()},
              {"reachable", m_logTail.reachable()},
              {"behind_retention", m_logTail.behindRetention()},
              {"reads", m_logTail.reads()},
              {"read_failures", m_logTail.failures()},
              {"appended", outbox.appended},
              {"append_retries", outbox.retried},
              {"waiting", m_logOutbox.pendingCount()}}},
            {"peers",
             {{"datagrams_in", peers.datagramsIn.load()},
              {"datagrams_out", peers.datagramsOut.load()},
              {"bad_datagrams", badDatagrams},
              {"bad_frames", peers.rejectedFrames.load()},
              {"false_deaths", m_counters.falseDeaths.load()}}},
            {"control",
             {{"cpu_share", resources.wallSeconds > 0 ? resources.cpuSeconds / resources.wallSeconds : 0},
              {"bytes_per_second", resources.wallSeconds > 0 ? static_cast<double>(resources.bytes) / resources.wallSeconds : 0}}},
            {"keys", {{"count", m_keys.size()}, {"bytes", m_keys.bytes()}}}};
}

}
