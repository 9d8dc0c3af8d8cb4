#ifndef LABURNUMMAST_ENTRY_TRAFFIC_H
#define LABURNUMMAST_ENTRY_TRAFFIC_H

#include "core/placement/servicedispatcher.h"
#include "entry/call.h"
#include "entry/decisionlog.h"
#include "entry/latencytotals.h"
#include "entry/nodesettings.h"
#include "entry/nodeview.h"
#include "entry/peerreport.h"
#include "entry/returnestimate.h"
#include "entry/upstreamconnections.h"
#include "http/listener.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Laburnummast::Entry
{

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t {
    Answered,
    Failed,
    NotRun,
    Unknown,
    Late,
    NoRoute,
    NotReady,
    BadRequest,
    CallerLeft,
};

constexpr std::size_t callEndCount = 9;
std::string_view nameOf(CallEnd end);

/// Counts of the traffic side; each only grows.
struct TrafficCounters
{
    std::array<std::uint64_t, callEndCount> ended{};
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    std::uint64_t linesLeftOut = 0;
    Placement::PlacementCounters placement;
};

/// Callers' connections, calls in flight and connections to upstreams; all on the traffic thread.
class Traffic
{
public:
    using OnFindings = std::function<void(Findings)>;

    Traffic(boost::asio::io_context &loop, const NodeSettings &settings, OnFindings onFindings);
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /// Returns the address that could not be had, if any.
    std::optional<Address> start();
    void setView(std::shared_ptr<const NodeView> view);
    void setBounds(const NodeBounds &bounds);
    /// What calls taught another daemon.
    void noteOthers(const Findings &findings);
    /// Tells callers to leave; goes on answering.
    void drain();
    /// Closes the listeners; calls in flight go on.
    void stopAccepting();
    void stop();

    bool idle() const
    {
        return m_calls.empty() && !m_front.hasBusyConnections();
    }
    TrafficCounters counters() const;
    const LatencyTotals &latencies() const
    {
        return m_latencies;
    }
    /// Lines of the state dump.
    std::string dump() const;

private:
    struct Service
    {
        explicit Service(boost::asio::io_context &loop,
                         const Placement::PlacementOptions &options,
                         Retry::TokenBucket &probeTokens,
                         std::uint64_t seed)
            : dispatcher(options, probeTokens, seed)
            , timer(loop)
        {
        }

        std::string name;
        std::string healthPath = "/health";
        Placement::ServiceDispatcher dispatcher;
        boost::asio::steady_timer timer;
        std::optional<Millis> armedFor;
    };

    struct LiveAttempt
    {
        std::shared_ptr<Http::ClientConnection> connection;
        std::string upstream;
        Millis sentAt;
        /// What was known of the upstream when it was chosen.
        std::string known;
    };

    struct LiveCall
    {
        IncomingCall call;
        Placement::CallSpec spec;
        Service *service = nullptr;
        std::string route;
        std::uint64_t version = 0;
        std::optional<Http::Responder> responder;
        Millis arrived;
        std::map<Dispatch::AttemptNumber, LiveAttempt> attempts;
        std::map<Dispatch::AttemptNumber, Http::Response> answers;
        std::string lastUpstream;
        std::string lastKnown;
        std::string lastError;
        /// Inputs of a refusal.
        std::string why;
        int sent = 0;
    };

    using CallMap = std::unordered_map<Dispatch::CallId, LiveCall>;

    void accept(Http::Request request, const Http::Responder &responder, std::uint64_t id);
    void callerLeft(std::uint64_t id);
    void directory(const Http::Request &request, const Http::Responder &responder) const;
    void readiness(const Http::Request &request, const Http::Responder &responder) const;
    Service &serviceOf(const std::string &name);
    Placement::PlacementOptions options() const;
    void refreshProbeRate();
    void run(Service &service, const Dispatch::Actions &actions);
    void arm(Service &service);
    void send(Service &service, const Dispatch::SendAttempt &action);
    void probe(Service &service, const Dispatch::ProbeUpstream &action);
    void refuse(const Dispatch::RefuseCall &action);
    void finish(const Dispatch::FinishCall &action);
    void cancelAttempt(const Dispatch::CancelAttempt &action);
    void attemptEnded(
        Service &service, Dispatch::CallId id, Dispatch::AttemptNumber number, const std::string &upstream, Http::ClientResult result);
    void end(CallMap::iterator call, CallEnd how, Http::Response response);
    void account(const LiveCall &call, CallEnd how, int status);
    void housekeeping();
    void handOverFindings();

    boost::asio::io_context &m_loop;
    NodeSettings m_settings;
    OnFindings m_onFindings;
    std::shared_ptr<const NodeView> m_view;
    Http::Listener m_front;
    Http::Listener m_readiness;
    Http::Listener m_directory;
    UpstreamConnections m_connections;
    /// Probes that this daemon may send; shared by all services.
    Retry::TokenBucket m_probeTokens;
    std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
    CallMap m_calls;
    ReturnEstimate m_returns;
    boost::asio::steady_timer m_housekeeping;
    LatencyTotals m_latencies;
    DecisionLog m_log;
    mutable std::mt19937_64 m_random;
    std::array<std::uint64_t, callEndCount> m_ended{};
};

}

#endif
