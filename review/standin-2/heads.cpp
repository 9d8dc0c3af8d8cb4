// A few callers whose heads name thousands of headers in Connection, beside ordinary callers of the same daemon.
#include "stage.h"

using namespace Stage;

namespace
{

constexpr int crowdSize = 40;
constexpr double routeTimeoutMs = 1000;
constexpr std::size_t maxHeaderBytes = 16384;

// Half of the head is a Connection header with many names, the other half is header lines that it does not name.
std::string crowdHead(bool namesHeaders)
{
    std::string list;
    while (list.size() < 8000) {
        list += "a,";
    }
    std::string lines;
    while (lines.size() < 7900) {
        lines += "b:\r\n";
    }
    return "GET /none/x HTTP/1.1\r\nHost: h.example\r\nLaburnummast-Request-Id: crowd\r\n"
        + std::string(namesHeaders ? "Connection" : "X-Filler--") + ": " + list + "a\r\n" + lines + "\r\n";
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
    for (int i = 0; i < 4; ++i) {
        workers.push_back(std::make_unique<Worker>("w-" + std::to_string(i), "s", 3));
        workers.back()->workMs = 20;
        if (!workers.back()->start("127.0.0.1")) {
            return 2;
        }
        store.put("keyed.servers", workers.back()->id(), workers.back()->record("zone-a"));
    }
    store.put("keyed.op", "config", manifest(1, route("r", "/r/", "unsafe", "s", static_cast<int>(routeTimeoutMs)), serviceEntry("s")));
    const int port = freePorts({"127.0.0.1"}, portsPerDaemon);
    Daemon daemon(argv[1], folder.path(), store, {.firstPort = port, .seeds = "127.0.0.1:" + std::to_string(port + 3)});
    daemon.start();
    if (!daemon.waitUntilReady()) {
        record.line("the daemon did not get ready");
        return 2;
    }
    record.line("the daemon is ready");
    sleepMs(5000);

    const bool plain = argc > 3 && std::string(argv[3]) == "plain";
    const auto head = crowdHead(!plain);
    if (head.size() > maxHeaderBytes) {
        return 2;
    }
    ReadinessCheck readiness(daemon);
    OrdinaryCallers callers("127.0.0.1", daemon.port(), {});
    const double calmFrom = nowMs();
    sleepMs(5000);
    const double crowdFrom = nowMs();
    std::atomic<bool> stop{false};
    std::atomic<int> crowdSent{0};
    std::atomic<int> crowdAnswers{0};
    std::vector<std::thread> crowd;
    if (trouble(argc, argv)) {
        record.line("%d connections send heads of %zu bytes, each after the answer to the one before%s",
                    crowdSize,
                    head.size(),
                    plain ? ", without a Connection header" : "");
        for (int i = 0; i < crowdSize; ++i) {
            crowd.emplace_back([&] {
                while (!stop) {
                    const int fd = connectTo("127.0.0.1", daemon.port(), 1000);
                    std::string pending;
                    Message message;
                    while (fd >= 0 && !stop && sendAll(fd, head) && ++crowdSent > 0) {
                        auto result = ReadResult::TimedOut;
                        while (!stop && (result = readMessage(fd, pending, message, 200)) == ReadResult::TimedOut) { }
                        if (result != ReadResult::Complete) {
                            break;
                        }
                        ++crowdAnswers;
                    }
                    ::close(fd);
                }
            });
        }
    }
    sleepMs(20000);
    const double crowdUntil = nowMs();
    const bool alive = daemon.running();
    stop = true;
    for (auto &it : crowd) {
        it.join();
    }
    sleepMs(3500);
    callers.stop();
    readiness.stop();

    const TimeoutCount calm(callers.sentBetween(calmFrom, crowdFrom - 1500), routeTimeoutMs);
    const auto calls = callers.sentBetween(crowdFrom + 500, crowdUntil - 3000);
    const TimeoutCount count(calls, routeTimeoutMs);
    for (const auto &it : callers.sentBetween(calmFrom, crowdUntil)) {
        record.line("ordinary call %s at %.3f s, %s: status %d, %s after %.0f ms",
                    it.id.c_str(),
                    it.sentAt / 1000,
                    it.answer.sent ? "sent" : "not sent",
                    it.answer.status,
                    nameOf(it.answer.result),
                    it.answer.ms);
    }
    int missed = 0;
    int longestMiss = 0;
    for (const auto &[at, status] : readiness.results()) {
        record.line("readiness asked at %.3f s: %d", at / 1000, status);
        missed = at >= crowdFrom && at < crowdUntil && status != 200 ? missed + 1 : 0;
        longestMiss = std::max(longestMiss, missed);
    }
    record.line("in calm: %d served, %d refused, %d failed, %d without an answer", calm.served, calm.refused, calm.failed, calm.none);
    record.line("beside the crowd, which sent %d heads and got %d answers: %d served, %d refused, %d failed, %d without an answer",
                crowdSent.load(),
                crowdAnswers.load(),
                count.served,
                count.refused,
                count.failed,
                count.none);
    record.line("ordinary calls sent: %d, not sent: %d", count.sent, count.notSent);
    record.line("unanswered at the route's timeout: %d; half a second later: %d; checks of readiness missed in a row: %d; the process %s",
                count.unansweredAtTimeout,
                count.unansweredLater,
                longestMiss,
                alive ? "runs" : "has ended");
    if (calm.served < 10) {
        return 2;
    }
    const bool broken = !alive || count.breaksTimeout();
    record.line(broken ? "CONFIG is broken: requests have no answer half a second after their route's timeout" : "CONFIG holds");
    return broken ? 1 : 0;
}
