#ifndef LABURNUMMAST_ENTRY_TRAFFIC_H
#define LABURNUMMAST_ENTRY_TRAFFIC_H

#include "core/placement/servicedispatcher.h"
#include "core/workspaces/credential.h"
#include "entry/call.h"
#include "entry/calladmission.h"
#include "entry/callallowances.h"
#include "entry/callend.h"
#include "entry/calllog.h"
#include "entry/clientmemory.h"
#include "entry/latencytotals.h"
#include "entry/nodesettings.h"
#include "entry/nodeview.h"
#include "entry/peerreport.h"
#include "entry/returningcallerestimator.h"
#include "entry/upstreamconnections.h"
#include "entry/workspaceids.h"
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

/// Counters of the traffic thread since the start; they only increase.
struct TrafficCounters
{
    /// Indexed by `CallEnd`.
    std::array<std::uint64_t, callEndCount> ended{};
    /// Calls rejected because of their credential, indexed by `Workspaces::CredentialError`.
    std::array<std::uint64_t, Workspaces::credentialErrorCount> credentialErrors{};
    /// Calls refused because their credential may have been withdrawn, and attempts of others that were not sent for that reason.
    std::uint64_t staleRefusals = 0;
    std::uint64_t withheldAttempts = 0;
    /// Requests of callers that were rejected before they were decoded, indexed by `Http::RejectReason`.
    std::array<std::uint64_t, Http::rejectReasonCount> rejected{};
    /// Memory reserved for bodies of calls and answers, now and at most; not counters.
    std::uint64_t bufferedBytes = 0;
    std::uint64_t peakBufferedBytes = 0;
    ClientMemoryState clients;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    std::uint64_t suppressedLogLines = 0;
    /// Answers whose limit could not be read.
    std::uint64_t unreadableLimits = 0;
    /// Upstreams with a limit in force; not a counter.
    std::size_t limitedUpstreams = 0;
    /// Refusals of upstreams whose `Retry-After` could not be read.
    std::uint64_t unreadablePauses = 0;
    /// Listed upstreams that are leaving or want no calls from this daemon at present; not a counter.
    std::size_t unavailableUpstreams = 0;
    Placement::PlacementCounters placement;
    Limits::AllowanceCounters allowances;
};

/// Serves callers: accepts calls, sends their attempts and the probes to upstreams, and answers requests for the entry list.
///
/// Runs on the traffic thread.
class Traffic
{
public:
    /// Called several times per second if there are observations to report.
    using OnObservations = std::function<void(Observations)>;
    /// Called with requests to the homes of workspaces.
    using OnAllowanceRequest = std::function<void(const Limits::AllowanceRequest &)>;

    Traffic(boost::asio::io_context &loop,
            const NodeSettings &settings,
            OnObservations onObservations,
            OnAllowanceRequest onAllowanceRequest);
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /// Opens the listeners. Returns the address that cannot be bound; nothing on success.
    std::optional<Address> start();
    /// Applies new routes, upstreams and daemons; calls in flight continue.
    void setView(std::shared_ptr<const NodeView> view);
    /// Applies a proof that the routes of the present view were current at `provenAt`.
    void setProof(Millis provenAt)
    {
        m_freshness.setProof(provenAt);
    }
    /// Applies new limits for retries, probes and entry lists.
    void setBounds(const NodeBounds &bounds);
    /// Records observations that another daemon reported.
    void recordPeerObservations(const Observations &observations);
    /// Applies an answer of the home of a workspace.
    void receiveAllowance(const Limits::AllowanceAnswer &answer)
    {
        m_allowances.receive(answer);
    }
    /// Closes connections of callers once they are idle; still accepts new ones. Calls that `window` does not allow are refused.
    void drain(const Placement::DrainWindow &window);
    /// Accepts no more connections of callers; calls in flight continue.
    void stopAccepting();
    /// Ends all calls and rejects requests that have not arrived completely.
    void endCalls();
    /// Closes all connections at once.
    void stop();

    /// Number of calls that are not answered yet, and of requests that have arrived in part.
    std::size_t unansweredRequests() const
    {
        return m_front.unansweredRequests();
    }
    /// Whether no call is in flight and no caller is connected.
    bool finished() const
    {
        return m_calls.empty() && m_front.connectionCount() == 0;
    }
    TrafficCounters counters() const;
    const LatencyTotals &latencies() const
    {
        return m_latencies;
    }
    /// Lines of the state dump that concern calls, services and upstreams.
    std::string stateDump() const;

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
        /// When the timer expires; empty if it is not set.
        std::optional<Millis> timerDue;
    };

    /// From where the limit of an upstream is known.
    enum class LimitSource : std::uint8_t {
        Answer,
        Peer,
    };

    /// An attempt or a probe.
    struct SentRequest
    {
        std::string upstream;
        /// Start of the upstream for which the request was meant.
        std::int64_t upstreamStartedAt = 0;
        Millis sentAt;
    };

    struct ActiveAttempt
    {
        std::shared_ptr<Http::ClientConnection> connection;
        std::string upstream;
        Millis sentAt;
        /// Load of the upstream as known when it was chosen, for the log.
        std::string knownLoad;
    };

    struct OpenCall
    {
        IncomingCall call;
        Placement::CallSpec spec;
        Service *service = nullptr;
        std::string route;
        std::uint64_t routesVersion = 0;
        /// Empty once the caller has left.
        std::optional<Http::Responder> responder;
        Millis arrived;
        std::map<Dispatch::AttemptNumber, ActiveAttempt> attempts;
        std::map<Dispatch::AttemptNumber, Http::Response> answers;
        std::string lastUpstream;
        std::string lastKnownLoad;
        std::string lastError;
        /// Values on which a refusal was based, for the log.
        std::string refusalDetails;
        /// Empty if no credential was needed.
        std::optional<CredentialPermit> permit;
        /// An attempt was not sent because the credential may have been withdrawn.
        bool isStale = false;
        int attemptCount = 0;
        /// Not submitted to its dispatcher yet: the home of its workspace was asked for a token.
        bool held = false;
    };

    using CallMap = std::unordered_map<Dispatch::CallId, OpenCall>;

    void handleRequest(Http::Request request, const Http::Responder &responder, std::uint64_t id);
    /// Submits, refuses or holds a call.
    void applyAllowance(std::uint64_t id, const Limits::AllowanceDecision &decision);
    /// Refuses the calls that are held.
    void endHeldCalls();
    void handleCallerLeft(std::uint64_t id);
    void handleRejected(const Http::RejectedRequest &request);
    void rejectCall(const IncomingCall &call, RejectedCall rejection, const Http::Responder &responder);
    void serveEntryList(const Http::Request &request, const Http::Responder &responder) const;
    void serveReadiness(const Http::Request &request, const Http::Responder &responder) const;
    void applyRoutesAndUpstreams();
    Service &serviceOf(const std::string &name);
    Placement::PlacementOptions placementOptions() const;
    /// Longest body of an answer that is passed on.
    std::uint64_t maxAnswerBytes() const;
    void updateProbeRate();
    /// Executes the actions of a dispatcher and sets its timer.
    void execute(Service &service, const Dispatch::Actions &actions);
    void armTimer(Service &service);
    void sendAttempt(Service &service, const Dispatch::SendAttempt &action);
    /// Ends an attempt that is not sent because the credential of its call may have been withdrawn.
    void withholdAttempt(Service &service, const Dispatch::SendAttempt &action);
    void sendProbe(Service &service, const Dispatch::ProbeUpstream &action);
    void refuse(const Dispatch::RefuseCall &action);
    void finish(const Dispatch::FinishCall &action);
    void cancelAttempt(const Dispatch::CancelAttempt &action);
    /// Takes what the answer to an attempt or probe says about further calls to its upstream: its limit and its availability.
    void learnFromAnswer(Service &service, const SentRequest &sent, const Http::Response &response);
    void learnLimit(Service &service, const SentRequest &sent, const Http::Response &response);
    void learnAvailability(Service &service, const SentRequest &sent, const Http::Response &response);
    void applyLimit(Service &service, std::string_view upstream, const Limits::LimitObservation &observation, LimitSource source);
    void handleAttemptResult(
        Service &service, Dispatch::CallId id, Dispatch::AttemptNumber number, const std::string &upstream, Http::ClientResult result);
    /// Answers the caller, cancels the attempts in flight and removes the call.
    void endCall(CallMap::iterator call, CallEnd callEnd, Http::Response response);
    /// Counts and logs a call that ended.
    void recordCall(const OpenCall &call, CallEnd callEnd, int status);
    void housekeeping();
    void reportObservations();

    boost::asio::io_context &m_loop;
    NodeSettings m_settings;
    OnObservations m_onObservations;
    std::shared_ptr<const NodeView> m_view;
    ClientMemory m_memory;
    Http::Listener m_front;
    Http::Listener m_readiness;
    Http::Listener m_directory;
    UpstreamConnections m_connections;
    CallAllowances m_allowances;
    /// Set while the daemon is being stopped.
    std::optional<Placement::DrainWindow> m_drainWindow;
    /// Limits the probes of all services of this daemon together.
    Retry::TokenBucket m_probeTokens;
    std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
    CallMap m_calls;
    ReturningCallerEstimator m_returningCallers;
    WorkspaceIds m_workspaceIds;
    boost::asio::steady_timer m_housekeepingTimer;
    LatencyTotals m_latencies;
    CallLog m_callLog;
    mutable std::mt19937_64 m_random;
    std::array<std::uint64_t, callEndCount> m_endCounts{};
    std::array<std::uint64_t, Workspaces::credentialErrorCount> m_credentialErrors{};
    FreshnessGate m_freshness;
    std::uint64_t m_staleRefusals = 0;
    std::uint64_t m_withheldAttempts = 0;
    std::uint64_t m_unreadableLimits = 0;
    std::uint64_t m_unreadablePauses = 0;
};

}

#endif
