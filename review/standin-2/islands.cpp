// The machines of the seeds are lost for good; then the other machines are restarted in turn. A tenant's allowance holds for all together.
#include "stage.h"

#include <algorithm>

using namespace Stage;

namespace
{

constexpr double ratePerSecond = 60;
constexpr double burst = 60;
constexpr double windowMs = 5000;
constexpr double overshoot = 0.1;
constexpr double slack = 20;
// Requests that a tenant may have in one window: (rate x window + burst) x (1 + quota-overshoot) + quota-slack.
constexpr double bound = (ratePerSecond * windowMs / 1000 + burst) * (1 + overshoot) + slack;
constexpr int seedCount = 3;
constexpr int otherCount = 3;
constexpr int callersPerMachine = 10;
constexpr double callIntervalMs = 100;

/// Largest number of runs in a window that begins between two times.
std::size_t mostInWindow(const std::vector<double> &times, double from, double to)
{
    std::size_t most = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        last = std::max(last, first);
        while (last < times.size() && times[last] < times[first] + windowMs) {
            ++last;
        }
        if (times[first] >= from && times[first] + windowMs <= to) {
            most = std::max(most, last - first);
        }
    }
    return most;
}

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    Record record(argv[2]);
    TemporaryFolder folder;
    Store store;
    if (!store.start("127.0.0.1")) {
        return 2;
    }
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 8; ++i) {
        workers.push_back(std::make_unique<Worker>("w-" + std::to_string(i), "s", 6));
        workers.back()->workMs = 10;
        if (!workers.back()->start("127.0.0.1")) {
            return 2;
        }
        store.put(
            "keyed.servers", workers.back()->id(), workers.back()->record("mu-east-" + std::string(1, static_cast<char>('a' + i % 3))));
    }
    const auto tenants = ",\"tenants\":{\"studio\":{\"api-keys\":[\"studio-key-1\"],\"priority\":0,\"rate-per-s\":60,\"burst\":60}}";
    store.put("keyed.op", "config", manifest(1, route("r", "/r/", "safe", "s", 1000), serviceEntry("s"), tenants));

    std::vector<std::string> ips;
    for (int i = 0; i < seedCount + otherCount; ++i) {
        ips.push_back("127.0.0." + std::to_string(41 + i));
    }
    const int port = freePorts(ips, portsPerDaemon);
    std::string seeds;
    for (int i = 0; i < seedCount; ++i) {
        seeds += (i > 0 ? "," : "") + ips[static_cast<std::size_t>(i)] + ":" + std::to_string(port + 3);
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        const auto zone = "mu-east-" + std::string(1, static_cast<char>('a' + i % 3));
        daemons.push_back(std::make_unique<Daemon>(argv[1],
                                                   folder.path(),
                                                   store,
                                                   DaemonOptions{.name = "front-" + zone + "-" + std::to_string(i / 3 + 1),
                                                                 .ip = ips[i],
                                                                 .zone = zone,
                                                                 .firstPort = port,
                                                                 .seeds = seeds,
                                                                 .lines = "terms.bounds.fail-closed=true\nterms.bounds.revoke=5000ms\n"
                                                                          "terms.bounds.quota-window=5s\nterms.bounds.quota-overshoot=0.1\n"
                                                                          "terms.bounds.quota-slack=20\n"}));
        daemons.back()->start();
    }
    for (auto &it : daemons) {
        if (!it->waitUntilReady()) {
            record.line("%s did not get ready", it->options().name.c_str());
            return 2;
        }
    }
    record.line("%zu daemons are ready; the first %d are the seeds", daemons.size(), seedCount);
    sleepMs(6000);

    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> denied{0};
    std::atomic<int> others{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < otherCount * callersPerMachine; ++i) {
        callers.emplace_back([&, i] {
            const auto &daemon = *daemons[static_cast<std::size_t>(seedCount + i % otherCount)];
            for (int n = 0; !stop; ++n) {
                const double at = nowMs();
                const auto id = "caller-" + std::to_string(i) + "-" + std::to_string(n);
                const auto answer = call(daemon.options().ip,
                                         daemon.port(),
                                         callHead("GET", "/r/x", "h.example", id, 800, "Authorization: Token studio-key-1\r\n"),
                                         800);
                ++(answer.status == 200 ? served : answer.status == 429 ? denied : others);
                sleepMs(std::max(0.0, callIntervalMs - (nowMs() - at)));
            }
        });
    }
    const double calmFrom = nowMs();
    sleepMs(10000);
    const double calmTo = nowMs();
    if (trouble(argc, argv)) {
        for (int i = 0; i < seedCount; ++i) {
            daemons[static_cast<std::size_t>(i)]->kill();
        }
        record.line("the machines of the %d seeds are lost for good", seedCount);
        sleepMs(12000);
    }
    for (std::size_t i = seedCount; i < daemons.size(); ++i) {
        auto &daemon = *daemons[i];
        const double at = nowMs();
        daemon.signal(SIGTERM);
        while (daemon.running() && nowMs() < at + 8000) {
            sleepMs(20);
        }
        record.line("%s got SIGTERM and ended after %.0f ms: %s", daemon.options().name.c_str(), nowMs() - at, daemon.howEnded().c_str());
        sleepMs(200);
        daemon.start();
        if (!daemon.waitUntilReady()) {
            record.line("%s did not get ready again", daemon.options().name.c_str());
            return 2;
        }
        record.line("%s has started again and is ready", daemon.options().name.c_str());
    }
    // Longer than the time within which a daemon must have caught up, so that what is judged is not the restarts themselves.
    sleepMs(8000);
    const double judgedFrom = nowMs();
    sleepMs(15000);
    const double judgedTo = nowMs();
    stop = true;
    for (auto &it : callers) {
        it.join();
    }

    std::vector<double> times;
    for (const auto &it : workers) {
        for (const auto &run : it->runs()) {
            if (run.tenant == "studio") {
                times.push_back(run.at);
            }
        }
    }
    std::sort(times.begin(), times.end());
    for (double at = calmFrom; at + 1000 <= judgedTo; at += 1000) {
        const auto n = std::count_if(times.begin(), times.end(), [&](double it) { return it >= at && it < at + 1000; });
        record.line("requests of the tenant run in the second from %.3f s: %d", at / 1000, static_cast<int>(n));
    }
    const auto calm = mostInWindow(times, calmFrom, calmTo);
    const auto most = mostInWindow(times, judgedFrom, judgedTo);
    record.line("callers got: %d served, %d answers 429, %d others", served.load(), denied.load(), others.load());
    record.line("most requests run in 5 s: %zu in calm, %zu from 8 s after the last restart on; allowed are %.0f", calm, most, bound);
    if (calm < 100 || most < 100) {
        return 2;
    }
    record.line(static_cast<double>(most) > bound ? "QUOTA is broken" : "QUOTA holds");
    return static_cast<double>(most) > bound ? 1 : 0;
}
