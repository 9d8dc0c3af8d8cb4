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

constexpr Millis paceEvery = 5_ms;
constexpr Millis tendEvery = 500_ms;
constexpr Millis drainStep = 20_ms;
// Callers may have got their last entry list a moment before this member left it.
constexpr Millis listMargin = 500_ms;

Usage::UsageSource identityOf(const Settings &settings)
{
    return {.host = settings.host, .incarnation = static_cast<std::uint64_t>(Process::wallNow().count)};
}

Idempotency::KeyTableOptions keyOptions(const Settings &settings)
{
    return {.repeatWindow = settings.keyWindow,
            .maxKeys = static_cast<std::size_t>(settings.maxKeys),
            .maxTotalBytes = static_cast<std::size_t>(settings.keyBytes)};
}

}

Daemon::Daemon(const Settings &settings, const DaemonKeys &keys)
    : m_settings(settings)
    , m_identity(identityOf(settings))
    , m_traffic(
          settings,
          [this](const std::string &service, const std::string &upstream) { m_control.tellDraining(service, upstream); },
          m_identity)
    , m_keys(keyOptions(settings),
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
                                       .keepAliveTimeout = m_settings.keepAlive};
    if (const auto failure = m_entryServer.start(entry, [this](Net::ServerRequest &request) { m_calls.handle(request); })) {
        return failure->address;
    }
    m_pacer = std::thread([this] { pace(); });
    m_tender = std::thread([this] {
        while (!m_stopping) {
            for (const auto &it : m_traffic.runners()) {
                it->maintainConnections();
            }
            std::this_thread::sleep_for(Process::toChrono(tendEvery));
        }
    });
    Process::logInfo("started", {{"host", m_settings.host}, {"incarnation", Text::concat(m_identity.incarnation)}});
    return std::nullopt;
}

void Daemon::pace()
{
    while (!m_stopping) {
        for (const auto &it : m_traffic.runners()) {
            it->tick();
        }
        std::this_thread::sleep_for(Process::toChrono(paceEvery));
    }
}

void Daemon::reload(const Settings &settings, const DaemonKeys &keys)
{
    m_admin.setOperatorKey(keys.operators);
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
    const auto listsOver = started + m_settings.entryTtl + listMargin;
    const auto limit = started + m_settings.entryTtl + m_settings.drainTime;
    const auto busy = [this] { return m_calls.counters().inFlight > 0; };
    while (steadyNow() < listsOver || (busy() && steadyNow() < limit)) {
        std::this_thread::sleep_for(Process::toChrono(drainStep));
    }
    const auto cut = m_calls.counters().inFlight.load();
    m_control.handOver();
    Process::logInfo("drained", {{"cut", Text::concat(cut)}});
    return cut == 0;
}

void Daemon::stop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    const std::array servers{&m_entryServer, &m_adminServer};
    Net::stopAll(servers);
    if (m_pacer.joinable()) {
        m_pacer.join();
    }
    if (m_tender.joinable()) {
        m_tender.join();
    }
    m_traffic.pool().stop();
    m_control.stop();
}

}
