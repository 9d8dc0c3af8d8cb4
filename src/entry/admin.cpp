#include "entry/admin.h"

#include "core/text.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <utility>
#include <vector>

namespace Laburnummast::Entry
{
namespace
{

using Families = std::vector<prometheus::MetricFamily>;
using Labels = std::vector<prometheus::ClientMetric::Label>;

// Only a few operators request metrics or the state dump at the same time.
constexpr int adminThreads = 2;
// Few, because descriptors are needed for callers.
constexpr int queuedAdminConnections = 16;

// The serializer writes only the one of the two values that fits the type of the family.
prometheus::ClientMetric sample(double value, Labels labels = {})
{
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    metric.counter.value = value;
    metric.gauge.value = value;
    return metric;
}

void addFamily(
    Families &families, const char *name, const char *help, prometheus::MetricType type, std::vector<prometheus::ClientMetric> samples)
{
    families.push_back({.name = name, .help = help, .type = type, .metric = std::move(samples)});
}

void addCounter(Families &families, const char *name, const char *help, std::uint64_t value)
{
    addFamily(families, name, help, prometheus::MetricType::Counter, {sample(static_cast<double>(value))});
}

void addGauge(Families &families, const char *name, const char *help, double value)
{
    addFamily(families, name, help, prometheus::MetricType::Gauge, {sample(value)});
}

void addClientMetrics(Families &families, const ClientMemoryState &clients)
{
    std::vector<prometheus::ClientMetric> closed;
    for (std::size_t i = 0; i < Http::guardReasonCount; ++i) {
        closed.push_back(
            sample(static_cast<double>(clients.closed[i]), {{"reason", std::string(Http::nameOf(static_cast<Http::GuardReason>(i)))}}));
    }
    addFamily(families,
              "laburnummast_connections_closed_total",
              "Connections of clients that were closed or not accepted to keep memory and descriptors for others.",
              prometheus::MetricType::Counter,
              std::move(closed));
    addGauge(families,
             "laburnummast_connection_bytes",
             "Memory reserved for connections of clients, without bodies.",
             static_cast<double>(clients.connectionBytes));
    addGauge(families, "laburnummast_client_connections", "Open connections of clients.", static_cast<double>(clients.connections));
    addGauge(families,
             "laburnummast_client_connections_limit",
             "Limit for open connections of clients.",
             static_cast<double>(clients.maxConnections));
}

void addTrafficMetrics(Families &families, const TrafficCounters &counters, const LatencyTotals &latencies)
{
    std::vector<prometheus::ClientMetric> ends;
    for (std::size_t i = 0; i < callEndCount; ++i) {
        ends.push_back(sample(static_cast<double>(counters.ended[i]), {{"end", std::string(nameOf(static_cast<CallEnd>(i)))}}));
    }
    addFamily(families, "laburnummast_calls_total", "Calls by how they ended.", prometheus::MetricType::Counter, std::move(ends));
    std::vector<prometheus::ClientMetric> credentialErrors;
    for (std::size_t i = 0; i < Workspaces::credentialErrorCount; ++i) {
        credentialErrors.push_back(sample(static_cast<double>(counters.credentialErrors[i]),
                                          {{"reason", std::string(nameOf(static_cast<Workspaces::CredentialError>(i)))}}));
    }
    addFamily(families,
              "laburnummast_credentials_rejected_total",
              "Calls rejected because of their credential.",
              prometheus::MetricType::Counter,
              std::move(credentialErrors));
    addCounter(families,
               "laburnummast_stale_credentials_refused_total",
               "Calls refused because their credential may have been withdrawn.",
               counters.staleRefusals);
    addCounter(families,
               "laburnummast_stale_credentials_withheld_attempts_total",
               "Attempts that were not sent because the credential of their call may have been withdrawn.",
               counters.withheldAttempts);
    const auto &allowances = counters.allowances;
    addFamily(families,
              "laburnummast_allowance_decisions_total",
              "Calls of workspaces with a limit, by decision and by what it was based on.",
              prometheus::MetricType::Counter,
              {sample(static_cast<double>(allowances.allowedByHome), {{"decision", "allowed"}, {"source", "home"}}),
               sample(static_cast<double>(allowances.allowedByOwnShare), {{"decision", "allowed"}, {"source", "own-share"}}),
               sample(static_cast<double>(allowances.deniedByHome), {{"decision", "denied"}, {"source", "home"}}),
               sample(static_cast<double>(allowances.deniedByOwnShare), {{"decision", "denied"}, {"source", "own-share"}})});
    addCounter(families, "laburnummast_allowance_calls_held_total", "Calls that waited for the home of their workspace.", allowances.held);
    addCounter(families, "laburnummast_allowance_requests_total", "Requests to the homes of workspaces.", allowances.requests);
    addCounter(families,
               "laburnummast_allowance_requests_unanswered_total",
               "Requests to the homes of workspaces without an answer in time.",
               allowances.unansweredRequests);
    std::vector<prometheus::ClientMetric> rejected;
    for (std::size_t i = 0; i < Http::rejectReasonCount; ++i) {
        rejected.push_back(
            sample(static_cast<double>(counters.rejected[i]), {{"reason", std::string(nameOf(static_cast<Http::RejectReason>(i)))}}));
    }
    addFamily(families,
              "laburnummast_requests_rejected_total",
              "Requests rejected before they were decoded.",
              prometheus::MetricType::Counter,
              std::move(rejected));
    addGauge(families,
             "laburnummast_buffered_bytes",
             "Memory reserved for bodies of calls and answers.",
             static_cast<double>(counters.bufferedBytes));
    addGauge(families,
             "laburnummast_buffered_bytes_peak",
             "Most memory that was reserved for bodies of calls and answers.",
             static_cast<double>(counters.peakBufferedBytes));
    addClientMetrics(families, counters.clients);
    addCounter(families, "laburnummast_attempts_total", "Attempts sent to upstreams.", counters.placement.sent);
    addCounter(families, "laburnummast_retries_total", "Attempts after another one failed.", counters.placement.retries);
    addCounter(families, "laburnummast_hedges_total", "Attempts beside one that was late.", counters.placement.hedges);
    addCounter(families,
               "laburnummast_hedges_denied_budget_total",
               "Late calls denied another attempt because the budget was used up.",
               counters.placement.hedgesDeniedByBudget);
    addCounter(families,
               "laburnummast_hedges_denied_pressure_total",
               "Late calls denied another attempt because free slots were scarce.",
               counters.placement.hedgesDeniedByPressure);
    addCounter(families,
               "laburnummast_hedges_denied_upstream_total",
               "Late calls for which no other upstream was found.",
               counters.placement.hedgesWithoutUpstream);
    addCounter(families,
               "laburnummast_hedges_denied_gain_total",
               "Late calls to which another attempt was of little use.",
               counters.placement.hedgesWithoutGain);
    addCounter(families,
               "laburnummast_refused_too_late_total",
               "Calls refused because no attempt could be over in the time left.",
               counters.placement.refusedTooLate);
    addCounter(families, "laburnummast_probes_total", "Questions for an upstream's load.", counters.placement.probes);
    addCounter(families, "laburnummast_upstream_connections_opened_total", "Connections opened to upstreams.", counters.connectionsOpened);
    addCounter(
        families, "laburnummast_upstream_connections_reused_total", "Kept connections that were used again.", counters.connectionsReused);
    addCounter(families, "laburnummast_log_lines_left_out_total", "Lines on calls beyond their rate.", counters.suppressedLogLines);
    addGauge(
        families, "laburnummast_limited_upstreams", "Upstreams with a limit in force.", static_cast<double>(counters.limitedUpstreams));
    addCounter(families, "laburnummast_limits_unreadable_total", "Answers whose limit could not be read.", counters.unreadableLimits);
    addGauge(families,
             "laburnummast_unavailable_upstreams",
             "Upstreams that are leaving or want no calls at present.",
             static_cast<double>(counters.unavailableUpstreams));
    addCounter(
        families, "laburnummast_pauses_unreadable_total", "Refusals whose Retry-After could not be read.", counters.unreadablePauses);
    prometheus::ClientMetric histogram;
    histogram.histogram.sample_count = latencies.count;
    histogram.histogram.sample_sum = latencies.sum.count / 1000;
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < LatencyTotals::upperBounds.size(); ++i) {
        cumulative += latencies.buckets[i];
        histogram.histogram.bucket.push_back({.cumulative_count = cumulative, .upper_bound = LatencyTotals::upperBounds[i].count / 1000});
    }
    addFamily(families, "laburnummast_call_seconds", "Time of answered calls.", prometheus::MetricType::Histogram, {histogram});
}

void addControlMetrics(Families &families, const ControlState &state)
{
    std::vector<prometheus::ClientMetric> ages;
    std::vector<prometheus::ClientMetric> calls;
    std::vector<prometheus::ClientMetric> failures;
    std::vector<prometheus::ClientMetric> goneReads;
    std::vector<prometheus::ClientMetric> staleSnapshots;
    for (std::size_t i = 0; i < topicCount; ++i) {
        const Labels labels{{"topic", i == 0 ? "routes" : "upstreams"}};
        ages.push_back(sample(state.topics[i].contactAge.count / 1000, labels));
        calls.push_back(sample(static_cast<double>(state.topics[i].storeCounters.requests), labels));
        failures.push_back(sample(static_cast<double>(state.topics[i].storeCounters.failures), labels));
        goneReads.push_back(sample(static_cast<double>(state.topics[i].storeCounters.goneReads), labels));
        staleSnapshots.push_back(sample(static_cast<double>(state.topics[i].storeCounters.staleSnapshots), labels));
    }
    addFamily(
        families, "laburnummast_store_age_seconds", "Age of the newest word of the store.", prometheus::MetricType::Gauge, std::move(ages));
    addFamily(families, "laburnummast_store_calls_total", "Calls to the store.", prometheus::MetricType::Counter, std::move(calls));
    addFamily(families,
              "laburnummast_store_failures_total",
              "Calls to the store that failed.",
              prometheus::MetricType::Counter,
              std::move(failures));
    addFamily(families,
              "laburnummast_store_gone_reads_total",
              "Reads of records that the store no longer has.",
              prometheus::MetricType::Counter,
              std::move(goneReads));
    addFamily(families,
              "laburnummast_store_stale_snapshots_total",
              "Snapshots that end before the known position.",
              prometheus::MetricType::Counter,
              std::move(staleSnapshots));
    const auto &freshness = state.freshness;
    if (freshness.isRequired) {
        addFamily(families,
                  "laburnummast_configuration_proof_age_seconds",
                  "Age of the proof that the configuration is current; absent without one.",
                  prometheus::MetricType::Gauge,
                  freshness.age
                      ? std::vector{sample(freshness.age->count / 1000, {{"origin", std::string(Fleet::nameOf(freshness.origin))}})}
                      : std::vector<prometheus::ClientMetric>{});
        addGauge(families, "laburnummast_configuration_stale", "Whether that proof is too old.", freshness.isStale ? 1 : 0);
        addCounter(families, "laburnummast_proof_queries_total", "Queries for proofs to other daemons.", freshness.queriesOut);
        addCounter(families, "laburnummast_proof_queries_answered_total", "Queries for proofs from other daemons.", freshness.queriesIn);
    }
    addGauge(families, "laburnummast_routes_version", "Version of the routes in force.", static_cast<double>(state.routesVersion));
    addGauge(families, "laburnummast_upstreams", "Upstreams known.", static_cast<double>(state.upstreamCount));
    addGauge(families,
             "laburnummast_evacuated_domains",
             "Failure domains that operators have evacuated.",
             static_cast<double>(state.evacuatedDomains.size()));
    addGauge(families,
             "laburnummast_allowance_homes",
             "Workspaces with a limit whose home this daemon is.",
             static_cast<double>(state.allowances.homedWorkspaces));
    addCounter(families, "laburnummast_allowance_requests_served_total", "Requests answered as a home.", state.allowances.requests);
    addCounter(families,
               "laburnummast_allowance_messages_rejected_total",
               "Datagrams about allowances that could not be used.",
               state.allowances.rejectedMessages);
    addGauge(families, "laburnummast_members", "Daemons that live.", static_cast<double>(state.servingMemberCount));
    addCounter(families, "laburnummast_unreadable_records_total", "Records of the store that could not be read.", state.unreadableValues);
    addCounter(families, "laburnummast_record_fetches_total", "Requests for records to other daemons.", state.peers.fetches);
    addCounter(families,
               "laburnummast_record_fetches_failed_total",
               "Requests for records to other daemons that failed.",
               state.peers.failedFetches);
    addCounter(families,
               "laburnummast_record_fetches_deferred_total",
               "Requests for records that another daemon deferred while it served others.",
               state.peers.deferredFetches);
    addCounter(families,
               "laburnummast_record_uploads_deferred_total",
               "Requests of other daemons for records that were deferred.",
               state.peers.deferredUploads);
    addCounter(families, "laburnummast_record_bytes_in_total", "Bytes of records from other daemons.", state.peers.recordBytesIn);
    addCounter(families, "laburnummast_record_bytes_out_total", "Bytes of records to other daemons.", state.peers.recordBytesOut);
    addCounter(
        families, "laburnummast_peer_datagrams_unreadable_total", "Datagrams that could not be read.", state.peers.unreadableMessages);
}

std::string proofLine(const FreshnessState &state)
{
    if (!state.isRequired) {
        return {};
    }
    return Text::concat("proof age-ms=",
                        state.age ? Text::concat(static_cast<std::int64_t>(state.age->count)) : std::string("none"),
                        " origin=",
                        Fleet::nameOf(state.origin),
                        " reader=",
                        state.reader,
                        " last-result=",
                        Fleet::nameOf(state.lastResult),
                        " stale=",
                        state.isStale ? "yes" : "no",
                        "\n");
}

std::string topicLine(std::string_view name, const ControlState::TopicState &topic)
{
    return Text::concat("topic ",
                        name,
                        " position=",
                        topic.end,
                        " known=",
                        topic.hasSnapshot ? "yes" : "no",
                        " reading=",
                        topic.isReading ? "yes" : "no",
                        " age-ms=",
                        static_cast<std::int64_t>(topic.contactAge.count),
                        " era=",
                        topic.era,
                        "\n");
}

}

Admin::Admin(Node &node)
    : m_node(node)
{
}

std::optional<Address> Admin::start(const Address &address)
{
    const Net::HttpServerOptions options{.address = address, .threads = adminThreads, .queuedConnections = queuedAdminConnections};
    const auto failure = m_server.start(options, [this](Net::ServerRequest &request) { handle(request); });
    return failure ? std::optional(failure->address) : std::nullopt;
}

void Admin::stop()
{
    m_server.stop();
}

void Admin::handle(Net::ServerRequest &request)
{
    if (request.path() == "/metrics") {
        Net::sendResponse(request, {.status = 200, .contentType = "text/plain; version=0.0.4", .body = metrics()});
    } else if (request.path() == "/state") {
        Net::sendResponse(request, {.status = 200, .contentType = "text/plain", .body = state()});
    } else {
        Net::sendResponse(request, {.status = 404, .contentType = "text/plain", .body = "known paths: /metrics, /state\n"});
    }
}

std::string Admin::metrics()
{
    Families families;
    addTrafficMetrics(families, m_node.trafficCounters(), m_node.latencies());
    addControlMetrics(families, m_node.controlState());
    return prometheus::TextSerializer().Serialize(families);
}

std::string Admin::state()
{
    const auto control = m_node.controlState();
    auto text = Text::concat("routes-version ", control.routesVersion, "\nstore-away ", control.storeUnreachable ? "yes" : "no", "\n");
    Text::append(text, topicLine("routes", control.topics[0]), topicLine("upstreams", control.topics[1]), proofLine(control.freshness));
    Text::append(text,
                 "members ",
                 control.servingMemberCount,
                 "\nevacuated-domains ",
                 Text::join(std::span<const std::string>(control.evacuatedDomains), ","),
                 "\nremovals-held-back ",
                 control.deferredRemovalCount,
                 "\nrecords-held-back ",
                 control.heldRecordCount,
                 "\n",
                 m_node.stateDump());
    return text;
}

}
