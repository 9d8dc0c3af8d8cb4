#include "entry/traffic.h"

#include "core/text.h"
#include "entry/attemptoutcome.h"
#include "entry/loaddescription.h"
#include "entry/upstreamspecs.h"
#include "platform/directory.h"
#include "platform/requests.h"
#include "process/wallclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <xxhash.h>

namespace Laburnummast::Entry
{
namespace
{

using Dispatch::AttemptOutcome;
using Process::steadyNow;

// Time for which callers may keep an entry list: short, so that a dead host is soon left out; some callers keep a list three times
// as long.
constexpr Millis entryListLifetime = 1500_ms;
// When callers may repeat a call that was held when the daemon stopped; another daemon takes it then.
constexpr Millis stoppingRetryAfter = 50_ms;
constexpr Millis housekeepingInterval = 250_ms;
// A probe is abandoned after this time; the load in a later response would be outdated.
constexpr Millis probeTimeout = 150_ms;
// The final answer of an upstream is still accepted for this long after the deadline.
constexpr Millis answerGrace = 60_ms;
// Assumed time that a request and its answer take between a caller and this host.
constexpr Millis callerRoundTrip = 8_ms;
// Share of the allowed probe rate that is used, because daemons come and go while the rate is divided among them.
constexpr double probeRateShare = 0.85;
// Largest burst of probes, in seconds of the probe rate: the limit applies to the mean over a long time, so unused probes are saved.
constexpr double probeBurstSeconds = 5;
// Answers up to this size are accepted whatever the routes allow for requests; a longer one takes too much of the daemon's memory.
constexpr std::uint64_t minAnswerBytesLimit = 67108864;
// Longest body of a response to a probe; what counts is in its head.
constexpr std::uint64_t maxProbeBodyBytes = 65536;
// Longest request body on the readiness and directory listeners.
constexpr std::uint64_t maxQueryBodyBytes = 65536;

std::chrono::microseconds toTimerDuration(Millis span)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, span.count) * 1000));
}

std::string millisText(Millis span)
{
    return Text::concat(static_cast<std::int64_t>(span.count));
}

}

std::string_view nameOf(CallError error)
{
    switch (error) {
    case CallError::NoHost:
        return "no-host";
    case CallError::NoId:
        return "no-id";
    case CallError::BadDeadline:
        return "bad-deadline";
    }
    return "unknown";
}

Traffic::Traffic(boost::asio::io_context &loop,
                 const NodeSettings &settings,
                 OnObservations onObservations,
                 OnAllowanceRequest onAllowanceRequest)
    : m_loop(loop)
    , m_settings(settings)
    , m_onObservations(std::move(onObservations))
    , m_view(std::make_shared<NodeView>())
    , m_memory(settings)
    , m_front(loop,
              {.onRequest = [this](Http::Request request,
                                   const Http::Responder &responder,
                                   std::uint64_t id) { handleRequest(std::move(request), responder, id); },
               .onDisconnect = [this](std::uint64_t id) { handleCallerLeft(id); },
               .onReject = [this](const Http::RejectedRequest &request) { handleRejected(request); }})
    , m_readiness(
          loop,
          {.onRequest
           = [this](const Http::Request &request, const Http::Responder &responder, std::uint64_t) { serveReadiness(request, responder); },
           .onDisconnect = [](std::uint64_t) {}})
    , m_directory(
          loop,
          {.onRequest
           = [this](const Http::Request &request, const Http::Responder &responder, std::uint64_t) { serveEntryList(request, responder); },
           .onDisconnect = [](std::uint64_t) {}})
    , m_connections(loop)
    , m_allowances(loop,
                   {.onRequest = std::move(onAllowanceRequest),
                    .onDecision = [this](std::uint64_t id, const Limits::AllowanceDecision &it) { applyAllowance(id, it); }})
    // Starts empty: after a restart of all daemons, full buckets would allow a burst of probes from all of them at once.
    , m_probeTokens(0, 0)
    , m_housekeepingTimer(loop)
    , m_random(XXH3_64bits(settings.host.data(), settings.host.size()))
{
    m_front.setLimits({.provisional = true});
    m_memory.attach({&m_front, &m_readiness, &m_directory});
}

Traffic::~Traffic() = default;

std::optional<Address> Traffic::start()
{
    const std::array<std::pair<Http::Listener *, Address>, 3> listeners{
        {{&m_front, m_settings.front}, {&m_readiness, m_settings.readiness}, {&m_directory, m_settings.directory}}};
    for (const auto &[listener, address] : listeners) {
        if (address.ip.empty()) {
            continue;
        }
        boost::system::error_code ec;
        const auto ip = boost::asio::ip::make_address(address.ip, ec);
        if (ec || listener->start({ip, address.port})) {
            return address;
        }
    }
    const Http::ServerLimits limits{.maxBodyBytes = maxQueryBodyBytes};
    m_readiness.setLimits(limits);
    m_directory.setLimits(limits);
    housekeeping();
    return std::nullopt;
}

void Traffic::setView(std::shared_ptr<const NodeView> view)
{
    const bool sameUpstreams = m_view->upstreams == view->upstreams && m_view->routes == view->routes;
    m_view = std::move(view);
    m_freshness.setView(m_view->freshness, m_view->routes ? m_view->routes->version() : 0);
    m_allowances.setView(*m_view);
    if (!sameUpstreams) {
        applyRoutesAndUpstreams();
    }
    updateProbeRate();
    const auto options = placementOptions();
    for (auto &[name, service] : m_services) {
        service->dispatcher.configure(options, steadyNow());
    }
}

void Traffic::applyRoutesAndUpstreams()
{
    UpstreamConnections::Addresses addresses;
    auto byService = upstreamSpecs(*m_view);
    for (const auto &it : *m_view->upstreams) {
        addresses[it.record.id] = it.record.address;
    }
    m_memory.setUpstreamCount(addresses.size());
    m_connections.setAddresses(std::move(addresses));
    if (m_view->routes) {
        for (const auto &[name, spec] : m_view->routes->services()) {
            serviceOf(name).healthPath = spec.healthPath;
            byService.try_emplace(name);
        }
        const auto &limits = m_view->routes->limits();
        m_front.setLimits({.maxHeaderBytes = limits.headerBytes,
                           .maxBodyBytes = limits.bodyBytes,
                           .headerTimeout = limits.headerTimeout,
                           .idleTimeout = limits.idleTimeout});
    }
    for (auto &[name, service] : m_services) {
        const auto specs = byService.find(name);
        service->dispatcher.setUpstreams(specs == byService.end() ? std::vector<Placement::UpstreamSpec>() : specs->second);
    }
}

void Traffic::setBounds(const NodeBounds &bounds)
{
    m_settings.bounds = bounds;
    updateProbeRate();
    const auto options = placementOptions();
    for (auto &[name, service] : m_services) {
        service->dispatcher.configure(options, steadyNow());
    }
}

std::uint64_t Traffic::maxAnswerBytes() const
{
    return std::max(minAnswerBytesLimit, m_view->routes ? m_view->routes->limits().bodyBytes : 0);
}

Placement::PlacementOptions Traffic::placementOptions() const
{
    const auto daemons = std::max<std::size_t>(1, m_view->daemonCount);
    const auto &bounds = m_settings.bounds;
    // The slack is divided among all daemons, so one that does not know them yet must not use any of it.
    const auto slack = m_view->membersKnown ? bounds.retrySlack : 0;
    auto serving = m_view->entries;
    std::sort(serving.begin(), serving.end(), [](const auto &a, const auto &b) { return a.host < b.host; });
    const auto own = std::find_if(serving.begin(), serving.end(), [&](const EntryAddress &it) { return it.host == m_settings.host; });
    std::vector<std::string> domains;
    domains.reserve(serving.size());
    for (const auto &it : serving) {
        domains.push_back(it.domain);
    }
    return {.host = m_settings.host,
            .domain = m_settings.domain,
            .retries = {.ratio = bounds.retryRatio, .slack = slack, .window = bounds.retryWindow, .daemons = daemons},
            .daemonDomains = domains,
            .daemonIndex = static_cast<std::size_t>(own - serving.begin()),
            .limitPool = m_view->limitPool,
            .coldBound = {.overshoot = bounds.coldOvershoot, .slack = bounds.coldSlack}};
}

void Traffic::updateProbeRate()
{
    const auto allowed = m_settings.bounds.probesPerSecond * static_cast<double>(std::max<std::size_t>(1, m_view->upstreams->size()));
    const auto rate = probeRateShare * allowed / static_cast<double>(std::max<std::size_t>(1, m_view->servingDaemonCount));
    m_probeTokens.setRate(rate, rate * probeBurstSeconds);
}

Traffic::Service &Traffic::serviceOf(const std::string &name)
{
    auto &service = m_services[name];
    if (!service) {
        service = std::make_unique<Service>(m_loop, placementOptions(), m_probeTokens, m_random());
        service->name = name;
        if (m_drainWindow) {
            Dispatch::Actions none;
            service->dispatcher.drain(*m_drainWindow, steadyNow(), none);
        }
    }
    return *service;
}

void Traffic::handleRequest(Http::Request request, const Http::Responder &responder, std::uint64_t id)
{
    const auto now = steadyNow();
    auto decoded = Platform::decodeCall(std::move(request));
    if (const auto *error = std::get_if<CallError>(&decoded)) {
        ++m_endCounts[static_cast<std::size_t>(CallEnd::BadRequest)];
        m_callLog.write("call-rejected", now, {{"reason", std::string(nameOf(*error))}});
        responder.send(Platform::localResponse({}, 400));
        return;
    }
    auto &call = std::get<IncomingCall>(decoded);
    auto admission = admitCall(call, *m_view, m_freshness);
    if (auto *rejection = std::get_if<RejectedCall>(&admission)) {
        rejectCall(call, std::move(*rejection), responder);
        return;
    }
    const auto [route, workspace, permit] = std::get<AdmittedCall>(admission);
    const auto callerTimeout = call.callerTimeout.value_or(route->timeout);
    const auto elapsed = m_returningCallers.elapsedBefore(Text::concat(route->name, "@", m_view->routes->version()), callerTimeout);
    OpenCall openCall{.spec = {.id = id,
                               .idempotent = route->idempotent,
                               .bulk = route->bulk,
                               .rank = route->rank,
                               .maxAttempts = route->maxAttempts,
                               .objective = now + route->objective - elapsed - callerRoundTrip,
                               .deadline = now + std::min(callerTimeout, route->timeout),
                               .returning = elapsed > 0_ms,
                               .workspace = workspace ? m_workspaceIds.idOf(workspace->name) : Placement::noWorkspace,
                               .workspaceRank = workspace ? workspace->rank : 0},
                      .service = &serviceOf(Routes::selectService(*route, call.id).service),
                      .route = route->name,
                      .routesVersion = m_view->routes->version(),
                      .responder = responder,
                      .arrived = now,
                      .permit = permit};
    openCall.call = std::move(call);
    m_calls.emplace(id, std::move(openCall));
    applyAllowance(id, m_allowances.decide(workspace, id));
}

void Traffic::applyAllowance(std::uint64_t id, const Limits::AllowanceDecision &decision)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &openCall = found->second;
    openCall.held = std::holds_alternative<Limits::CallHeld>(decision);
    if (const auto *denied = std::get_if<Limits::CallDenied>(&decision)) {
        openCall.lastError = Limits::nameOf(denied->source);
        openCall.refusalDetails = Text::concat("retry-after-ms=", millisText(denied->retryAfter));
        endCall(found, CallEnd::OverAllowance, Platform::overAllowanceResponse(openCall.call.id, denied->retryAfter));
    } else if (!openCall.held) {
        auto &service = *openCall.service;
        Dispatch::Actions actions;
        service.dispatcher.submit(openCall.spec, steadyNow(), actions);
        execute(service, actions);
    }
}

void Traffic::rejectCall(const IncomingCall &call, RejectedCall rejection, const Http::Responder &responder)
{
    ++m_endCounts[static_cast<std::size_t>(rejection.end)];
    if (rejection.credentialError) {
        ++m_credentialErrors[static_cast<std::size_t>(*rejection.credentialError)];
    }
    m_staleRefusals += rejection.reason == "stale-credentials" ? 1 : 0;
    m_callLog.write("call-rejected",
                    steadyNow(),
                    {{"id", call.id},
                     {"reason", std::string(rejection.reason)},
                     {"why", rejection.details},
                     {"host", call.host},
                     {"version", Text::concat(m_view->routes ? m_view->routes->version() : 0)}});
    responder.send(std::move(rejection.response));
}

void Traffic::handleRejected(const Http::RejectedRequest &request)
{
    m_callLog.write("call-rejected",
                    steadyNow(),
                    {{"reason", std::string(Http::nameOf(request.reason))},
                     {"status", Text::concat(request.status)},
                     {"received-bytes", Text::concat(request.receivedBytes)}});
}

void Traffic::execute(Service &service, const Dispatch::Actions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{[&](const Dispatch::SendAttempt &it) { sendAttempt(service, it); },
                              [&](const Dispatch::ProbeUpstream &it) { sendProbe(service, it); },
                              [&](const Dispatch::RefuseCall &it) { refuse(it); },
                              [&](const Dispatch::FinishCall &it) { finish(it); },
                              [&](const Dispatch::CancelAttempt &it) { cancelAttempt(it); }},
                   action);
    }
    armTimer(service);
}

void Traffic::armTimer(Service &service)
{
    const auto due = service.dispatcher.nextDue();
    if (due == service.timerDue) {
        return;
    }
    service.timerDue = due;
    if (!due) {
        service.timer.cancel();
        return;
    }
    service.timer.expires_after(toTimerDuration(*due - steadyNow()));
    service.timer.async_wait([this, &service](const auto &ec) {
        if (ec) {
            return;
        }
        service.timerDue.reset();
        Dispatch::Actions actions;
        service.dispatcher.tick(steadyNow(), actions);
        execute(service, actions);
    });
}

void Traffic::sendProbe(Service &service, const Dispatch::ProbeUpstream &action)
{
    const auto now = steadyNow();
    const auto &spec = service.dispatcher.view(action.upstream)->spec();
    const auto id = spec.id;
    const auto connection = m_connections.acquire(id, now);
    const auto ended = [this, &service, upstream = action.upstream](const Placement::ProbeResult &result) {
        Dispatch::Actions actions;
        service.dispatcher.probeEnded(upstream, result, steadyNow(), actions);
        execute(service, actions);
    };
    if (!connection) {
        boost::asio::post(m_loop, [ended] { ended({}); });
        return;
    }
    const auto &ip = m_connections.addressOf(id)->ip;
    connection->start({.bytes = Http::encode(Platform::probeRequest(service.healthPath, ip)),
                       .timeout = probeTimeout,
                       .maxBodyBytes = maxProbeBodyBytes,
                       .matchesRequest = Platform::isResponseToProbe,
                       .onResult = [this, &service, id, connection, ended, sent = SentRequest{id, spec.startedAt, now}](
                                       const Http::ClientResult &result) {
                           const auto *response = std::get_if<Http::Response>(&result);
                           if (!response) {
                               m_connections.closeIdle(id);
                               ended({});
                               return;
                           }
                           m_connections.release(id, connection);
                           learnFromAnswer(service, sent, *response);
                           ended(Platform::decodeProbeResponse(*response, id));
                       }});
}

void Traffic::sendAttempt(Service &service, const Dispatch::SendAttempt &action)
{
    const auto now = steadyNow();
    const auto found = m_calls.find(action.call);
    if (found == m_calls.end()) {
        return;
    }
    auto &openCall = found->second;
    if (!m_freshness.permits(openCall.permit)) {
        withholdAttempt(service, action);
        return;
    }
    const auto *view = service.dispatcher.view(action.upstream);
    const auto id = view->spec().id;
    auto &attempt = openCall.attempts[action.attempt];
    attempt.upstream = id;
    attempt.sentAt = now;
    attempt.knownLoad = describeLoad(*view, now);
    openCall.lastUpstream = id;
    openCall.lastKnownLoad = attempt.knownLoad;
    ++openCall.attemptCount;
    attempt.connection = m_connections.acquire(id, now);
    if (!attempt.connection) {
        boost::asio::post(m_loop, [this, &service, call = action.call, number = action.attempt, id] {
            handleAttemptResult(service, call, number, id, Http::ClientError::CannotConnect);
        });
        return;
    }
    const SentRequest sent{.upstream = id, .upstreamStartedAt = view->spec().startedAt, .sentAt = now};
    const auto onResult
        = [this, &service, call = action.call, number = action.attempt, sent, connection = attempt.connection](Http::ClientResult result) {
              m_connections.release(sent.upstream, connection);
              if (const auto *response = std::get_if<Http::Response>(&result)) {
                  learnFromAnswer(service, sent, *response);
              }
              handleAttemptResult(service, call, number, sent.upstream, std::move(result));
          };
    const auto left = openCall.spec.deadline - now;
    attempt.connection->start(
        {.bytes = Http::encodeHead(Platform::attemptHead(openCall.call, id, left), openCall.call.body->size()),
         .body = openCall.call.body,
         .timeout = left + answerGrace,
         .maxBodyBytes = maxAnswerBytes(),
         .budget = m_memory.budget(),
         .headRequest = openCall.call.method == "HEAD",
         .matchesRequest = [callId = openCall.call.id](const Http::Response &it) { return Platform::isResponseToCall(it, callId); },
         .maySend = [this, id, permit = openCall.permit] { return m_freshness.permits(permit) && m_connections.addressOf(id) != nullptr; },
         .onResult = onResult});
}

void Traffic::withholdAttempt(Service &service, const Dispatch::SendAttempt &action)
{
    ++m_withheldAttempts;
    // Later, because the dispatcher may still be passing on actions of this call.
    boost::asio::post(m_loop, [this, &service, action] {
        if (const auto found = m_calls.find(action.call); found != m_calls.end()) {
            found->second.isStale = true;
            Dispatch::Actions actions;
            service.dispatcher.attemptEnded(action.call, action.attempt, AttemptOutcome::Cancelled, std::nullopt, steadyNow(), actions);
            execute(service, actions);
        }
    });
}

void Traffic::learnFromAnswer(Service &service, const SentRequest &sent, const Http::Response &response)
{
    learnLimit(service, sent, response);
    learnAvailability(service, sent, response);
}

void Traffic::learnLimit(Service &service, const SentRequest &sent, const Http::Response &response)
{
    const auto limit = Platform::namedLimit(response, sent.upstream);
    if (const auto *error = std::get_if<LimitError>(&limit)) {
        if (*error == LimitError::NotARate) {
            ++m_unreadableLimits;
            m_callLog.write("limit-unreadable", steadyNow(), {{"upstream", sent.upstream}, {"status", Text::concat(response.status)}});
        }
        return;
    }
    const auto perSecond = std::get<std::optional<double>>(limit);
    applyLimit(service, sent.upstream, {.perSecond = perSecond, .at = perSecond ? steadyNow() : sent.sentAt}, LimitSource::Answer);
}

void Traffic::learnAvailability(Service &service, const SentRequest &sent, const Http::Response &response)
{
    const auto now = steadyNow();
    if (Platform::hasUnreadableRetryAfter(response)) {
        ++m_unreadablePauses;
        m_callLog.write("pause-unreadable", now, {{"upstream", sent.upstream}, {"status", Text::concat(response.status)}});
    }
    const auto notice = Platform::availabilityNotice(response, sent.upstream);
    switch (service.dispatcher.observeAvailability(sent.upstream, sent.upstreamStartedAt, notice, now)) {
    case Placement::AvailabilityChange::None:
        break;
    case Placement::AvailabilityChange::Leaving:
        m_callLog.write("upstream-leaving", now, {{"upstream", sent.upstream}, {"service", service.name}});
        break;
    case Placement::AvailabilityChange::Paused:
        m_callLog.write("upstream-paused",
                        now,
                        {{"upstream", sent.upstream}, {"service", service.name}, {"pause-ms", millisText(notice.pause.value_or(0_ms))}});
        break;
    }
}

void Traffic::applyLimit(Service &service, std::string_view upstream, const Limits::LimitObservation &observation, LimitSource source)
{
    const auto now = steadyNow();
    const bool isOwn = source == LimitSource::Answer;
    const auto change = service.dispatcher.observeLimit(upstream, observation, isOwn, now);
    if (change == Limits::LimitChange::None) {
        return;
    }
    m_callLog.write("upstream-limit",
                    now,
                    {{"upstream", std::string(upstream)},
                     {"service", service.name},
                     {"per-second", observation.perSecond ? Text::concat(*observation.perSecond) : "none"},
                     {"source", isOwn ? "answer" : "peer"},
                     {"share", Text::concat(service.dispatcher.limitShareOf(upstream))},
                     {"age-ms", millisText(now - observation.at)}});
}

void Traffic::handleAttemptResult(
    Service &service, Dispatch::CallId id, Dispatch::AttemptNumber number, const std::string &upstream, Http::ClientResult result)
{
    const auto found = m_calls.find(id);
    auto *response = std::get_if<Http::Response>(&result);
    if (found == m_calls.end() || !found->second.attempts.contains(number)) {
        return;
    }
    auto &openCall = found->second;
    const auto attempt = openCall.attempts[number];
    openCall.attempts.erase(number);
    auto outcome = AttemptOutcome::Incomplete;
    std::optional<Placement::LoadReport> load;
    if (response) {
        auto answer = Platform::decodeAnswer(std::move(*response));
        outcome = outcomeOf(answer.kind);
        load = answer.load;
        openCall.lastError = outcome == AttemptOutcome::Answered ? std::string() : Text::concat("status-", answer.response.status);
        openCall.answers[number] = std::move(answer.response);
    } else {
        const auto error = std::get<Http::ClientError>(result);
        outcome = outcomeOf(error);
        openCall.lastError = Http::nameOf(error);
        if (error != Http::ClientError::CannotConnect) {
            m_connections.closeIdle(upstream);
        }
    }
    if (outcome != AttemptOutcome::Answered) {
        m_callLog.write("attempt-failed",
                        steadyNow(),
                        {{"id", openCall.call.id},
                         {"upstream", upstream},
                         {"error", openCall.lastError},
                         {"load", attempt.knownLoad},
                         {"after-ms", millisText(steadyNow() - attempt.sentAt)}});
    }
    Dispatch::Actions actions;
    service.dispatcher.attemptEnded(id, number, outcome, load, steadyNow(), actions);
    execute(service, actions);
}

void Traffic::refuse(const Dispatch::RefuseCall &action)
{
    const auto found = m_calls.find(action.call);
    if (found == m_calls.end()) {
        return;
    }
    if (found->second.isStale) {
        auto rejection = staleCredentials(found->second.call, m_freshness);
        ++m_staleRefusals;
        found->second.lastError = rejection.reason;
        found->second.refusalDetails = std::move(rejection.details);
        endCall(found, rejection.end, std::move(rejection.response));
        return;
    }
    found->second.lastError = Dispatch::nameOf(action.reason);
    found->second.refusalDetails = describeDispatcher(found->second.service->dispatcher, steadyNow());
    endCall(found, CallEnd::NotRun, Platform::notRunResponse(found->second.call.id, action.retryAfter));
}

void Traffic::finish(const Dispatch::FinishCall &action)
{
    const auto found = m_calls.find(action.call);
    if (found == m_calls.end()) {
        return;
    }
    auto &openCall = found->second;
    const auto answer = openCall.answers.find(action.attempt);
    if (action.disposition == Dispatch::Disposition::Done && answer != openCall.answers.end()) {
        auto response = std::move(answer->second);
        const auto callEnd = response.status < 400 ? CallEnd::Answered : CallEnd::Failed;
        endCall(found, callEnd, std::move(response));
        return;
    }
    const bool late = steadyNow() >= openCall.spec.deadline;
    endCall(found, late ? CallEnd::Late : CallEnd::Unknown, Platform::localResponse(openCall.call.id, late ? 504 : 502));
}

void Traffic::endCall(CallMap::iterator call, CallEnd callEnd, Http::Response response)
{
    auto &openCall = call->second;
    recordCall(openCall, callEnd, response.status);
    if (openCall.responder) {
        openCall.responder->send(std::move(response));
    }
    for (const auto &[number, it] : openCall.attempts) {
        if (it.connection) {
            it.connection->cancel();
        }
    }
    m_calls.erase(call);
}

void Traffic::recordCall(const OpenCall &call, CallEnd callEnd, int status)
{
    const auto now = steadyNow();
    ++m_endCounts[static_cast<std::size_t>(callEnd)];
    if (callEnd == CallEnd::Answered) {
        m_latencies.add(now - call.arrived);
    }
    m_callLog.write("call",
                    now,
                    {{"id", call.call.id},
                     {"route", call.route},
                     {"workspace", call.call.workspace},
                     {"version", Text::concat(call.routesVersion)},
                     {"service", call.service->name},
                     {"end", std::string(nameOf(callEnd))},
                     {"status", Text::concat(status)},
                     {"ms", millisText(now - call.arrived)},
                     {"left-ms", millisText(call.spec.deadline - now)},
                     {"patience-ms", call.call.callerTimeout ? millisText(*call.call.callerTimeout) : std::string()},
                     {"returning", call.spec.returning ? "yes" : "no"},
                     {"attempts", Text::concat(call.attemptCount)},
                     {"upstream", call.lastUpstream},
                     {"load", call.lastKnownLoad},
                     {"reason", call.lastError},
                     {"why", call.refusalDetails}});
}

void Traffic::cancelAttempt(const Dispatch::CancelAttempt &action)
{
    const auto found = m_calls.find(action.call);
    if (found == m_calls.end()) {
        return;
    }
    const auto attempt = found->second.attempts.find(action.attempt);
    if (attempt == found->second.attempts.end()) {
        return;
    }
    if (attempt->second.connection) {
        attempt->second.connection->cancel();
    }
    found->second.attempts.erase(attempt);
}

void Traffic::handleCallerLeft(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    auto &openCall = found->second;
    auto &service = *openCall.service;
    if (openCall.held) {
        m_allowances.forget(openCall.call.workspace, id);
    }
    // Attempts of a call that is not idempotent run to their end: after a cancellation it would be unknown whether the call was executed.
    if (!openCall.spec.idempotent) {
        for (auto &[number, it] : openCall.attempts) {
            it.connection.reset();
        }
    }
    Dispatch::Actions actions;
    service.dispatcher.cancel(id, steadyNow(), actions);
    execute(service, actions);
    openCall.responder.reset();
    endCall(found, CallEnd::CallerLeft, {.status = 0, .headers = {}, .body = {}});
}

void Traffic::serveEntryList(const Http::Request &request, const Http::Responder &responder) const
{
    if (!Platform::isEntryListRequest(request.target)) {
        responder.send({.status = 404, .headers = {}, .body = {}});
        return;
    }
    std::vector<std::string> addresses;
    for (const auto &it : m_view->entries) {
        addresses.push_back(it.address);
    }
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    responder.send(Platform::entryListResponse(addresses, std::min(entryListLifetime, m_settings.bounds.entryListMaxAge)));
}

void Traffic::serveReadiness(const Http::Request &request, const Http::Responder &responder) const
{
    if (!Platform::isReadinessRequest(request.target)) {
        responder.send({.status = 404, .headers = {}, .body = {}});
        return;
    }
    responder.send(Platform::readinessResponse(m_view->ready() && m_freshness.isFresh()));
}

void Traffic::recordPeerObservations(const Observations &observations)
{
    const auto now = steadyNow();
    for (const auto &it : observations.outcomes) {
        const auto service = m_services.find(it.service);
        if (service != m_services.end()) {
            const Placement::OutcomeCount count{.upstream = it.upstream, .successes = it.successes, .failures = it.failures};
            service->second->dispatcher.recordPeerOutcomes({&count, 1}, now);
        }
    }
    for (const auto &it : observations.contention) {
        const auto service = m_services.find(it.service);
        if (service != m_services.end()) {
            service->second->dispatcher.learnPeerContention(it.sample);
        }
    }
    for (const auto &it : observations.limits) {
        const auto service = m_services.find(it.service);
        if (service != m_services.end()) {
            applyLimit(*service->second, it.upstream, {.perSecond = it.perSecond, .at = now - it.age}, LimitSource::Peer);
        }
    }
}

void Traffic::reportObservations()
{
    Observations observations;
    for (auto &[name, service] : m_services) {
        for (const auto &it : service->dispatcher.takeOutcomes()) {
            observations.outcomes.push_back({.service = name, .upstream = it.upstream, .successes = it.successes, .failures = it.failures});
        }
        for (const auto &it : service->dispatcher.takeNamedLimits()) {
            observations.limits.push_back({.service = name,
                                           .upstream = it.upstream,
                                           .perSecond = it.observation.perSecond,
                                           .age = steadyNow() - it.observation.at,
                                           .isChange = it.isChange});
        }
        if (const auto sample = service->dispatcher.takeContentionSample(); sample.answers > 0) {
            observations.contention.push_back({.service = name, .sample = sample});
        }
    }
    if (!observations.empty()) {
        m_onObservations(std::move(observations));
    }
}

void Traffic::housekeeping()
{
    const auto now = steadyNow();
    reportObservations();
    m_connections.closeExpired(now);
    m_housekeepingTimer.expires_after(toTimerDuration(housekeepingInterval));
    m_housekeepingTimer.async_wait([this](const auto &ec) {
        if (!ec) {
            housekeeping();
        }
    });
}

void Traffic::drain(const Placement::DrainWindow &window)
{
    m_drainWindow = window;
    m_front.beginDraining();
    for (const auto &[name, service] : m_services) {
        Dispatch::Actions actions;
        service->dispatcher.drain(window, steadyNow(), actions);
        execute(*service, actions);
    }
}

void Traffic::stopAccepting()
{
    m_front.stopAccepting();
}

void Traffic::endHeldCalls()
{
    std::vector<std::uint64_t> held;
    for (const auto &[id, it] : m_calls) {
        if (it.held) {
            held.push_back(id);
        }
    }
    for (const auto id : held) {
        // The answer to one call may let a caller send or end another one.
        if (const auto found = m_calls.find(id); found != m_calls.end()) {
            m_allowances.forget(found->second.call.workspace, id);
            endCall(found, CallEnd::NotRun, Platform::notRunResponse(found->second.call.id, stoppingRetryAfter));
        }
    }
}

void Traffic::endCalls()
{
    endHeldCalls();
    for (const auto &[name, service] : m_services) {
        Dispatch::Actions actions;
        service->dispatcher.endCalls(steadyNow(), actions);
        execute(*service, actions);
    }
    m_front.refuseIncompleteRequests();
}

void Traffic::stop()
{
    m_housekeepingTimer.cancel();
    m_allowances.stop();
    m_front.closeAll();
    m_readiness.closeAll();
    m_directory.closeAll();
}

TrafficCounters Traffic::counters() const
{
    const auto connections = m_connections.counters();
    TrafficCounters counters{.ended = m_endCounts,
                             .credentialErrors = m_credentialErrors,
                             .staleRefusals = m_staleRefusals,
                             .withheldAttempts = m_withheldAttempts,
                             .rejected = m_front.counters().rejected,
                             .bufferedBytes = m_memory.budget()->reservedBytes(),
                             .peakBufferedBytes = m_memory.budget()->peakBytes(),
                             .clients = m_memory.state(),
                             .connectionsOpened = connections.opened,
                             .connectionsReused = connections.reused,
                             .suppressedLogLines = m_callLog.suppressedCount(),
                             .unreadableLimits = m_unreadableLimits,
                             .unreadablePauses = m_unreadablePauses};
    counters.allowances = m_allowances.counters();
    for (const auto &[name, it] : m_services) {
        counters.limitedUpstreams += it->dispatcher.limitedUpstreams(steadyNow());
        counters.unavailableUpstreams += it->dispatcher.unavailableUpstreams(steadyNow());
        counters.placement += it->dispatcher.counters();
    }
    return counters;
}

std::string Traffic::stateDump() const
{
    const auto now = steadyNow();
    auto text
        = Text::concat("calls-open ", m_calls.size(), "\nfront-connections ", m_front.connectionCount(), "\n", m_allowances.stateDump());
    for (const auto &[name, service] : m_services) {
        const auto &dispatcher = service->dispatcher;
        Text::append(text, "service ", name, " upstreams=", dispatcher.upstreamCount(), " open=", dispatcher.openCalls());
        Text::append(text,
                     " typical-ms=",
                     dispatcher.latencyModel().typicalLatency().count,
                     " persistence=",
                     dispatcher.latencyModel().persistence(),
                     " full-crowding=",
                     dispatcher.latencyModel().contentionFactor(1),
                     " retries-left=",
                     dispatcher.retriesLeft(now),
                     "\n");
    }
    for (const auto &it : *m_view->upstreams) {
        const auto service = m_services.find(it.record.service);
        const auto id = service == m_services.end() ? std::nullopt : service->second->dispatcher.idOf(it.record.id);
        if (!id) {
            continue;
        }
        const auto &view = *service->second->dispatcher.view(*id);
        Text::append(text, "upstream ", it.record.id, " service=", it.record.service, " load=", describeLoad(view, now));
        Text::append(text, " in-flight=", view.inFlight(), " failures=", view.failureRate(now));
        if (const auto limit = service->second->dispatcher.limitOf(*id, now)) {
            Text::append(text, " limit=", *limit);
        }
        const auto &availability = service->second->dispatcher.availabilityOf(*id);
        if (availability.isLeaving()) {
            Text::append(text, " leaving");
        } else if (availability.isPaused(now)) {
            Text::append(text, " paused-ms=", static_cast<std::int64_t>((*availability.acceptsAt(now) - now).count));
        }
        Text::append(text, "\n");
    }
    return text;
}

}
