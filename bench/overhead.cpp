// bench-overhead: compares the latency of calls over kept-alive connections, sent directly to an upstream and through a daemon,
// at the same load.

#include "core/config/address.h"
#include "core/text.h"
#include "net/httpclient.h"
#include "process/wallclock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, direct, "", "address of the upstream");
ABSL_FLAG(std::string, through, "", "entry address of the daemon");
ABSL_FLAG(std::string, target, "/v1/call/contatore/occupancy", "request target at the daemon");
ABSL_FLAG(std::string, credential, "desks-secret", "credential of the caller");
ABSL_FLAG(std::string, connections, "1,16,64", "comma-separated numbers of connections to measure with");
ABSL_FLAG(int, seconds, 2, "duration of each measurement in seconds");
ABSL_FLAG(int, rounds, 5, "measurements of each path, taken alternately; the medians are printed");
ABSL_FLAG(double, rate, 2000, "calls per second over all connections; 0 for as many as possible");

namespace Laburnummast
{
namespace
{

constexpr Millis timeout = 5_s;
constexpr std::size_t maxResponseBytes = 1 << 20;

// Latencies of the successful calls in milliseconds, and the number of failures. `quantile` needs sorted latencies and returns 0 if
// there are none.
struct Latencies
{
    std::vector<double> millis;
    int failed = 0;

    double quantile(double q) const
    {
        return millis.empty() ? 0 : millis[std::min(millis.size() - 1, static_cast<std::size_t>(q * static_cast<double>(millis.size())))];
    }
};

// Sends requests over a number of connections at the configured rate; a connection stops at its first failure.
Latencies measureLatencies(const Net::Address &address, const Net::ClientRequest &request, int connections)
{
    Latencies combined;
    std::mutex mutex;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections));
    // Gives the threads 300 ms to open their connections.
    const auto start = Process::steadyNow() + 300_ms;
    const auto end = start + Millis{1000.0 * absl::GetFlag(FLAGS_seconds)};
    const double rate = absl::GetFlag(FLAGS_rate);
    for (int i = 0; i < connections; ++i) {
        threads.emplace_back([&, i] {
            Latencies results;
            auto opened = Net::HttpConnection::connect(address);
            if (std::holds_alternative<Net::HttpError>(opened)) {
                const std::lock_guard lock(mutex);
                ++combined.failed;
                return;
            }
            auto &connection = std::get<Net::HttpConnection>(opened);
            const Millis interval{rate > 0 ? 1000.0 * connections / rate : 0};
            // The connections start evenly spread over an interval, so that both paths get the same load.
            auto due = start + interval * (static_cast<double>(i) / connections);
            while (due < end) {
                std::this_thread::sleep_for(Process::toChrono(due - Process::steadyNow()));
                const auto sentAt = Process::steadyNow();
                const auto result = connection.exchange(request, timeout, maxResponseBytes);
                const auto *response = std::get_if<Net::ClientResponse>(&result);
                if (response == nullptr || response->head.status != 200) {
                    ++results.failed;
                    break;
                }
                results.millis.push_back((Process::steadyNow() - sentAt).count);
                due = rate > 0 ? due + interval : Process::steadyNow();
            }
            const std::lock_guard lock(mutex);
            combined.failed += results.failed;
            combined.millis.insert(combined.millis.end(), results.millis.begin(), results.millis.end());
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    std::sort(combined.millis.begin(), combined.millis.end());
    return combined;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

// Results of one path over all rounds.
struct PathResults
{
    std::vector<double> p50;
    std::vector<double> p99;
    std::size_t calls = 0;
    int failed = 0;

    void add(const Latencies &latencies)
    {
        p50.push_back(latencies.quantile(0.5));
        p99.push_back(latencies.quantile(0.99));
        calls += latencies.millis.size();
        failed += latencies.failed;
    }
};

// Measures both paths alternately, so that noise of the machine affects both, and prints a CSV line.
void comparePaths(const Net::Address &direct,
                  const Net::ClientRequest &directRequest,
                  const Net::Address &through,
                  const Net::ClientRequest &daemonRequest,
                  int connections)
{
    PathResults directResults;
    PathResults daemonResults;
    std::vector<double> added;
    for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        directResults.add(measureLatencies(direct, directRequest, connections));
        daemonResults.add(measureLatencies(through, daemonRequest, connections));
        added.push_back(daemonResults.p99.back() - directResults.p99.back());
    }
    const auto [least, most] = std::minmax_element(added.begin(), added.end());
    std::cout << absl::StrFormat("%d,%d,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%d\n",
                                 connections,
                                 daemonResults.calls,
                                 median(directResults.p50),
                                 median(directResults.p99),
                                 median(daemonResults.p50),
                                 median(daemonResults.p99),
                                 median(daemonResults.p50) - median(directResults.p50),
                                 median(daemonResults.p99) - median(directResults.p99),
                                 *least,
                                 *most,
                                 directResults.failed + daemonResults.failed)
              << std::flush;
}

int run()
{
    const auto direct = Config::parseAddress(absl::GetFlag(FLAGS_direct));
    const auto through = Config::parseAddress(absl::GetFlag(FLAGS_through));
    if (!direct || !through) {
        std::cerr << "bench-overhead: --direct and --through are required\n";
        return 2;
    }
    const Net::ClientRequest directRequest{
        .method = "GET", .target = "/occupancy", .headers = {{.name = "X-Request-Id", .value = "bench"}}};
    const Net::ClientRequest daemonRequest{.method = "GET",
                                           .target = absl::GetFlag(FLAGS_target),
                                           .headers = {{.name = "Authorization", .value = "Bearer " + absl::GetFlag(FLAGS_credential)}}};
    std::cout << "connections,calls,direct_p50_ms,direct_p99_ms,through_p50_ms,through_p99_ms,added_p50_ms,added_p99_ms,least_added_p99_ms,"
                 "most_added_p99_ms,failed\n";
    const std::string counts = absl::GetFlag(FLAGS_connections);
    for (const auto text : Text::split(counts, ',')) {
        const auto connections = static_cast<int>(Text::parseInteger(text).value_or(1));
        comparePaths(*direct, directRequest, *through, daemonRequest, connections);
    }
    return 0;
}

}
}

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return Laburnummast::run();
}
