#include "daemon/servicerunner.h"

#include "daemon/attempt.h"
#include "process/wallclock.h"

#include <algorithm>
#include <functional>

namespace Laburnummast::Daemon
{
namespace
{

using Dispatch::Actions;

// Time past its deadline that a call waits for its attempt to report the timeout itself.
constexpr Millis deadlineGrace = 100_ms;
constexpr double percent = 100;

Dispatch::DispatcherOptions dispatcherOptions(const ServiceRunnerOptions &options, const Config::Service &service, std::string_view name)
{
    return {.domain = options.domain,
            .seed = std::hash<std::string_view>{}(name),
            .queueLimit = static_cast<std::size_t>(service.queueLimit),
            .retryShare = static_cast<double>(service.retryPercent) / percent,
            .hedgeShare = options.hedgeShare,
            .floors
            = {0, static_cast<double>(service.normalFloorPercent) / percent, static_cast<double>(service.deferrableFloorPercent) / percent},
            .latencyTargets = {service.urgentTarget, service.normalTarget, service.deferrableTarget},
            .probesPerSecond = static_cast<double>(options.probesPerSecond),
            .probeAfter = options.probeAfter};
}

}

ServiceRunner::ServiceRunner(std::string name, const ServiceRunnerOptions &options, WorkerPool &pool, ServiceRunnerHandlers handlers)
    : m_name(std::move(name))
    , m_options(options)
    , m_pool(pool)
    , m_handlers(std::move(handlers))
    , m_dispatcher(dispatcherOptions(options, Config::Service{}, m_name))
{
}

void ServiceRunner::configure(const ServiceView &view)
{
    const std::lock_guard lock(m_mutex);
    m_dispatcher.configure(dispatcherOptions(m_options, view.service, m_name));
    std::vector<Dispatch::UpstreamSpec> specs;
    std::map<std::string, std::shared_ptr<UpstreamEndpoint>, std::less<>> endpoints;
    for (const auto &it : view.upstreams) {
        specs.push_back({.name = it.name, .domain = it.upstream.domain, .slots = static_cast<int>(it.upstream.slots)});
        const Net::Address address{.ip = it.upstream.host, .port = static_cast<std::uint16_t>(it.upstream.port)};
        const auto existing = m_endpoints.find(it.name);
        if (existing != m_endpoints.end() && existing->second->pool.address() == address) {
            endpoints[it.name] = existing->second;
            continue;
        }
        const auto share = static_cast<std::size_t>(std::max<std::int64_t>(1, it.upstream.connections / m_options.connectionDaemons));
        endpoints[it.name] = std::make_shared<UpstreamEndpoint>(
            it.name, Net::ConnectionPoolOptions{.address = address, .maxConnections = share, .maxIdle = m_options.connectionIdleTimeout});
    }
    // Removed upstreams stay in the map, because calls may still be in flight on their connections.
    for (const auto &[name, endpoint] : m_endpoints) {
        endpoints.try_emplace(name, endpoint);
    }
    m_endpoints = std::move(endpoints);
    Actions actions;
    m_dispatcher.setUpstreams(specs, Process::steadyNow(), actions);
    execute(actions);
}

void ServiceRunner::setDispatchers(std::span<const std::string> names, std::string_view self)
{
    const std::lock_guard lock(m_mutex);
    m_isDispatcher = std::find(names.begin(), names.end(), self) != names.end();
    m_dispatcher.setDispatchers(names, self);
}

void ServiceRunner::setDraining(std::string_view upstream, bool draining)
{
    const std::lock_guard lock(m_mutex);
    m_dispatcher.setDraining(upstream, draining);
}

std::shared_ptr<UpstreamEndpoint> ServiceRunner::endpointOf(Dispatch::UpstreamId upstream) const
{
    return m_endpoints.at(m_dispatcher.router().upstreams()[upstream].spec.name);
}

CallResult ServiceRunner::run(const std::shared_ptr<CallContext> &call)
{
    {
        const std::lock_guard lock(m_mutex);
        m_calls[call->request.id] = call;
        Actions actions;
        m_dispatcher.submit(call->request, Process::steadyNow(), actions);
        execute(actions);
    }
    std::unique_lock lock(call->mutex);
    const auto ended = [&] { return call->result.has_value(); };
    if (call->bodyStream != nullptr) {
        // The attempt reads from the caller's connection, which is valid only until this thread returns.
        call->done.wait(lock, ended);
        return *call->result;
    }
    const Millis remaining = call->request.deadline + deadlineGrace - Process::steadyNow();
    if (call->done.wait_for(lock, Process::toChrono(remaining), ended)) {
        return *call->result;
    }
    lock.unlock();
    return abandon(*call);
}

// Cancels a call whose deadline has passed without a result.
CallResult ServiceRunner::abandon(CallContext &call)
{
    const std::lock_guard lock(m_mutex);
    Actions actions;
    const bool neverSent = m_dispatcher.cancel(call.request.id, actions);
    execute(actions);
    m_calls.erase(call.request.id);
    if (neverSent) {
        return CallRefused{.reason = Dispatch::RefusalReason::Expired, .retryAfter = 1_s};
    }
    const std::lock_guard callLock(call.mutex);
    return call.result.value_or(CallFinished{.disposition = Dispatch::Disposition::Unknown, .answer = nullptr, .retryAfter = 1_s});
}

void ServiceRunner::execute(const Actions &actions)
{
    const auto visitor
        = Overloaded{[this](const Dispatch::SendAttempt &it) {
                         const auto call = m_calls.find(it.call);
                         if (call != m_calls.end()) {
                             const Job job{.call = call->second, .endpoint = endpointOf(it.upstream), .attempt = it.attempt};
                             m_pool.post([this, job] { runAttempt(job); });
                         }
                     },
                     [this](const Dispatch::RefuseCall &it) {
                         const auto call = m_calls.find(it.call);
                         if (call != m_calls.end()) {
                             call->second->complete(CallRefused{.reason = it.reason, .retryAfter = it.retryAfter});
                             m_calls.erase(call);
                         }
                     },
                     [this](const Dispatch::FinishCall &it) { finishCall(it); },
                     [this](const Dispatch::CancelAttempt &it) {
                         const auto call = m_calls.find(it.call);
                         if (call != m_calls.end()) {
                             m_pool.post([endpoint = endpointOf(it.upstream), id = attemptId(*call->second, it.attempt)] {
                                 cancelAttempt(*endpoint, id);
                             });
                         }
                     },
                     [this](const Dispatch::ProbeUpstream &it) {
                         m_pool.post([this, upstream = it.upstream, endpoint = endpointOf(it.upstream)] { runProbe(upstream, endpoint); });
                     }};
    for (const auto &it : actions) {
        std::visit(visitor, it);
    }
    // Finished calls are removed last, because a CancelAttempt action after FinishCall still refers to its call.
    for (const auto &it : actions) {
        if (const auto *finished = std::get_if<Dispatch::FinishCall>(&it)) {
            m_calls.erase(finished->call);
        }
    }
}

void ServiceRunner::finishCall(const Dispatch::FinishCall &action)
{
    const auto found = m_calls.find(action.call);
    if (found == m_calls.end()) {
        return;
    }
    auto &call = *found->second;
    std::shared_ptr<UpstreamAnswer> answer;
    std::optional<Net::BodyError> bodyFailure;
    {
        const std::lock_guard lock(call.mutex);
        answer = call.answers[action.attempt];
        bodyFailure = call.bodyFailure;
    }
    if (bodyFailure) {
        call.complete(CallerBodyFailed{.error = *bodyFailure});
        return;
    }
    call.complete(CallFinished{.disposition = action.disposition, .answer = std::move(answer), .retryAfter = action.retryAfter});
}

void ServiceRunner::runAttempt(const Job &job)
{
    constexpr double microsPerMilli = 1000;
    const auto started = Process::steadyNow();
    auto completed = performAttempt(*job.call, job.attempt, job.endpoint);
    const auto now = Process::steadyNow();
    {
        const std::lock_guard lock(job.call->mutex);
        job.call->answers[job.attempt] = std::move(completed.answer);
        job.call->slotMicros += static_cast<std::uint64_t>((now - started).count * microsPerMilli);
    }
    bool newlyDraining = false;
    {
        const std::lock_guard lock(m_mutex);
        newlyDraining
            = completed.result.report && completed.result.report->draining && !std::exchange(m_reportedDraining[job.endpoint->name], true);
        Actions actions;
        m_dispatcher.attemptEnded(job.call->request.id, job.attempt, completed.result, now, actions);
        execute(actions);
    }
    if (newlyDraining) {
        m_handlers.onDraining(m_name, job.endpoint->name);
    }
}

void ServiceRunner::runProbe(Dispatch::UpstreamId upstream, const std::shared_ptr<UpstreamEndpoint> &endpoint)
{
    const auto completed = performProbe(*endpoint);
    m_handlers.onProbed(m_name);
    const std::lock_guard lock(m_mutex);
    // The index may have been given to another upstream while the probe ran.
    if (m_dispatcher.router().upstreams()[upstream].spec.name != endpoint->name) {
        return;
    }
    m_reportedDraining[endpoint->name] = completed.healthy && completed.report.draining;
    Actions actions;
    m_dispatcher.probeEnded(upstream, completed.healthy, completed.report, Process::steadyNow(), actions);
    execute(actions);
}

void ServiceRunner::tick()
{
    const std::lock_guard lock(m_mutex);
    Actions actions;
    m_dispatcher.tick(Process::steadyNow(), actions);
    execute(actions);
}

void ServiceRunner::maintainConnections()
{
    std::vector<std::shared_ptr<UpstreamEndpoint>> endpoints;
    {
        const std::lock_guard lock(m_mutex);
        // Only dispatchers of the service open connections in advance: if every daemon did so at every upstream, the upstreams'
        // connection limits would be exceeded.
        for (const auto &slot : m_dispatcher.router().upstreams()) {
            if (m_isDispatcher && slot.listed && !slot.load.draining()) {
                endpoints.push_back(m_endpoints.at(slot.spec.name));
            }
        }
    }
    // Opens at most one connection per upstream each time, because accepting one costs the upstream about a millisecond.
    for (const auto &it : endpoints) {
        it->pool.closeExpired();
        it->pool.warm(static_cast<std::size_t>(m_options.warmConnections));
    }
}

std::size_t ServiceRunner::pending() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.pending();
}

Dispatch::DispatcherCounters ServiceRunner::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher.counters();
}

nlohmann::json ServiceRunner::dump() const
{
    const std::lock_guard lock(m_mutex);
    const auto now = Process::steadyNow();
    const auto &router = m_dispatcher.router();
    const auto &counters = m_dispatcher.counters();
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto &slot : router.upstreams()) {
        const auto &load = slot.load;
        const auto &pool = m_endpoints.at(slot.spec.name)->pool;
        const auto connections = pool.counters();
        upstreams.push_back({{"name", slot.spec.name},
                             {"domain", slot.spec.domain},
                             {"present", slot.listed},
                             {"own_part", slot.assigned},
                             {"slots", load.slots()},
                             {"in_flight", load.inFlight()},
                             {"limit", load.limit()},
                             {"others_in_flight", load.othersInFlight(now)},
                             {"slowness", load.slowness(now, router.typicalLatency())},
                             {"warmth", load.warmUpFactor(now)},
                             {"failure_rate", load.failureRate()},
                             {"ejected", load.ejected(now)},
                             {"draining", load.draining()},
                             {"cost", load.cost(now, router.typicalLatency())},
                             {"connections",
                              {{"open", pool.open()},
                               {"idle", pool.idle()},
                               {"opened", connections.opened},
                               {"reused", connections.reused},
                               {"refused", connections.refused},
                               {"retired", connections.retired}}}});
    }
    nlohmann::json priorities;
    for (const auto priority : {Priority::Urgent, Priority::Normal, Priority::Deferrable}) {
        const auto i = indexOf(priority);
        priorities[std::string(nameOf(priority))] = {{"queued", m_dispatcher.queued(priority)},
                                                     {"submitted", counters.submitted[i]},
                                                     {"dispatched", counters.dispatched[i]},
                                                     {"refused", counters.refused[i]}};
    }
    return {{"service", m_name},
            {"typical_latency_ms", router.typicalLatency().count},
            {"p95_latency_ms", router.latencyQuantile(0.95).count},
            {"pending", m_dispatcher.pending()},
            {"retry_tokens", m_dispatcher.retryTokens()},
            {"attempts", counters.attempts},
            {"retries", counters.retries},
            {"hedges", counters.hedges},
            {"probes", counters.probes},
            {"priorities", priorities},
            {"upstreams", upstreams}};
}

}
