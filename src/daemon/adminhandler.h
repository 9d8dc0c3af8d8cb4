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

/// Handles the HTTP requests on the admin address: metrics, state, configuration, notes, usage and drain.
///
/// POST requests need the operators' credential.
class AdminHandler
{
public:
    AdminHandler(std::string operatorCredential, CallHandler &calls, Traffic &traffic, Control &control);

    /// Answers one request; publishing a note blocks until its verdict is known or has timed out.
    void handle(Net::ServerRequest &request);
    /// Whether an operator requested a drain.
    bool drainRequested() const
    {
        return m_drainRequested;
    }
    /// Replaces the credential that POST requests need.
    void setOperatorCredential(std::string credential);
    /// From now on, the state and status report this daemon as draining.
    void setDraining()
    {
        m_draining = true;
    }

private:
    /// Returns whether the request has the operators' credential; if not, counts the request and answers it with status 401.
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
