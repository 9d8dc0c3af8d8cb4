#ifndef LABURNUMMAST_DAEMON_ADMINHANDLER_H
#define LABURNUMMAST_DAEMON_ADMINHANDLER_H

#include "daemon/callhandler.h"
#include "daemon/control.h"
#include "daemon/metrics.h"
#include "daemon/traffic.h"
#include "net/httpserver.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace Laburnummast::Daemon
{

/// Serves the admin address: metrics, state, configuration, notes and drain.
///
/// POST requests need the operators' credential.
class AdminHandler
{
public:
    AdminHandler(std::string operatorCredential, CallHandler &calls, Traffic &traffic, Control &control);

    void handle(Net::ServerRequest &request);
    /// Whether an operator requested a drain.
    bool drainRequested() const
    {
        return m_drainRequested;
    }
    void setOperatorCredential(std::string credential);
    /// Reports this daemon as draining from now on.
    void setDraining()
    {
        m_draining = true;
    }

private:
    /// Checks the request's credential; otherwise answers the request, counts it and returns false.
    bool authorizeOperator(Net::ServerRequest &request);
    void handlePost(Net::ServerRequest &request);
    void publishNote(Net::ServerRequest &request);
    std::string state() const;
    std::string status() const;
    std::string notes() const;
    std::string usage() const;

    mutable std::mutex m_credentialMutex;
    std::string m_operatorCredential;
    CallHandler &m_calls;
    Traffic &m_traffic;
    Control &m_control;
    Metrics m_metrics;
    std::atomic<bool> m_drainRequested = false;
    std::atomic<bool> m_draining = false;
    std::atomic<std::uint64_t> m_deniedRequests = 0;
};

}

#endif
