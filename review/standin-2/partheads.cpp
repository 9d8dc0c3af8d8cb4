// Callers that stop short of the end of a head of many short lines, at each of two machines.
#include "stage.h"

using namespace Stage;

namespace
{

constexpr std::size_t memoryMb = 260;
constexpr std::size_t memoryLimit = memoryMb * 1024 * 1024;
constexpr int descriptorLimit = 4100;
constexpr std::size_t maxHeaderBytes = 16384;
constexpr std::size_t crowdSize = 2500;
constexpr double crowdMs = 60000;
// On a tenth of the machines in use, two at least, processes end three times.
constexpr int wantedEnds = 3;
constexpr int machinesOfRule = 2;

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_max < descriptorLimit) {
        return 2;
    }
    limit.rlim_cur = std::max<rlim_t>(limit.rlim_cur, descriptorLimit);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    Record record(argv[2]);
    TemporaryFolder folder;
    Store store;
    if (!store.start("127.0.0.1")) {
        return 2;
    }
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 4; ++i) {
        workers.push_back(std::make_unique<Worker>("w-" + std::to_string(i), "s", 3));
        workers.back()->workMs = 20;
        if (!workers.back()->start("127.0.0.1")) {
            return 2;
        }
        store.put("keyed.servers", workers.back()->id(), workers.back()->record("zone-a"));
    }
    store.put("keyed.op", "config", manifest(1, route("r", "/r/", "unsafe", "s", 1000), serviceEntry("s")));
    const std::vector<std::string> ips{"127.0.0.51", "127.0.0.52"};
    const int port = freePorts(ips, portsPerDaemon);
    const auto seeds = ips[0] + ":" + std::to_string(port + 3) + "," + ips[1] + ":" + std::to_string(port + 3);
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        const auto number = std::to_string(i + 1);
        daemons.push_back(std::make_unique<Daemon>(argv[1],
                                                   folder.path(),
                                                   store,
                                                   DaemonOptions{.name = "front-zone-" + number,
                                                                 .ip = ips[i],
                                                                 .zone = "zone-" + number,
                                                                 .firstPort = port,
                                                                 .seeds = seeds,
                                                                 .memoryMb = memoryMb,
                                                                 .descriptors = descriptorLimit}));
        daemons.back()->start();
    }
    for (const auto &it : daemons) {
        if (!it->waitUntilReady()) {
            record.line("%s did not get ready", it->options().name.c_str());
            return 2;
        }
    }
    record.line("%zu daemons are ready", daemons.size());
    sleepMs(5000);
    OrdinaryCallers first(ips[0], port, {});
    OrdinaryCallers second(ips[1], port, {});
    const double calmFrom = nowMs();
    sleepMs(3000);
    const double crowdFrom = nowMs();

    std::string head = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: part\r\n";
    while (head.size() + 4 < maxHeaderBytes - 100) {
        head += "a:\r\n";
    }
    std::size_t most = 0;
    std::vector<int> ends(daemons.size(), 0);
    // Stands in for the platform: ends a process that exceeds the memory of its machine. Returns whether the process has ended.
    const auto checkMemory = [&](std::size_t machine, std::size_t connections) {
        auto &daemon = *daemons[machine];
        const auto name = daemon.options().name;
        if (!daemon.running()) {
            ++ends[machine];
            record.line("%s has ended by itself: %s", name.c_str(), daemon.howEnded().c_str());
            return true;
        }
        const auto resident = daemon.residentBytes();
        most = std::max(most, resident);
        if (resident <= memoryLimit) {
            return false;
        }
        ++ends[machine];
        record.line("%s has %zu kB resident of %zu kB, with %zu connections with a part of a head each: its process is ended",
                    name.c_str(),
                    resident / 1000,
                    memoryLimit / 1000,
                    connections);
        daemon.kill();
        return true;
    };
    const double until = crowdFrom + crowdMs;
    for (std::size_t machine = 0; machine < daemons.size(); ++machine) {
        while (ends[machine] < wantedEnds && nowMs() < until) {
            std::vector<int> crowd;
            bool ended = false;
            const double from = nowMs();
            while (!ended && nowMs() < until && nowMs() < from + 8000) {
                if (trouble(argc, argv) && crowd.size() < crowdSize) {
                    const int fd = connectTo(ips[machine], port, 1000);
                    if (fd >= 0) {
                        ::fcntl(fd, F_SETFL, O_NONBLOCK);
                        ::send(fd, head.data(), head.size(), MSG_NOSIGNAL);
                        crowd.push_back(fd);
                    }
                } else {
                    sleepMs(50);
                }
                ended = crowd.size() % 20 == 0 && checkMemory(machine, crowd.size());
            }
            for (const int fd : crowd) {
                ::close(fd);
            }
            if (ended) {
                sleepMs(500);
                daemons[machine]->start();
                const bool isReady = daemons[machine]->waitUntilReady();
                record.line("%s is started again and %s", daemons[machine]->options().name.c_str(), isReady ? "ready" : "not ready");
            }
        }
    }
    first.stop();
    second.stop();
    int machinesEnded = 0;
    for (const int it : ends) {
        machinesEnded += it >= wantedEnds ? 1 : 0;
    }
    const auto report = [&](const char *when, double from, double to) {
        auto calls = first.sentBetween(from, to);
        const auto others = second.sentBetween(from, to);
        calls.insert(calls.end(), others.begin(), others.end());
        const TimeoutCount count(calls, 1000);
        record.line("ordinary callers %s: %d served, %d refused, %d failed, %d without an answer, %d not sent",
                    when,
                    count.served,
                    count.refused,
                    count.failed,
                    count.none,
                    count.notSent);
        return count.served;
    };
    const int servedInCalm = report("in calm", calmFrom, crowdFrom);
    report("afterwards", crowdFrom, nowMs());
    record.line(
        "at most %zu kB of the machine's %zu kB; the processes ended %d and %d times", most / 1000, memoryLimit / 1000, ends[0], ends[1]);
    if (servedInCalm < 20) {
        return 2;
    }
    const bool broken = machinesEnded >= machinesOfRule;
    record.line(broken ? "Fault: on two machines in use processes end three times, as their memory is over the limit" : "no fault");
    return broken ? 1 : 0;
}
