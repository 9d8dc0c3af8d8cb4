// A fleet of 19 daemons of which all but one are lost at once; then the operator moves a route to another service.
#include "stage.h"

using namespace Stage;

namespace
{

constexpr double configApplyMs = 2000;

const std::vector<std::pair<std::string, int>> zones{{"palermo-a", 6}, {"catania-b", 3}, {"siracusa-c", 5}, {"agrigento-d", 5}};

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    Record record(argv[2]);
    const std::string survivorName = argc > 4 ? argv[4] : "front-palermo-a-3";
    TemporaryFolder folder;
    Store store;
    if (!store.start("127.0.0.1")) {
        return 2;
    }
    std::vector<std::unique_ptr<Worker>> workers;
    for (const std::string service : {"old", "new"}) {
        for (int i = 0; i < 4; ++i) {
            workers.push_back(std::make_unique<Worker>("w-" + service + "-" + std::to_string(i), service, 3));
            if (!workers.back()->start("127.0.0.1")) {
                return 2;
            }
            store.put("keyed.servers", workers.back()->id(), workers.back()->record(zones[static_cast<std::size_t>(i)].first));
        }
    }
    const auto services = serviceEntry("old") + "," + serviceEntry("new");
    store.put("keyed.op", "config", manifest(1, route("moved", "/m/", "safe", "old", 1000), services));

    std::vector<DaemonOptions> options;
    std::vector<std::string> ips;
    for (const auto &[zone, count] : zones) {
        for (int i = 1; i <= count; ++i) {
            ips.push_back("127.0.0." + std::to_string(11 + ips.size()));
            options.push_back({.name = "front-" + zone + "-" + std::to_string(i), .ip = ips.back(), .zone = zone});
        }
    }
    const int port = freePorts(ips, portsPerDaemon);
    const auto control = [&](std::size_t i) { return ips[i] + ":" + std::to_string(port + 3); };
    std::vector<std::unique_ptr<Daemon>> daemons;
    Daemon *survivor = nullptr;
    for (auto &it : options) {
        it.firstPort = port;
        // Seeds are machines of three zones.
        it.seeds = control(0) + "," + control(6) + "," + control(9);
        daemons.push_back(std::make_unique<Daemon>(argv[1], folder.path(), store, it));
        daemons.back()->start();
        survivor = it.name == survivorName ? daemons.back().get() : survivor;
    }
    if (!survivor) {
        return 2;
    }
    for (auto &it : daemons) {
        if (!it->waitUntilReady()) {
            record.line("%s did not get ready", it->options().name.c_str());
            return 2;
        }
    }
    record.line("%zu daemons are ready", daemons.size());
    sleepMs(8000);

    struct Sent
    {
        double at;
        std::string id;
        int status;
    };
    std::vector<Sent> sent;
    int number = 0;
    const auto callFor = [&](double ms) {
        const double end = nowMs() + ms;
        while (nowMs() < end) {
            const auto id = "c-" + std::to_string(++number);
            const double at = nowMs();
            const auto answer = call(survivor->options().ip, survivor->port(), callHead("GET", "/m/x", "h.example", id, 800), 800);
            sent.push_back({.at = at, .id = id, .status = answer.status});
            sleepMs(std::max(0.0, 25 - (nowMs() - at)));
        }
    };
    callFor(4000);
    if (trouble(argc, argv)) {
        int lost = 0;
        for (auto &it : daemons) {
            if (it.get() != survivor) {
                it->signal(SIGKILL);
                ++lost;
            }
        }
        record.line("%d of %zu machines are lost; %s stays", lost, daemons.size(), survivorName.c_str());
    }
    callFor(50);
    const double confirmedAt = store.put("keyed.op", "config", manifest(2, route("moved", "/m/", "safe", "new", 1000), services));
    record.line("the store confirms version 2, which moves the route from service old to service new");
    callFor(7000);
    if (!survivor->running()) {
        record.line("the daemon that stayed has ended: %s", survivor->howEnded().c_str());
        return 1;
    }

    std::map<std::string, std::string> ranBy;
    for (const auto &it : workers) {
        for (const auto &run : it->runs()) {
            ranBy[run.id] = run.worker;
        }
    }
    int late = 0;
    int servedByNew = 0;
    int answeredBefore = 0;
    double lastStale = 0;
    for (const auto &it : sent) {
        const auto worker = ranBy.contains(it.id) ? ranBy[it.id] : "-";
        const double after = it.at - confirmedAt;
        const bool isOld = worker.rfind("w-old", 0) == 0;
        record.line("sent %+8.1f ms from the confirmation: %s, status %d, run by %s", after, it.id.c_str(), it.status, worker.c_str());
        late += isOld && after > configApplyMs ? 1 : 0;
        lastStale = isOld ? std::max(lastStale, after) : lastStale;
        servedByNew += worker.rfind("w-new", 0) == 0 ? 1 : 0;
        answeredBefore += after < 0 && it.status == 200 ? 1 : 0;
    }
    record.line("run by service old although sent later than %.0f ms after the confirmation: %d; the last request that service old ran "
                "was sent %.0f ms after it; %d were run by service new",
                configApplyMs,
                late,
                lastStale,
                servedByNew);
    if (answeredBefore < 50 || servedByNew == 0) {
        record.line("the case could not run: %d requests were answered before the change", answeredBefore);
        return 2;
    }
    record.line(late > 0 ? "CONFIG is broken" : "CONFIG holds");
    return late > 0 ? 1 : 0;
}
