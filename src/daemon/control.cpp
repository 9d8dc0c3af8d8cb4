#include "daemon/control.h"

#include "core/config/address.h"
#include "core/text.h"
#include "daemon/hostlist.h"
#include "net/peerclient.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <ctime>

namespace Laburnummast::Daemon
{
namespace
{

using Process::steadyNow;

constexpr auto tickEvery = std::chrono::milliseconds(50);
constexpr std::size_t helperThreads = 4;
constexpr std::size_t handOverCopies = 2;
constexpr Millis peerTimeout = 1_s;
constexpr Millis fetchTimeout = 3_s;
constexpr Millis lastFlush = 2_s;
constexpr std::size_t maxHostListBytes = 4 << 20;
constexpr std::string_view readerKey = "log-readers";

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
    , m_peers(m_context, m_peerKey)
    , m_membership(membershipOptions(settings, identity.incarnation))
    , m_log(settings.logAddress)
    , m_outbox(m_log)
    , m_tail(m_log,
             settings.logPoll,
             {.position = [this] { return m_config.position().offset; },
              .apply =
                  [this](std::vector<Net::LogRecord> records) {
                      std::promise<void> done;
                      boost::asio::post(m_context, [&] {
                          takeRecords(records);
                          done.set_value();
                      });
                      done.get_future().wait();
                  },
              .takeSnapshot =
                  [this](const std::string &bytes) {
                      std::promise<bool> done;
                      boost::asio::post(m_context, [&] { done.set_value(takeSnapshot(bytes)); });
                      return done.get_future().get();
                  }})
    , m_helpers(helperThreads)
    , m_usage(identity, m_peerKey, traffic, m_outbox, m_helpers)
    , m_startedAt(steadyNow())
{
    m_selfCopy = m_membership.self();
}

Control::~Control()
{
    stop();
}

std::optional<Membership::Address> Control::start()
{
    auto failure = m_peers.start(
        m_settings.peerAddress,
        [this](const Membership::Message &message, const Membership::Address &from) {
            Membership::MembershipActions actions;
            m_membership.receive(message, from, steadyNow(), actions);
            carryOut(actions);
        },
        [this](const Net::PeerRequest &request) { return answerPeer(request); });
    if (failure) {
        return failure;
    }
    const auto now = steadyNow();
    m_nextShare = now + m_settings.shareUsageEvery;
    m_nextUsage = now + m_settings.logUsageEvery;
    m_thread = std::thread([this] {
        tick();
        m_context.run();
    });
    m_outbox.start();
    m_tail.start();
    return std::nullopt;
}

void Control::stop()
{
    m_tail.stop();
    m_outbox.stop();
    m_helpers.stop();
    boost::asio::post(m_context, [this] { m_peers.stop(); });
    if (m_thread.joinable()) {
        m_context.stop();
        m_thread.join();
    }
}

void Control::reload(const Settings &settings)
{
    boost::asio::post(m_context, [this, settings] {
        m_membership.addSeeds(settings.seeds);
        m_settings.hostLists = settings.hostLists;
        m_settings.hostListEvery = settings.hostListEvery;
        m_settings.shareUsageEvery = settings.shareUsageEvery;
        m_settings.logUsageEvery = settings.logUsageEvery;
        m_settings.snapshotEvery = settings.snapshotEvery;
        m_settings.logReaders = settings.logReaders;
        m_membersChanged = true;
    });
}

void Control::tick()
{
    const auto now = steadyNow();
    Membership::MembershipActions actions;
    m_membership.tick(now, actions);
    carryOut(actions);
    if (m_membersChanged) {
        publishMembers();
    }
    fetchIfBehind();
    if (now >= m_nextShare) {
        m_nextShare = now + m_settings.shareUsageEvery;
        m_usage.share(m_membership.serving());
        m_keys.expire();
    }
    if (now >= m_nextUsage) {
        m_nextUsage = now + m_settings.logUsageEvery;
        m_usage.write(m_membership.others());
    }
    if (now >= m_nextHosts) {
        m_nextHosts = now + m_settings.hostListEvery;
        pollHosts();
    }
    m_cpuSeconds = threadCpuSeconds();
    m_counters.falseDeaths = m_membership.falseDeaths();
    m_timer.expires_after(tickEvery);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Control::carryOut(const Membership::MembershipActions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{[this](const Membership::SendMessage &it) { m_peers.send(it.to, it.message); },
                              [this](const Membership::MemberChanged &it) { noteMember(it); }},
                   action);
    }
}

void Control::noteMember(const Membership::MemberChanged &change)
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
    const auto here = m_config.position();
    const bool diverged = member.config.offset == here.offset && member.config.hash != here.hash && here.offset != Config::noOffset;
    if (diverged && m_diverged.insert(member.info.host).second) {
        ++m_counters.divergences;
        Process::logError("config-divergence", {{"host", member.info.host}, {"offset", Text::concat(here.offset)}});
    } else if (!diverged) {
        m_diverged.erase(member.info.host);
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
        m_selfCopy = m_membership.self();
    }
    const auto readers = rendezvousMembers(readerKey, serving, static_cast<std::size_t>(m_settings.logReaders));
    const bool reads = serving.size() <= 1
        || std::any_of(readers.begin(), readers.end(), [this](const auto &it) { return it.info.host == m_settings.host; });
    if (reads != m_tail.reading()) {
        Process::logInfo("log-reader", {{"reading", reads ? "yes" : "no"}});
        m_tail.setReading(reads);
    }
    m_traffic.setMembers(serving, std::move(all));
}

Net::PeerReply Control::answerPeer(const Net::PeerRequest &request)
{
    return std::visit(Overloaded{[this](const Net::FetchConfig &it) -> Net::PeerReply {
                                     if (auto records = m_config.recordsSince(it.have)) {
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
                                 [this](const Net::TellDraining &it) -> Net::PeerReply {
                                     m_traffic.setUpstreamDraining(it.service, it.upstream);
                                     return Net::Acknowledged{};
                                 }},
                      request);
}

void Control::takeRecords(const std::vector<Net::LogRecord> &records)
{
    if (m_config.apply(records)) {
        configMoved();
        writeSnapshotIfDue();
    }
}

bool Control::takeSnapshot(const std::string &bytes)
{
    if (!m_config.takeSnapshot(bytes)) {
        return false;
    }
    m_lastSnapshot = m_config.position().offset;
    configMoved();
    return true;
}

void Control::configMoved()
{
    m_traffic.setConfig(m_config.runtimeConfig());
    Membership::MembershipActions actions;
    m_membership.setConfig(m_config.position(), actions);
    carryOut(actions);
    publishMembers();
    m_config.announce();
}

void Control::fetchIfBehind()
{
    if (m_fetching) {
        return;
    }
    const auto here = m_config.position().offset;
    const auto others = m_membership.others();
    const auto further
        = std::max_element(others.begin(), others.end(), [](const auto &a, const auto &b) { return a.config.offset < b.config.offset; });
    if (further != others.end() && further->config.offset > here && further->state <= Membership::MemberState::Leaving) {
        fetchFrom(*further);
    }
}

void Control::fetchFrom(const Membership::Member &member)
{
    m_fetching = true;
    ++m_counters.configFetches;
    m_helpers.post([this, address = member.info.peer, have = m_config.position().offset] {
        auto reply = Net::askPeer(address, Net::FetchConfig{.have = have}, m_peerKey, fetchTimeout);
        boost::asio::post(m_context, [this, reply = std::move(reply)] {
            m_fetching = false;
            const auto *answer = std::get_if<Net::PeerReply>(&reply);
            const auto *config = answer == nullptr ? nullptr : std::get_if<Net::ConfigReply>(answer);
            if (config != nullptr && !config->snapshot.empty()) {
                takeSnapshot(config->snapshot);
            } else if (config != nullptr) {
                takeRecords(config->records);
            }
        });
    });
}

// Snapshots of the same offset are equal, so two writers at once do no harm; choosing one only saves appends.
void Control::writeSnapshotIfDue()
{
    const auto here = m_config.position().offset;
    if (here - m_lastSnapshot < m_settings.snapshotEvery) {
        return;
    }
    m_lastSnapshot = here;
    const auto first = rendezvousMembers(readerKey, m_membership.serving(), 1);
    if (first.empty() || first.front().info.host == m_settings.host) {
        m_outbox.replace(std::string(Net::snapshotStream), m_config.snapshot());
    }
}

Membership::Member Control::self() const
{
    const std::lock_guard lock(m_selfMutex);
    return m_selfCopy;
}

void Control::leave()
{
    boost::asio::post(m_context, [this] {
        Membership::MembershipActions actions;
        m_membership.leave(actions);
        carryOut(actions);
        publishMembers();
    });
}

void Control::handOver()
{
    const auto heirs = rendezvousMembers(Text::concat("heirs:", m_settings.host), m_traffic.serving(), handOverCopies);
    const Net::PeerRequest keys = Net::HandOverKeys{.from = m_settings.host, .keys = m_keys.exportKeys()};
    std::size_t taken = 0;
    for (const auto &it : heirs) {
        taken += std::holds_alternative<Net::PeerReply>(Net::askPeer(it.info.peer, keys, m_peerKey, peerTimeout)) ? 1 : 0;
    }
    Process::logInfo("keys-handed-over", {{"members", Text::concat(taken)}});
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        m_usage.share(m_membership.serving());
        m_usage.write(m_membership.others());
        Membership::MembershipActions actions;
        m_membership.announceLeft(actions);
        carryOut(actions);
        done.set_value();
    });
    done.get_future().wait();
    if (!m_outbox.flush(lastFlush)) {
        Process::logWarning("usage-not-logged", {{"note", "peers hold a copy"}});
    }
}

void Control::tellDraining(const std::string &service, const std::string &upstream)
{
    Process::logInfo("upstream-draining", {{"service", service}, {"upstream", upstream}});
    for (const auto &it : m_traffic.serving()) {
        if (it.info.host != m_settings.host) {
            m_helpers.post([this, address = it.info.peer, service, upstream] {
                (void)Net::askPeer(address, Net::TellDraining{.service = service, .upstream = upstream}, m_peerKey, peerTimeout);
            });
        }
    }
}

void Control::pollHosts()
{
    for (const auto &address : m_settings.hostLists) {
        m_helpers.post([this, address] {
            const auto answer = Net::fetch(address, {.method = "GET", .target = "/v1/hosts"}, peerTimeout, maxHostListBytes);
            const auto *response = std::get_if<Net::ClientResponse>(&answer);
            if (response != nullptr) {
                boost::asio::post(m_context, [this, text = response->body] { takeHostList(text); });
            }
        });
    }
}

ControlSpending Control::spending() const
{
    constexpr double millisPerSecond = 1000;
    const auto &peers = m_peers.counters();
    return {.cpuSeconds = m_cpuSeconds,
            .wallSeconds = (steadyNow() - m_startedAt).count / millisPerSecond,
            .bytes = peers.bytesIn + peers.bytesOut + m_outbox.counters().bytes};
}

// The list lags: it may add addresses to look at and upstreams to spare, but never removes a member.
void Control::takeHostList(const std::string &text)
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
    const auto here = m_config.position();
    const auto &config = m_config.counters();
    const auto spent = spending();
    const auto &peers = m_peers.counters();
    nlohmann::json badDatagrams;
    for (std::size_t i = 0; i < Membership::messageErrorCount; ++i) {
        badDatagrams[std::string(nameOf(static_cast<Membership::MessageError>(i)))] = peers.badDatagrams[i].load();
    }
    const auto sent = m_outbox.counters();
    return {{"members", members},
            {"config",
             {{"offset", here.offset},
              {"hash", Text::hex((here.hash))},
              {"notes_accepted", config.accepted.load()},
              {"notes_rejected", config.rejected.load()},
              {"notes_repeated", config.repeated.load()},
              {"records_unreadable", config.unreadable.load()},
              {"snapshots_refused", config.snapshotsRefused.load()},
              {"fetches", m_counters.configFetches.load()},
              {"divergences", m_counters.divergences.load()}}},
            {"log",
             {{"reading", m_tail.reading()},
              {"reachable", m_tail.reachable()},
              {"behind_retention", m_tail.behindRetention()},
              {"reads", m_tail.reads()},
              {"read_failures", m_tail.failures()},
              {"appended", sent.appended},
              {"append_retries", sent.retried},
              {"waiting", m_outbox.waiting()}}},
            {"peers",
             {{"datagrams_in", peers.datagramsIn.load()},
              {"datagrams_out", peers.datagramsOut.load()},
              {"bad_datagrams", badDatagrams},
              {"bad_frames", peers.badFrames.load()},
              {"false_deaths", m_counters.falseDeaths.load()}}},
            {"control",
             {{"cpu_share", spent.wallSeconds > 0 ? spent.cpuSeconds / spent.wallSeconds : 0},
              {"bytes_per_second", spent.wallSeconds > 0 ? static_cast<double>(spent.bytes) / spent.wallSeconds : 0}}},
            {"keys", {{"count", m_keys.size()}, {"bytes", m_keys.bytes()}}}};
}

}
