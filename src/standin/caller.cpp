// Load generator. Each caller fetches the entry list, caches it for its TTL, makes calls, and retries them as the call interface
// requires. At the end it prints statistics and compares the outcomes that the callers received with the calls that the upstreams
// executed.

#include "core/config/address.h"
#include "core/text.h"
#include "net/httpclient.h"
#include "process/wallclock.h"
#include "standin/standin.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <atomic>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

ABSL_FLAG(std::string, entries, "", "addresses to fetch entry lists from, IP:PORT, separated by commas");
ABSL_FLAG(std::string, upstreams, "", "stand-in upstreams to fetch the executed idempotency keys from, IP:PORT, separated by commas");
ABSL_FLAG(std::string, loads, "", "LABEL:SERVICE:CREDENTIAL:METHOD:PATH:BODY_BYTES:CALLS_PER_SECOND:CALLERS, separated by ;");
ABSL_FLAG(int, seconds, 5, "how long to make calls, in seconds");
ABSL_FLAG(std::string, summary, "caller", "label at the start of the last line of output");

namespace Laburnummast::Standin
{
namespace
{

using Json = nlohmann::json;
using Membership::Address;
using Process::steadyNow;

constexpr Millis callTimeout = 8_s;
constexpr std::size_t maxResponseBytes = 80 << 20;
constexpr int maxAttempts = 6;

// Calls of one kind, made by several callers.
struct LoadSpec
{
    std::string label;
    std::string service;
    std::string credential;
    std::string method;
    std::string path;
    int bodyBytes = 0;
    // Total rate of all callers.
    double callsPerSecond = 1;
    int callers = 1;
};

// Numbers of calls by outcome, and the latencies of those that were done.
struct CallStatistics
{
    std::uint64_t calls = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    // Calls without an outcome after the last attempt.
    std::uint64_t lost = 0;
    // Calls reported as done whose response does not confirm the whole request body.
    std::uint64_t truncated = 0;
    // Attempts without an outcome, the last one of a lost call included.
    std::uint64_t unansweredAttempts = 0;
    // Times from the scheduled start of each done call to its end, in milliseconds.
    std::vector<double> latencies;
};

// Results of all callers, guarded by the mutex while they run.
struct SharedResults
{
    std::mutex mutex;
    std::map<std::string, CallStatistics> statisticsByLabel;
    std::set<std::string> keysNotRun;
    std::set<std::string> keysDone;
};

// Parses addresses that are separated by commas; skips malformed ones.
std::vector<Address> parseAddresses(const std::string &text)
{
    std::vector<Address> addresses;
    for (const auto it : Text::split(text, ',')) {
        if (const auto address = Config::parseAddress(it)) {
            addresses.push_back(*address);
        }
    }
    return addresses;
}

// Parses the value of --loads. Returns no loads if one of them has a wrong number of fields.
std::vector<LoadSpec> parseLoads(const std::string &text)
{
    std::vector<LoadSpec> loads;
    for (const auto it : Text::split(text, ';')) {
        const auto parts = Text::split(it, ':');
        if (parts.size() != 8) {
            return {};
        }
        LoadSpec load;
        load.bodyBytes = static_cast<int>(Text::parseInteger(parts[5]).value_or(0));
        load.callsPerSecond = Text::parseNumber(parts[6]).value_or(1);
        load.callers = static_cast<int>(Text::parseInteger(parts[7]).value_or(1));
        load.label = parts[0];
        load.service = parts[1];
        load.credential = parts[2];
        load.method = parts[3];
        load.path = parts[4];
        loads.push_back(load);
    }
    return loads;
}

// What the caller knows about a call after an attempt.
enum class CallOutcome : std::uint8_t {
    Done,
    NotRun,
    Unknown,
    // No response, or one without an outcome: the call is retried.
    NoResponse,
};

// A caller with its own entry list and connection.
class Caller
{
public:
    Caller(const LoadSpec &load, int index, SharedResults &results)
        : m_load(load)
        , m_keyPrefix(Text::concat(load.label, "-", index, "-", static_cast<std::int64_t>(Process::wallNow().count)))
        , m_results(results)
        , m_configuredEntries(parseAddresses(absl::GetFlag(FLAGS_entries)))
        , m_random(static_cast<std::uint64_t>(index) + std::hash<std::string>{}(load.label))
    {
        std::shuffle(m_configuredEntries.begin(), m_configuredEntries.end(), m_random);
    }

    // Makes calls at exponentially distributed intervals until the time is up, then adds its statistics to the shared results.
    void run()
    {
        const auto endTime = steadyNow() + Millis{1000.0 * absl::GetFlag(FLAGS_seconds)};
        std::exponential_distribution<double> interarrivalMs(m_load.callsPerSecond / m_load.callers / 1000.0);
        auto scheduledAt = steadyNow() + Millis{interarrivalMs(m_random)};
        while (scheduledAt < endTime) {
            std::this_thread::sleep_for(Process::toChrono(scheduledAt - steadyNow()));
            makeCall(scheduledAt);
            scheduledAt += Millis{interarrivalMs(m_random)};
        }
        const std::lock_guard lock(m_results.mutex);
        auto &total = m_results.statisticsByLabel[m_load.label];
        total.calls += m_statistics.calls;
        total.done += m_statistics.done;
        total.notRun += m_statistics.notRun;
        total.unknown += m_statistics.unknown;
        total.lost += m_statistics.lost;
        total.truncated += m_statistics.truncated;
        total.unansweredAttempts += m_statistics.unansweredAttempts;
        total.latencies.insert(total.latencies.end(), m_statistics.latencies.begin(), m_statistics.latencies.end());
    }

private:
    // Fetches the entry list anew if its TTL has passed; keeps the old list if no daemon returns one.
    void refreshEntries()
    {
        if (steadyNow() < m_entriesValidUntil && !m_entries.empty()) {
            return;
        }
        for (const auto &address : m_configuredEntries) {
            const auto result = Net::fetch(
                address, {.method = "GET", .target = Text::concat("/v1/entries?service=", m_load.service)}, 2_s, maxResponseBytes);
            const auto *response = std::get_if<Net::ClientResponse>(&result);
            const auto json = response == nullptr ? Json() : Json::parse(response->body, nullptr, false);
            if (!json.is_object() || !json.contains("entries") || json["entries"].empty()) {
                continue;
            }
            m_entries.clear();
            for (const auto &it : json["entries"]) {
                if (const auto entry = Config::parseAddress(it.value("address", ""))) {
                    m_entries.push_back(*entry);
                }
            }
            m_entriesValidUntil = steadyNow() + Millis{json.value("ttl_ms", 1000.0)};
            return;
        }
    }

    // Makes one call with up to maxAttempts attempts. Latency counts from the scheduled time, so that a call that starts late
    // because the one before was slow shows the whole delay.
    void makeCall(Millis scheduledAt)
    {
        ++m_statistics.calls;
        const auto key = Text::concat(m_keyPrefix, "-", m_statistics.calls);
        const bool withIdempotencyKey = m_load.method != "GET";
        std::vector<std::string> previousEntries;
        const auto firstAttemptAt = steadyNow();
        CallOutcome outcome = CallOutcome::NoResponse;
        for (int attempt = 1; attempt <= maxAttempts && outcome == CallOutcome::NoResponse; ++attempt) {
            refreshEntries();
            if (m_entries.empty()) {
                std::this_thread::sleep_for(Process::toChrono(50_ms));
                continue;
            }
            const auto entry = m_entries.front();
            outcome = makeAttempt(entry, key, withIdempotencyKey, previousEntries, steadyNow() - firstAttemptAt);
            if (outcome == CallOutcome::NoResponse) {
                ++m_statistics.unansweredAttempts;
                previousEntries.push_back(Config::toString(entry));
                // Moves the failed entry to the end, so that the next attempt uses another one. The list itself may be out of date
                // too; it is fetched anew once its TTL has passed.
                std::rotate(m_entries.begin(), m_entries.begin() + 1, m_entries.end());
            }
        }
        recordOutcome(outcome, key, withIdempotencyKey, steadyNow() - scheduledAt);
    }

    CallOutcome makeAttempt(const Address &entry,
                            const std::string &key,
                            bool withIdempotencyKey,
                            const std::vector<std::string> &previousEntries,
                            Millis firstAttemptAge)
    {
        if (!m_connection || m_connectedTo != entry) {
            auto connection = Net::HttpConnection::connect(entry);
            if (std::holds_alternative<Net::HttpError>(connection)) {
                m_connection.reset();
                return CallOutcome::NoResponse;
            }
            m_connection.emplace(std::move(std::get<Net::HttpConnection>(connection)));
            m_connectedTo = entry;
        }
        Net::ClientRequest request{.method = m_load.method,
                                   .target = Text::concat("/v1/call/", m_load.service, m_load.path),
                                   .headers = {{.name = "Authorization", .value = "Bearer " + m_load.credential}}};
        const std::string body(static_cast<std::size_t>(m_load.bodyBytes), 'b');
        request.body = body;
        if (withIdempotencyKey) {
            request.headers.push_back({.name = "Idempotency-Key", .value = key});
            request.headers.push_back({.name = "X-Attempt", .value = Text::concat(previousEntries.size() + 1)});
            request.headers.push_back(
                {.name = "X-First-Attempt-Age-Ms", .value = Text::concat(static_cast<int>(firstAttemptAge.count) + 1)});
            if (!previousEntries.empty()) {
                request.headers.push_back({.name = "X-Previous-Entries", .value = Text::join(previousEntries, ",")});
            }
        }
        const auto result = m_connection->exchange(request, callTimeout, maxResponseBytes);
        if (std::holds_alternative<Net::HttpError>(result)) {
            m_connection.reset();
            return CallOutcome::NoResponse;
        }
        const auto &response = std::get<Net::ClientResponse>(result);
        if (!m_connection->reusable()) {
            m_connection.reset();
        }
        const auto outcomeHeader = response.head.header("X-Outcome").value_or("");
        if (outcomeHeader == "done") {
            const bool isComplete = response.body.empty() || response.body.starts_with(Text::concat("received=", m_load.bodyBytes, "\n"));
            m_statistics.truncated += isComplete ? 0 : 1;
            return CallOutcome::Done;
        }
        if (outcomeHeader == "not-run") {
            return CallOutcome::NotRun;
        }
        return outcomeHeader == "unknown" ? CallOutcome::Unknown : CallOutcome::NoResponse;
    }

    void recordOutcome(CallOutcome outcome, const std::string &key, bool withIdempotencyKey, Millis latency)
    {
        switch (outcome) {
        case CallOutcome::Done:
            ++m_statistics.done;
            m_statistics.latencies.push_back(latency.count);
            break;
        case CallOutcome::NotRun:
            ++m_statistics.notRun;
            break;
        case CallOutcome::Unknown:
            ++m_statistics.unknown;
            break;
        case CallOutcome::NoResponse:
            ++m_statistics.lost;
            break;
        }
        if (withIdempotencyKey && (outcome == CallOutcome::NotRun || outcome == CallOutcome::Done)) {
            const std::lock_guard lock(m_results.mutex);
            (outcome == CallOutcome::Done ? m_results.keysDone : m_results.keysNotRun).insert(key);
        }
    }

    const LoadSpec &m_load;
    // Start of the idempotency keys of this caller's calls; differs between callers and runs.
    std::string m_keyPrefix;
    SharedResults &m_results;
    std::vector<Address> m_configuredEntries;
    std::mt19937_64 m_random;
    std::vector<Address> m_entries;
    Millis m_entriesValidUntil;
    std::optional<Net::HttpConnection> m_connection;
    Address m_connectedTo;
    CallStatistics m_statistics;
};

// The percentile for a fraction from 0 to 1; 0 if there are no values. Sorts the values.
double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

// Comparison of the outcomes that the callers received with the idempotency keys that the upstreams executed.
struct KeyCheck
{
    // Keys executed more than once.
    std::uint64_t duplicated = 0;
    // Keys executed although the caller received the outcome that the call did not run.
    std::uint64_t refusedButRan = 0;
    // Keys that no upstream executed although the caller received the outcome that the call was done.
    std::uint64_t doneButNotExecuted = 0;
    // False if the comparison lacks the keys of an upstream.
    bool allUpstreamsResponded = true;
};

KeyCheck checkKeys(const SharedResults &results)
{
    KeyCheck check;
    std::map<std::string, int> executions;
    for (const auto &address : parseAddresses(absl::GetFlag(FLAGS_upstreams))) {
        const auto result = Net::fetch(address, {.method = "GET", .target = "/_keys"}, 5_s, maxResponseBytes);
        const auto *response = std::get_if<Net::ClientResponse>(&result);
        check.allUpstreamsResponded = check.allUpstreamsResponded && response != nullptr;
        for (const auto line : Text::split(response == nullptr ? std::string_view() : response->body, '\n')) {
            const auto [n, key] = Text::splitOnce(line, ' ');
            executions[std::string(key)] += static_cast<int>(Text::parseInteger(n).value_or(0));
        }
    }
    for (const auto &[key, n] : executions) {
        check.duplicated += n > 1 ? 1 : 0;
        check.refusedButRan += results.keysNotRun.contains(key) ? 1 : 0;
    }
    for (const auto &it : results.keysDone) {
        check.doneButNotExecuted += executions.contains(it) ? 0 : 1;
    }
    return check;
}

}

int runCaller()
{
    const auto loads = parseLoads(absl::GetFlag(FLAGS_loads));
    if (loads.empty() || parseAddresses(absl::GetFlag(FLAGS_entries)).empty()) {
        std::cerr << "--loads and --entries are missing or malformed; see --help\n";
        return 2;
    }
    SharedResults results;
    std::vector<std::thread> threads;
    for (const auto &load : loads) {
        for (int i = 0; i < load.callers; ++i) {
            threads.emplace_back([&load, i, &results] { Caller(load, i, results).run(); });
        }
    }
    for (auto &it : threads) {
        it.join();
    }
    CallStatistics total;
    std::cout << absl::StrFormat(
        "%-12s %8s %8s %8s %8s %6s %9s %9s %9s\n", "load", "calls", "done", "not-run", "unknown", "lost", "p50 ms", "p99 ms", "max ms");
    for (auto &[label, statistics] : results.statisticsByLabel) {
        std::cout << absl::StrFormat("%-12s %8d %8d %8d %8d %6d %9.2f %9.2f %9.2f\n",
                                     label,
                                     statistics.calls,
                                     statistics.done,
                                     statistics.notRun,
                                     statistics.unknown,
                                     statistics.lost,
                                     percentile(statistics.latencies, 0.5),
                                     percentile(statistics.latencies, 0.99),
                                     percentile(statistics.latencies, 1));
        total.calls += statistics.calls;
        total.lost += statistics.lost;
        total.truncated += statistics.truncated;
        total.unansweredAttempts += statistics.unansweredAttempts;
    }
    const auto keys = checkKeys(results);
    const bool ok = total.lost == 0 && total.truncated == 0 && keys.duplicated == 0 && keys.refusedButRan == 0
        && keys.doneButNotExecuted == 0 && keys.allUpstreamsResponded;
    std::cout << absl::StrFormat("repeated attempts=%d refused-but-ran=%d done-but-not-run=%d\n",
                                 total.unansweredAttempts,
                                 keys.refusedButRan,
                                 keys.doneButNotExecuted);
    std::cout << absl::StrFormat("%s: %s calls=%d lost=%d duplicated=%d truncated=%d\n",
                                 absl::GetFlag(FLAGS_summary),
                                 ok ? "ok" : "failed",
                                 total.calls,
                                 total.lost,
                                 keys.duplicated,
                                 total.truncated);
    return ok ? 0 : 1;
}

}
