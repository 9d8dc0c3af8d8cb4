#ifndef LABURNUMMAST_DAEMON_SERVICERUNNER_H
#define LABURNUMMAST_DAEMON_SERVICERUNNER_H

#include "core/dispatch/dispatcher.h"
#include "daemon/callcontext.h"
#include "daemon/runtimeconfig.h"
#include "daemon/workerpool.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Laburnummast::Daemon
{

struct ServiceRunnerOptions
{
    std::string domain;
    std::int64_t probesPerSecond = 2;
    Millis probeAfter{5000};
    double hedgeShare = 0.02;
    /// Daemons among which an upstream's connections are shared out.
    std::int64_t connectionDaemons = 16;
    std::int64_t warmConnections = 2;
    Millis idleConnection{15000};
};

/// What a service's runner tells others of.
struct ServiceRunnerHandlers
{
    /// An upstream said that it drains.
    std::function<void(const std::string &service, const std::string &upstream)> draining;
    /// An upstream was probed.
    std::function<void(const std::string &service)> probed;
};

/// Drives the dispatcher of one service: carries out its actions on real connections.
class ServiceRunner
{
public:
    ServiceRunner(std::string name, const ServiceRunnerOptions &options, WorkerPool &pool, ServiceRunnerHandlers handlers);

    void configure(const ServiceView &view);
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    void setDraining(std::string_view upstream, bool draining);

    /// Runs a call to its end; waits in the calling thread.
    CallResult run(const std::shared_ptr<CallContext> &call);
    void tick();
    /// Opens and closes idle connections; due every second or so.
    void maintainConnections();

    std::size_t pending() const;
    Dispatch::DispatcherCounters counters() const;
    nlohmann::json dump() const;

private:
    struct Job
    {
        std::shared_ptr<CallContext> call;
        std::shared_ptr<UpstreamEndpoint> endpoint;
        Dispatch::AttemptNumber attempt = 0;
    };

    // Both run with the mutex held.
    void execute(const Dispatch::Actions &actions);
    std::shared_ptr<UpstreamEndpoint> endpointOf(Dispatch::UpstreamId upstream) const;

    void runAttempt(const Job &job);
    void runProbe(Dispatch::UpstreamId upstream, const std::shared_ptr<UpstreamEndpoint> &endpoint);
    void finishCall(const Dispatch::FinishCall &action);
    CallResult abandon(CallContext &call);

    std::string m_name;
    ServiceRunnerOptions m_options;
    WorkerPool &m_pool;
    ServiceRunnerHandlers m_handlers;
    mutable std::mutex m_mutex;
    Dispatch::Dispatcher m_dispatcher;
    std::map<std::string, std::shared_ptr<UpstreamEndpoint>, std::less<>> m_endpoints;
    std::unordered_map<Dispatch::CallId, std::shared_ptr<CallContext>> m_calls;
    std::map<std::string, bool, std::less<>> m_reportedDraining;
    bool m_isDispatcher = false;
};

}

#endif
