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

struct DaemonKeys
{
    std::string peer;
    std::string operators;
};

/// One entry host's process, put together.
class Daemon
{
public:
    Daemon(const Settings &settings, const DaemonKeys &keys);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// The failure, if any, is the address that could not be had.
    std::optional<Membership::Address> start();
    void reload(const Settings &settings, const DaemonKeys &keys);
    bool drainRequested() const
    {
        return m_admin.drainRequested();
    }
    /// Leaves the entry lists, waits for what is in flight, hands over; returns whether nothing was cut.
    bool drain();
    void stop();

private:
    void pace();

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
    std::thread m_pacer;
    std::thread m_tender;
};

}

#endif
