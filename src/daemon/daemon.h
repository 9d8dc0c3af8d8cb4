#ifndef LABURNUMMAST_DAEMON_DAEMON_H
#define LABURNUMMAST_DAEMON_DAEMON_H

#include "daemon/adminhandler.h"
#include "daemon/callhandler.h"
#include "daemon/control.h"
#include "daemon/keycoordinator.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"
#include "net/httpserver.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

namespace Laburnummast::Daemon
{

/// Secrets read from the key files.
struct DaemonKeys
{
    /// Authenticates messages and requests between daemons.
    std::string peer;
    /// Bearer credential for operators' requests on the admin address.
    std::string operators;
};

/// The daemon of one entry host: owns its components, servers and threads.
class Daemon
{
public:
    Daemon(const Settings &settings, const DaemonKeys &keys);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts the servers and threads; returns the address that could not be bound, if any.
    std::optional<Membership::Address> start();
    /// Applies the settings that can change while running, and the operators' credential; the peer key is not reloaded.
    void reload(const Settings &settings, const DaemonKeys &keys);
    /// Whether an operator requested a drain.
    bool drainRequested() const
    {
        return m_admin.drainRequested();
    }
    /// Leaves the entry lists, waits for calls in flight and transfers keys and usage to peers.
    ///
    /// Returns false if calls were still in flight at the end of the drain time.
    bool drain();
    /// Stops the servers and all threads; may be called more than once.
    void stop();

private:
    /// Ticks the service runners until the daemon stops.
    void runTicks();

    Settings m_settings;
    Usage::UsageSource m_identity;
    Traffic m_traffic;
    KeyCoordinator m_keys;
    Control m_control;
    CallHandler m_calls;
    AdminHandler m_admin;
    Net::HttpServer m_entryServer;
    Net::HttpServer m_adminServer;
    std::atomic<bool> m_stopping = false;
    std::thread m_tickThread;
    std::thread m_connectionThread;
};

}

#endif
