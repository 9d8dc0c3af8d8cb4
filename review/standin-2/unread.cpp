// Callers that pipeline requests and don't read the answers, on a machine whose memory counts what was received and not read yet.
#include "stage.h"

using namespace Stage;

namespace
{

constexpr int crowdSize = 2500;
constexpr std::size_t memoryMb = 260;
constexpr std::size_t memoryLimit = memoryMb * 1024 * 1024;
constexpr int descriptorLimit = 4100;
constexpr std::size_t bytesPerClient = 400000;

/// Bytes that have arrived on the connections of a port and were not read by the process, and the number of these connections.
std::pair<std::size_t, int> unreadBytes(int port)
{
    std::ifstream file("/proc/net/tcp");
    char suffix[8];
    std::snprintf(suffix, sizeof suffix, ":%04X", port);
    std::string line;
    std::getline(file, line);
    std::size_t bytes = 0;
    int connections = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues;
        fields >> number >> local >> remote >> state >> queues;
        const bool isEstablished = state == "01" || state == "08";
        if (isEstablished && local.size() > 5 && local.substr(8) == suffix) {
            bytes += std::strtoull(queues.substr(queues.find(':') + 1).c_str(), nullptr, 16);
            ++connections;
        }
    }
    return {bytes, connections};
}

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
    store.put("keyed.op", "config", manifest(1, route("r", "/r/", "safe", "s", 1000), serviceEntry("s")));
    const int port = freePorts({"127.0.0.1"}, portsPerDaemon);
    Daemon daemon(argv[1],
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

    const auto get = [](const std::string &id) {
        return "GET /none/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: " + id + "\r\n\r\n";
    };
    // Each answer repeats the id, so a few answers to long ids fill what the connection takes; short ones follow.
    std::string requests;
    for (int i = 0; i < 6; ++i) {
        requests += get(std::string(15000, 'x'));
    }
    while (requests.size() < bytesPerClient) {
        requests += get("x");
    }
    OrdinaryCallers callers("127.0.0.1", daemon.port(), {});
    sleepMs(3000);
    std::vector<int> crowd;
    std::vector<std::size_t> sent;
    if (trouble()) {
        for (int i = 0; i < crowdSize; ++i) {
            const int fd = connectTo("127.0.0.1", daemon.port(), 1000, [](int it) {
                const int window = 2048;
                ::setsockopt(it, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
                const int segment = 536;
                ::setsockopt(it, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            });
            if (fd >= 0) {
                ::fcntl(fd, F_SETFL, O_NONBLOCK);
                crowd.push_back(fd);
                sent.push_back(0);
            }
        }
        record.line("%zu connections of callers that send requests and read nothing", crowd.size());
    }

    std::size_t most = 0;
    bool ended = false;
    const double from = nowMs();
    double nextLine = from;
    while (nowMs() < from + 12000 && !ended) {
        std::size_t total = 0;
        for (std::size_t i = 0; i < crowd.size(); ++i) {
            while (crowd[i] >= 0 && sent[i] < requests.size()) {
                const auto n = ::send(crowd[i], requests.data() + sent[i], std::min<std::size_t>(65536, requests.size() - sent[i]), MSG_NOSIGNAL);
                if (n <= 0) {
                    if (errno != EAGAIN) {
                        ::close(crowd[i]);
                        crowd[i] = -1;
                    }
                    break;
                }
                sent[i] += static_cast<std::size_t>(n);
            }
            total += sent[i];
        }
        const auto [unread, connections] = unreadBytes(daemon.port());
        const auto resident = daemon.residentBytes();
        ended = !daemon.running();
        most = std::max(most, resident + unread);
        if (nowMs() >= nextLine || ended) {
            nextLine = nowMs() + 500;
            record.line("connections %d, sent %zu kB; the process has %zu kB resident and %zu kB received but not read: %zu kB of %zu kB",
                        connections,
                        total / 1000,
                        resident / 1000,
                        unread / 1000,
                        (resident + unread) / 1000,
                        memoryLimit / 1000);
        }
        sleepMs(50);
    }
    for (const int fd : crowd) {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    callers.stop();
    const TimeoutCount count(callers.sentBetween(0, nowMs()), 1000);
    record.line("ordinary callers: %d served, %d refused, %d failed, %d without an answer", count.served, count.refused, count.failed, count.none);
    if (ended) {
        record.line("the process has ended: %s", daemon.howEnded().c_str());
    }
    record.line("at most %zu kB of the machine's %zu kB", most / 1000, memoryLimit / 1000);
    if (count.served < 10) {
        return 2;
    }
    const bool broken = ended || most > memoryLimit;
    record.line(broken ? "the process exceeds the memory of its machine, for which the platform kills it" : "the process stays within the memory of its machine");
    return broken ? 1 : 0;
}
