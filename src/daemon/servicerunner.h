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

/// Options of a ServiceRunner, the same for all services.
struct ServiceRunnerOptions
{
    /// Failure domain of this daemon.
    std::string domain;
    /// Most probes per second, over all upstreams of the service.
    std::int64_t probesPerSecond = 2;
    /// Time without a report from an upstream after which it is probed.
    Millis probeAfter{5000};
    /// Hedges allowed per idempotent call.
    double hedgeShare = 0.02;
    /// Number of daemons among which the connections of an upstream are divided.
    std::int64_t connectionDaemons = 16;
    /// Connections to keep open to each upstream, idle or in use.
    std::int64_t warmConnections = 2;
    /// An upstream connection that was idle for longer is not used again.
    Millis connectionIdleTimeout{15000};
};

/// Callbacks of a ServiceRunner, called on worker threads without its lock.
struct ServiceRunnerHandlers
{
    /// The answer of an attempt is the first report that the upstream is draining.
    std::function<void(const std::string &service, const std::string &upstream)> onDraining;
    /// An upstream was probed.
    std::function<void(const std::string &service)> onProbed;
};

/// Drives the dispatcher of one service: executes its actions over connections to the upstreams.
///
/// Safe to use from several threads.
class ServiceRunner
{
public:
    ServiceRunner(std::string name, const ServiceRunnerOptions &options, WorkerPool &pool, ServiceRunnerHandlers handlers);

    /// Applies the configuration of the service and replaces its upstreams.
    void configure(const ServiceView &view);
    /// Sets the names of the hosts that dispatch the service; `self` is the name of this host.
    void setDispatchers(std::span<const std::string> names, std::string_view self);
    /// Sets whether the named upstream is draining.
    void setDraining(std::string_view upstream, bool draining);

    /// Submits a call to the dispatcher and blocks until it has a result.
    ///
    /// Gives up shortly after the deadline of the call, unless its request body is streamed from the caller.
    CallResult run(const std::shared_ptr<CallContext> &call);
    /// Refuses expired calls, hedges late ones and requests probes; call it every few milliseconds.
    void tick();
    /// Closes expired idle connections and opens new ones in advance, on dispatchers of the service only; call it every 500 ms or so.
    void maintainConnections();

    /// Number of calls that are queued or in flight.
    std::size_t pending() const;
    /// Counters of the dispatcher since the start.
    Dispatch::DispatcherCounters counters() const;
    /// State of the service for the admin interface.
    nlohmann::json dump() const;

private:
    struct Job
    {
        std::shared_ptr<CallContext> call;
        std::shared_ptr<UpstreamEndpoint> endpoint;
        Dispatch::AttemptNumber attempt = 0;
    };

    // The caller of these two must have locked m_mutex.
    void execute(const Dispatch::Actions &actions);
    std::shared_ptr<UpstreamEndpoint> endpointOf(Dispatch::UpstreamId upstream) const;

    void runAttempt(const Job &job);
    void runProbe(Dispatch::UpstreamId upstream, const std::shared_ptr<UpstreamEndpoint> &endpoint);
    // The caller must have locked m_mutex.
    void finishCall(const Dispatch::FinishCall &action);
    CallResult abandon(CallContext &call);

    std::string m_name;
    ServiceRunnerOptions m_options;
    WorkerPool &m_pool;
    ServiceRunnerHandlers m_handlers;
    mutable std::mutex m_mutex;
    Dispatch::Dispatcher m_dispatcher;
    /// Endpoints by the name of the upstream, including removed upstreams.
    std::map<std::string, std::shared_ptr<UpstreamEndpoint>, std::less<>> m_endpoints;
    /// Calls that have no result yet.
    std::unordered_map<Dispatch::CallId, std::shared_ptr<CallContext>> m_calls;
    /// By upstream, whether it has reported that it is draining; only a probe resets this.
    std::map<std::string, bool, std::less<>> m_reportedDraining;
    /// Whether this daemon is a dispatcher of the service.
    bool m_isDispatcher = false;
};

}

#endif
