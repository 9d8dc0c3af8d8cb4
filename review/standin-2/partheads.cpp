// Callers that stop short of the end of a head of many short lines.
#include "stage.h"

using namespace Stage;

namespace
{

constexpr std::size_t memoryMb = 260;
constexpr std::size_t memoryLimit = memoryMb * 1024 * 1024;
constexpr int descriptorLimit = 4100;
constexpr std::size_t maxHeaderBytes = 16384;

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    const int crowdSize = argc > 4 ? std::atoi(argv[4]) : 2500;
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
    store.put("keyed.op", "config", manifest(1, route("r", "/r/", "safe", "s", 1000), serviceEntry("s")));
    const int port = freePorts({"127.0.0.1"}, portsPerDaemon);
    Daemon daemon(
        argv[1],
        folder.path(),
        store,
        {.firstPort = port, .seeds = "127.0.0.1:" + std::to_string(port + 3), .memoryMb = memoryMb, .descriptors = descriptorLimit});
    daemon.start();
    if (!daemon.waitUntilReady()) {
        record.line("the daemon did not get ready");
        return 2;
    }
    record.line("the daemon is ready");
    sleepMs(5000);
    OrdinaryCallers callers("127.0.0.1", daemon.port(), {});
    sleepMs(3000);

    std::string head = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: part\r\n";
    while (head.size() + 4 < maxHeaderBytes - 100) {
        head += "a:\r\n";
    }
    std::vector<int> crowd;
    const double crowdFrom = nowMs();
    std::size_t most = 0;
    bool killed = false;
    bool ended = false;
    double nextLine = 0;
    const auto measure = [&] {
        ended = ended || (!killed && !daemon.running());
        if (ended || killed) {
            return;
        }
        const auto resident = daemon.residentBytes();
        most = std::max(most, resident);
        if (nowMs() >= nextLine || resident > memoryLimit) {
            nextLine = nowMs() + 200;
            record.line("%zu connections with a part of a head each; the process has %zu kB resident of %zu kB",
                        crowd.size(),
                        resident / 1000,
                        memoryLimit / 1000);
        }
        if (resident > memoryLimit) {
            record.line("the platform kills the process, which exceeds the memory of its machine");
            daemon.kill();
            killed = true;
        }
    };
    for (int i = 0; trouble(argc, argv) && i < crowdSize && !killed && !ended; ++i) {
        const int fd = connectTo("127.0.0.1", daemon.port(), 1000);
        if (fd >= 0) {
            ::fcntl(fd, F_SETFL, O_NONBLOCK);
            ::send(fd, head.data(), head.size(), MSG_NOSIGNAL);
            crowd.push_back(fd);
        }
        if (i % 20 == 0) {
            measure();
        }
    }
    const double until = crowdFrom + 8000;
    while (nowMs() < until) {
        measure();
        sleepMs(20);
    }
    for (const int fd : crowd) {
        ::close(fd);
    }
    callers.stop();
    const TimeoutCount calm(callers.sentBetween(0, crowdFrom), 1000);
    const TimeoutCount count(callers.sentBetween(crowdFrom, nowMs()), 1000);
    record.line("ordinary callers before: %d served, %d refused, %d failed, %d without an answer",
                calm.served,
                calm.refused,
                calm.failed,
                calm.none);
    record.line("ordinary callers after: %d served, %d refused, %d failed, %d without an answer",
                count.served,
                count.refused,
                count.failed,
                count.none);
    if (ended) {
        record.line("the process has ended by itself: %s", daemon.howEnded().c_str());
    }
    record.line("at most %zu kB of the machine's %zu kB; %s",
                most / 1000,
                memoryLimit / 1000,
                killed || ended ? "the process is gone" : "the process stays within the memory of its machine");
    if (calm.served < 10) {
        return 2;
    }
    return killed || ended ? 1 : 0;
}
