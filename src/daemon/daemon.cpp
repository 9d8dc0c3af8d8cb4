#include "daemon/daemon.h"

#include "core/text.h"

#include "process/log.h"
#include "process/wallclock.h"
#include <array>

namespace Laburnummast::Daemon
{
namespace
{

using Process::steadyNow;

constexpr Millis tickInterval = 5_ms;
constexpr Millis connectionCheckInterval = 500_ms;
constexpr Millis drainPollInterval = 20_ms;
// A caller may have fetched its last entry list just before this member left it.
constexpr Millis entryListMargin = 500_ms;

// Identifies this process by its host and, as incarnation, its start time.
Usage::UsageSource makeIdentity(const Settings &settings)
{
    return {.host = settings.host, .incarnation = static_cast<std::uint64_t>(Process::wallNow().count)};
}

Idempotency::KeyTableOptions keyTableOptions(const Settings &settings)
{
    return {.repeatWindow = settings.keyRepeatWindow,
            .maxKeys = static_cast<std::size_t>(settings.maxKeys),
            .maxTotalBytes = static_cast<std::size_t>(settings.maxKeyBytes)};
}

}

Daemon::Daemon(const Settings &settings, const DaemonKeys &keys)
    : m_settings(settings)
    , m_identity(makeIdentity(settings))
    , m_traffic(
          settings,
          [this](const std::string &service, const std::string &upstream) { m_control.announceUpstreamDraining(service, upstream); },
          m_identity)
    , m_keys(keyTableOptions(settings),
             {.host = m_identity.host, .incarnation = m_identity.incarnation},
             keys.peer,
             [this] { return m_traffic.allMembers(); })
    , m_control(settings, m_identity, keys.peer, m_traffic, m_keys)
    , m_calls(settings, m_traffic, m_keys)
    , m_admin(keys.operators, m_calls, m_traffic, m_control)
{
}

Daemon::~Daemon()
{
    stop();
}

std::optional<Membership::Address> Daemon::start()
{
    if (auto failure = m_control.start()) {
        return failure;
    }
    const Net::HttpServerOptions admin{.address = m_settings.adminAddress,
                                       .threads = static_cast<int>(m_settings.adminThreads),
                                       .requestTimeout = m_settings.requestTimeout};
    if (const auto failure = m_adminServer.start(admin, [this](Net::ServerRequest &request) { m_admin.handle(request); })) {
        return failure->address;
    }
    const Net::HttpServerOptions entry{.address = m_settings.entryAddress,
                                       .threads = static_cast<int>(m_settings.entryThreads),
                                       .requestTimeout = m_settings.requestTimeout,
                                       .keepAliveTimeout = m_settings.keepAliveTimeout};
    if (const auto failure = m_entryServer.start(entry, [this](Net::ServerRequest &request) { m_calls.handle(request); })) {
        return failure->address;
    }
    m_tickThread = std::thread([this] { runTicks(); });
    m_connectionThread = std::thread([this] {
        while (!m_stopping) {
            for (const auto &it : m_traffic.runners()) {
                it->maintainConnections();
            }
            std::this_thread::sleep_for(Process::toChrono(connectionCheckInterval));
        }
    });
    Process::logInfo("started", {{"host", m_settings.host}, {"incarnation", Text::concat(m_identity.incarnation)}});
    return std::nullopt;
}

void Daemon::runTicks()
{
    while (!m_stopping) {
        for (const auto &it : m_traffic.runners()) {
            it->tick();
        }
        std::this_thread::sleep_for(Process::toChrono(tickInterval));
    }
}

void Daemon::reload(const Settings &settings, const DaemonKeys &keys)
{
    m_admin.setOperatorCredential(keys.operators);
    m_control.reload(settings);
    Process::logInfo("settings-reloaded");
}

bool Daemon::drain()
{
    Process::logInfo("draining");
    m_admin.setDraining();
    m_control.leave();
    m_calls.drain();
    const auto started = steadyNow();
    const auto entryListsExpired = started + m_settings.entryTtl + entryListMargin;
    const auto deadline = started + m_settings.entryTtl + m_settings.drainTimeout;
    const auto hasCallsInFlight = [this] { return m_calls.counters().inFlight > 0; };
    while (steadyNow() < entryListsExpired) {
        std::this_thread::sleep_for(Process::toChrono(drainPollInterval));
    }
    // A call that comes after the last look at those in flight would be cut off by stop().
    m_calls.refuseCalls();
    while (hasCallsInFlight() && steadyNow() < deadline) {
        std::this_thread::sleep_for(Process::toChrono(drainPollInterval));
    }
    const auto abortedCalls = m_calls.counters().inFlight.load();
    m_control.handOver();
    Process::logInfo("drained", {{"cut", Text::concat(abortedCalls)}});
    return abortedCalls == 0;
}

void Daemon::stop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    const std::array servers{&m_entryServer, &m_adminServer};
    Net::stopAll(servers);
    if (m_tickThread.joinable()) {
        m_tickThread.join();
    }
    if (m_connectionThread.joinable()) {
        m_connectionThread.join();
    }
    m_traffic.pool().stop();
    m_control.stop();
}

}
