// Callers: ask for entries, keep the answer for its time, call, repeat as the interface asks, and keep a tally.

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

ABSL_FLAG(std::string, entries, "", "entry addresses to start from, IP:PORT, separated by commas");
ABSL_FLAG(std::string, upstreams, "", "upstream stand-ins to ask for the keys that ran");
ABSL_FLAG(std::string, loads, "", "LABEL:SERVICE:CREDENTIAL:METHOD:PATH:BODY_BYTES:CALLS_PER_SECOND:CALLERS, separated by ;");
ABSL_FLAG(int, seconds, 5, "how long to call");
ABSL_FLAG(std::string, summary, "caller", "word before the last line");

namespace Laburnummast::Standin
{
namespace
{

using Json = nlohmann::json;
using Membership::Address;
using Process::steadyNow;

constexpr Millis callTimeout = 8_s;
constexpr std::size_t maxAnswer = 80 << 20;
constexpr int maxAttempts = 6;

struct Load
{
    std::string label;
    std::string service;
    std::string credential;
    std::string method;
    std::string path;
    int bodyBytes = 0;
    double callsPerSecond = 1;
    int callers = 1;
};

struct Tally
{
    std::uint64_t calls = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t truncated = 0;
    std::uint64_t repeated = 0;
    std::vector<double> latencies;
};

struct Shared
{
    std::mutex mutex;
    std::map<std::string, Tally> tallies;
    std::set<std::string> keysNotRun;
    std::set<std::string> keysDone;
};

std::vector<Address> addressesOf(const std::string &text)
{
    std::vector<Address> addresses;
    for (const auto it : Text::split(text, ',')) {
        if (const auto address = Config::parseAddress(it)) {
            addresses.push_back(*address);
        }
    }
    return addresses;
}

std::vector<Load> loadsOf(const std::string &text)
{
    std::vector<Load> loads;
    for (const auto it : Text::split(text, ';')) {
        const auto parts = Text::split(it, ':');
        if (parts.size() != 8) {
            return {};
        }
        Load load;
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

enum class Ending : std::uint8_t {
    Done,
    NotRun,
    Unknown,
    NoAnswer,
};

// One caller with its own entry list and connection.
class Caller
{
public:
    Caller(const Load &load, int number, Shared &shared)
        : m_load(load)
        , m_name(Text::concat(load.label, "-", number, "-", static_cast<std::int64_t>(Process::wallNow().count)))
        , m_shared(shared)
        , m_known(addressesOf(absl::GetFlag(FLAGS_entries)))
        , m_random(static_cast<std::uint64_t>(number) + std::hash<std::string>{}(load.label))
    {
        std::shuffle(m_known.begin(), m_known.end(), m_random);
    }

    void run()
    {
        const auto until = steadyNow() + Millis{1000.0 * absl::GetFlag(FLAGS_seconds)};
        std::exponential_distribution<double> gap(m_load.callsPerSecond / m_load.callers / 1000.0);
        auto due = steadyNow() + Millis{gap(m_random)};
        while (due < until) {
            std::this_thread::sleep_for(Process::toChrono(due - steadyNow()));
            callOnce(due);
            due += Millis{gap(m_random)};
        }
        const std::lock_guard lock(m_shared.mutex);
        auto &sum = m_shared.tallies[m_load.label];
        sum.calls += m_tally.calls;
        sum.done += m_tally.done;
        sum.notRun += m_tally.notRun;
        sum.unknown += m_tally.unknown;
        sum.lost += m_tally.lost;
        sum.truncated += m_tally.truncated;
        sum.repeated += m_tally.repeated;
        sum.latencies.insert(sum.latencies.end(), m_tally.latencies.begin(), m_tally.latencies.end());
    }

private:
    void refreshEntries()
    {
        if (steadyNow() < m_entriesUntil && !m_entries.empty()) {
            return;
        }
        for (const auto &address : m_known) {
            const auto answer
                = Net::fetch(address, {.method = "GET", .target = Text::concat("/v1/entries?service=", m_load.service)}, 2_s, maxAnswer);
            const auto *response = std::get_if<Net::ClientResponse>(&answer);
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
            m_entriesUntil = steadyNow() + Millis{json.value("ttl_ms", 1000.0)};
            return;
        }
    }

    void callOnce(Millis due)
    {
        ++m_tally.calls;
        const auto key = Text::concat(m_name, "-", m_tally.calls);
        const bool keyed = m_load.method != "GET";
        std::vector<std::string> previous;
        const auto started = steadyNow();
        Ending ending = Ending::NoAnswer;
        for (int attempt = 1; attempt <= maxAttempts && ending == Ending::NoAnswer; ++attempt) {
            refreshEntries();
            if (m_entries.empty()) {
                std::this_thread::sleep_for(Process::toChrono(50_ms));
                continue;
            }
            const auto entry = m_entries.front();
            ending = attemptOnce(entry, key, keyed, previous, steadyNow() - started);
            if (ending == Ending::NoAnswer) {
                ++m_tally.repeated;
                previous.push_back(Config::toString(entry));
                // The entry failed: the next in the list, which grows stale as well.
                std::rotate(m_entries.begin(), m_entries.begin() + 1, m_entries.end());
            }
        }
        note(ending, key, keyed, steadyNow() - due);
    }

    Ending attemptOnce(const Address &entry, const std::string &key, bool keyed, const std::vector<std::string> &previous, Millis age)
    {
        if (!m_connection || m_connectedTo != entry) {
            auto connection = Net::HttpConnection::connect(entry);
            if (std::holds_alternative<Net::HttpError>(connection)) {
                m_connection.reset();
                return Ending::NoAnswer;
            }
            m_connection.emplace(std::move(std::get<Net::HttpConnection>(connection)));
            m_connectedTo = entry;
        }
        Net::ClientRequest request{.method = m_load.method,
                                   .target = Text::concat("/v1/call/", m_load.service, m_load.path),
                                   .headers = {{.name = "Authorization", .value = "Bearer " + m_load.credential}}};
        const std::string body(static_cast<std::size_t>(m_load.bodyBytes), 'b');
        request.body = body;
        if (keyed) {
            request.headers.push_back({.name = "Idempotency-Key", .value = key});
            request.headers.push_back({.name = "X-Attempt", .value = Text::concat(previous.size() + 1)});
            request.headers.push_back({.name = "X-First-Attempt-Age-Ms", .value = Text::concat(static_cast<int>(age.count) + 1)});
            if (!previous.empty()) {
                request.headers.push_back({.name = "X-Previous-Entries", .value = Text::join(previous, ",")});
            }
        }
        const auto answer = m_connection->exchange(request, callTimeout, maxAnswer);
        if (std::holds_alternative<Net::HttpError>(answer)) {
            m_connection.reset();
            return Ending::NoAnswer;
        }
        const auto &response = std::get<Net::ClientResponse>(answer);
        if (!m_connection->reusable()) {
            m_connection.reset();
        }
        const auto outcome = response.head.header("X-Outcome").value_or("");
        if (outcome == "done") {
            const bool whole = response.body.empty() || response.body.starts_with(Text::concat("received=", m_load.bodyBytes, "\n"));
            m_tally.truncated += whole ? 0 : 1;
            return Ending::Done;
        }
        if (outcome == "not-run") {
            return Ending::NotRun;
        }
        return outcome == "unknown" ? Ending::Unknown : Ending::NoAnswer;
    }

    void note(Ending ending, const std::string &key, bool keyed, Millis latency)
    {
        switch (ending) {
        case Ending::Done:
            ++m_tally.done;
            m_tally.latencies.push_back(latency.count);
            break;
        case Ending::NotRun:
            ++m_tally.notRun;
            break;
        case Ending::Unknown:
            ++m_tally.unknown;
            break;
        case Ending::NoAnswer:
            ++m_tally.lost;
            break;
        }
        if (keyed && (ending == Ending::NotRun || ending == Ending::Done)) {
            const std::lock_guard lock(m_shared.mutex);
            (ending == Ending::Done ? m_shared.keysDone : m_shared.keysNotRun).insert(key);
        }
    }

    const Load &m_load;
    std::string m_name;
    Shared &m_shared;
    std::vector<Address> m_known;
    std::mt19937_64 m_random;
    std::vector<Address> m_entries;
    Millis m_entriesUntil;
    std::optional<Net::HttpConnection> m_connection;
    Address m_connectedTo;
    Tally m_tally;
};

double percentile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

struct KeyCheck
{
    std::uint64_t duplicated = 0;
    std::uint64_t refusedButRan = 0;
    std::uint64_t doneButNotRun = 0;
    bool complete = true;
};

KeyCheck checkKeys(const Shared &shared)
{
    KeyCheck check;
    std::map<std::string, int> ran;
    for (const auto &address : addressesOf(absl::GetFlag(FLAGS_upstreams))) {
        const auto answer = Net::fetch(address, {.method = "GET", .target = "/_keys"}, 5_s, maxAnswer);
        const auto *response = std::get_if<Net::ClientResponse>(&answer);
        check.complete = check.complete && response != nullptr;
        for (const auto line : Text::split(response == nullptr ? std::string_view() : response->body, '\n')) {
            const auto [n, key] = Text::splitOnce(line, ' ');
            ran[std::string(key)] += static_cast<int>(Text::parseInteger(n).value_or(0));
        }
    }
    for (const auto &[key, n] : ran) {
        check.duplicated += n > 1 ? 1 : 0;
        check.refusedButRan += shared.keysNotRun.contains(key) ? 1 : 0;
    }
    for (const auto &it : shared.keysDone) {
        check.doneButNotRun += ran.contains(it) ? 0 : 1;
    }
    return check;
}

}

int runCaller()
{
    const auto loads = loadsOf(absl::GetFlag(FLAGS_loads));
    if (loads.empty() || addressesOf(absl::GetFlag(FLAGS_entries)).empty()) {
        std::cerr << "--loads and --entries are needed; see --help\n";
        return 2;
    }
    Shared shared;
    std::vector<std::thread> threads;
    for (const auto &load : loads) {
        for (int i = 0; i < load.callers; ++i) {
            threads.emplace_back([&load, i, &shared] { Caller(load, i, shared).run(); });
        }
    }
    for (auto &it : threads) {
        it.join();
    }
    Tally sum;
    std::cout << absl::StrFormat(
        "%-12s %8s %8s %8s %8s %6s %9s %9s %9s\n", "load", "calls", "done", "not-run", "unknown", "lost", "p50 ms", "p99 ms", "max ms");
    for (auto &[label, it] : shared.tallies) {
        std::cout << absl::StrFormat("%-12s %8d %8d %8d %8d %6d %9.2f %9.2f %9.2f\n",
                                     label,
                                     it.calls,
                                     it.done,
                                     it.notRun,
                                     it.unknown,
                                     it.lost,
                                     percentile(it.latencies, 0.5),
                                     percentile(it.latencies, 0.99),
                                     percentile(it.latencies, 1));
        sum.calls += it.calls;
        sum.lost += it.lost;
        sum.truncated += it.truncated;
        sum.repeated += it.repeated;
    }
    const auto keys = checkKeys(shared);
    const bool ok = sum.lost == 0 && sum.truncated == 0 && keys.duplicated == 0 && keys.refusedButRan == 0 && keys.doneButNotRun == 0
        && keys.complete;
    std::cout << absl::StrFormat(
        "repeated attempts=%d refused-but-ran=%d done-but-not-run=%d\n", sum.repeated, keys.refusedButRan, keys.doneButNotRun);
    std::cout << absl::StrFormat("%s: %s calls=%d lost=%d duplicated=%d truncated=%d\n",
                                 absl::GetFlag(FLAGS_summary),
                                 ok ? "ok" : "failed",
                                 sum.calls,
                                 sum.lost,
                                 keys.duplicated,
                                 sum.truncated);
    return ok ? 0 : 1;
}

}
