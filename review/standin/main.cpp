// Scenarios of review/N/run.sh.
//
// usage: standin SCENARIO RECORD FOLDER PROGRAM...
//        standin early-worker ID RUNS
// Reads TROUBLE (0: without the disruption) from the environment.
// Exit code: 0 the rule held, 1 it was broken, 2 the scenario could not run.

#include "harness.h"

using namespace Review;

namespace
{

std::string route(const std::string &name, const std::string &prefix, const std::string &kind, int timeoutMillis, int priority, const std::string &service)
{
    return "\"" + name + "\":{\"host\":\"tickets.example\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout\":\""
        + std::to_string(timeoutMillis) + "ms\",\"target-latency\":\"" + std::to_string(timeoutMillis / 2) + "ms\",\"priority\":"
        + std::to_string(priority) + ",\"service\":\"" + service + "\",\"max-attempts\":2}";
}

// The routes of the ticket platform; uploads have the deadline of the sheet that the scenario names.
std::string ticketRoutes(int uploadTimeoutMillis)
{
    return route("booking", "/booking/", "unsafe", 600, 1, "taquilla") + ","
        + route("diagram", "/diagram/", "upload", uploadTimeoutMillis, 2, "patrones");
}

std::string machineSummary()
{
    std::string text;
    for (auto &it : machines) {
        char part[160];
        std::snprintf(part,
                      sizeof part,
                      "%s: peak %.0f MB, killed for memory %d times, ended by itself %d times; ",
                      it.name.c_str(),
                      it.peakMb.load(),
                      it.memoryKills.load(),
                      it.ownExits.load());
        text += part;
    }
    return text;
}

// ------------------------------------------------------------------ a worker crashes in the middle of an early answer

constexpr std::size_t earlyBodyBytes = 5000;
constexpr std::size_t earlyFirstPart = 2000;

// A worker in a process of its own. It answers uploads before it has read them, with a body that ends with its connection, and reads the
// rest of the upload meanwhile. Prints its port; writes a line to the file RUNS for each request that it runs.
int earlyWorker(const std::string &id, const std::string &runsPath)
{
    constexpr int slots = 3;
    static std::atomic<int> running = 0;
    int port = 0;
    auto listener = std::make_shared<Socket>(listenOn("127.0.0.1", 0, &port));
    // The loopback interface takes megabytes at once; this is the frame and buffer size of an ordinary network.
    const int segment = 1448;
    const int receiveBuffer = 32768;
    ::setsockopt(listener->fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    ::setsockopt(listener->fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const int runsFile = ::open(runsPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto load = [] { return "Laburnummast-Server-Load: " + std::to_string(running) + ",0,3,100\r\n"; };
    const auto session = [=](int fd) {
        std::string buffer;
        char chunk[4096];
        while (true) {
            std::size_t headEnd = 0;
            while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
                const auto n = ::recv(fd, chunk, sizeof chunk, 0);
                if (n <= 0) {
                    return;
                }
                buffer.append(chunk, static_cast<std::size_t>(n));
            }
            const auto request = parseHead(buffer.substr(0, headEnd));
            buffer.erase(0, headEnd + 4);
            if (request.target() == "/health") {
                if (!sendAll(fd, answer(200, "Laburnummast-Instance-Id: " + id + "\r\n" + load(), ""))) {
                    return;
                }
                continue;
            }
            const auto call = request.header("Laburnummast-Request-Id");
            const auto echo = "Laburnummast-Request-Id: " + call + "\r\n";
            const bool wrongInstance = request.header("Laburnummast-Expected-Instance") != id;
            if (wrongInstance || running >= slots) {
                sendAll(fd, answer(wrongInstance ? 421 : 503, echo + "Laburnummast-Not-Executed: 1\r\nConnection: close\r\n" + load(), ""));
                return;
            }
            ++running;
            const auto line = call + "\n";
            [[maybe_unused]] const auto written = ::write(runsFile, line.data(), line.size());
            sleepMillis(60);
            const std::string body(earlyBodyBytes, '.');
            bool open = sendAll(fd,
                                "HTTP/1.1 200 OK\r\n" + echo + "Laburnummast-Response-Signature: " + id + "." + call + "\r\n" + load() + "\r\n"
                                    + body.substr(0, earlyFirstPart));
            sleepMillis(150);
            // The answer is whole before the upload is read: a process that is killed earlier has unread bytes, and its connection is reset.
            open = open && sendAll(fd, body.substr(earlyFirstPart));
            const auto length = std::strtoul(request.header("Content-Length").c_str(), nullptr, 10);
            for (auto n = buffer.size(); open && n < length;) {
                const auto received = ::recv(fd, chunk, sizeof chunk, 0);
                open = received > 0;
                n += open ? static_cast<std::size_t>(received) : 0;
            }
            --running;
            return;
        }
    };
    serve(listener, session);
    std::printf("%d\n", port);
    std::fflush(stdout);
    while (true) {
        sleepMillis(1000);
    }
}

struct WorkerProcess
{
    std::string id;
    pid_t pid = 0;
    int port = 0;
    int sequence = 0;
    std::int64_t born = 0;
};

std::string ownProgram;

void startWorkerProcess(WorkerProcess &worker, const std::string &id)
{
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        cannotRun("no pipe");
    }
    worker = {.id = id, .born = unixMillis()};
    const auto runsPath = folder + "/runs";
    worker.pid = ::fork();
    if (worker.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(ends[1], 1);
        ::execl(ownProgram.c_str(), ownProgram.c_str(), "early-worker", id.c_str(), runsPath.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(ends[1]);
    char text[16] = {};
    if (::read(ends[0], text, sizeof text - 1) <= 0) {
        cannotRun("a worker did not start");
    }
    ::close(ends[0]);
    worker.port = std::atoi(text);
    record("worker %s: process %d started", id.c_str(), worker.pid);
}

void beat(WorkerProcess &worker)
{
    store.put("keyed.servers",
              worker.id,
              "{\"service\":\"patrones\",\"address\":\"127.0.0.1:" + std::to_string(worker.port)
                  + "\",\"zone\":\"gt-central-a\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold-remaining\":\"0ms\",\"sequence-number\":"
                  + std::to_string(++worker.sequence) + ",\"born\":" + std::to_string(worker.born) + "}");
}

int earlyCrash()
{
    constexpr std::size_t workerCount = 7;
    constexpr int crashCount = 10;
    constexpr double downMillis = 2000;
    std::vector<WorkerProcess> processes(workerCount);
    int started = 0;
    for (auto &it : processes) {
        startWorkerProcess(it, "i-patrones-" + std::to_string(started++));
        beat(it);
    }
    startSystem(ticketRoutes(800), {{"taquilla", 2, 80}, {"patrones", 0, 0}}, 2);
    for (auto &machine : machines) {
        for (int i = 0; i < 6; ++i) {
            startConsumer(machine, {.path = "/diagram/pattern", .kind = "diagram", .deadlineMillis = 800, .bodyBytes = 1000000, .pauseMillis = 50});
        }
    }
    std::vector<std::pair<double, std::string>> lapses;
    double nextBeat = 0;
    double nextCrash = seconds() + 2;
    std::size_t victim = 0;
    double backAt = 0;
    for (int crashes = 0; crashes < crashCount || backAt > 0;) {
        sleepMillis(10);
        const double now = seconds();
        if (now >= nextBeat) {
            nextBeat = now + 1.5;
            for (auto &it : processes) {
                if (it.pid > 0) {
                    beat(it);
                }
            }
        }
        // The entry of a worker that is silent lapses after three intervals.
        std::erase_if(lapses, [&](const auto &it) {
            if (now >= it.first) {
                store.put("keyed.servers", it.second, "");
            }
            return now >= it.first;
        });
        if (backAt > 0 && now >= backAt) {
            startWorkerProcess(processes[victim], "i-patrones-" + std::to_string(started++));
            beat(processes[victim]);
            backAt = 0;
        }
        if (backAt == 0 && crashes < crashCount && now >= nextCrash) {
            ++crashes;
            nextCrash = now + 3;
            victim = (victim + 1) % processes.size();
            backAt = now + downMillis / 1000;
            if (trouble()) {
                ::kill(processes[victim].pid, SIGKILL);
                ::waitpid(processes[victim].pid, nullptr, 0);
                record("worker %s: process %d crashed", processes[victim].id.c_str(), processes[victim].pid);
                lapses.emplace_back(now + 4.5, processes[victim].id);
                processes[victim].pid = 0;
            } else {
                backAt = 0;
            }
        }
    }
    consumersStop = true;
    sleepMillis(1500);
    for (auto &it : processes) {
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
    }
    std::ifstream runsFile(folder + "/runs");
    for (std::string call; std::getline(runsFile, call);) {
        auto &run = runs[call];
        ++run.count;
        run.service = "patrones";
    }
    recordOutcomes();
    int whole = 0;
    int cut = 0;
    for (const auto &it : outcomes) {
        whole += it.status == 200 && it.bodyBytes == earlyBodyBytes;
        cut += it.status == 200 && it.bodyBytes != earlyBodyBytes;
    }
    const auto text = std::to_string(outcomes.size()) + " uploads, " + std::to_string(whole) + " answered 200 with the whole body of "
        + std::to_string(earlyBodyBytes) + " bytes, " + std::to_string(cut) + " answered 200 with a part of it as a complete answer";
    return verdict(cut > 0, text.c_str());
}

// --------------------------------------------------------------------------- a SIGTERM while uploads arrive slowly

// The route's timeout; a request of the second machine has used less than seven tenths of it when its connection is closed.
constexpr double slowUploadTimeoutMillis = 5500;

// Sends an upload in pieces, the last one at `lastByteAt`.
void sendSlowUpload(const Machine &machine, double deadlineMillis, double lastByteAt)
{
    constexpr std::size_t bodyBytes = 300000;
    constexpr int pieces = 60;
    Outcome outcome{.id = freshId("diagram"), .machine = machine.name, .sentAt = seconds()};
    const auto connection = connectTo(machine.ip, ports.front);
    bool open = connection.open()
        && sendAll(connection.fd,
                   "POST /diagram/pattern HTTP/1.1\r\nHost: tickets.example\r\nLaburnummast-Request-Id: " + outcome.id
                       + "\r\nLaburnummast-Deadline-Milliseconds: " + std::to_string(static_cast<int>(deadlineMillis))
                       + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    const std::string piece(bodyBytes / pieces, 'b');
    for (int sent = 0; open && sent < pieces; ++sent) {
        const double at = outcome.sentAt + (lastByteAt - outcome.sentAt) * (sent + 1) / pieces;
        sleepMillis((at - seconds()) * 1000);
        open = sendAll(connection.fd, piece);
    }
    record("request %s: %s", outcome.id.c_str(), open ? "last byte sent" : "connection closed before the last byte");
    std::string buffer;
    Message response;
    outcome.end = open ? readMessage(connection.fd, buffer, response, deadlineMillis - (seconds() - outcome.sentAt) * 1000)
                       : ReadEnd::Broken;
    outcome.status = outcome.end == ReadEnd::Complete ? response.status() : 0;
    outcome.bodyBytes = response.body.size();
    outcome.endedAt = seconds();
    const std::lock_guard lock(outcomesMutex);
    outcomes.push_back(outcome);
}

// Stops a machine while uploads arrive whose last bytes come from `firstEnd` seconds after the SIGTERM on, and starts it again.
void stopDuringUploads(Machine &machine, double deadlineMillis, double firstEnd, double step)
{
    constexpr int uploadCount = 9;
    const double termAt = seconds() + 0.05;
    std::vector<std::thread> threads;
    for (int i = 0; i < uploadCount; ++i) {
        threads.emplace_back([&machine, deadlineMillis, lastByteAt = termAt + firstEnd + step * i] { sendSlowUpload(machine, deadlineMillis, lastByteAt); });
    }
    sleepMillis((termAt - seconds()) * 1000);
    if (trouble()) {
        record("SIGTERM to %s; its grace period is 6 s", machine.name.c_str());
        ::kill(machine.pid, SIGTERM);
        threads.emplace_back([&machine, termAt] {
            ::waitpid(machine.pid, nullptr, 0);
            record("the process of %s ended %.3f s after the SIGTERM", machine.name.c_str(), seconds() - termAt);
            machine.pid = 0;
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    if (trouble()) {
        sleepMillis(500);
        spawnProcess(machine);
    }
}

int drainUploads()
{
    startSystem(ticketRoutes(static_cast<int>(slowUploadTimeoutMillis)), {{"taquilla", 4, 80}, {"patrones", 6, 600}}, 2);
    // The platform leaves the processes alone here but for the SIGTERM and the start after it.
    stopping = true;
    sleepMillis(100);
    stopDuringUploads(machines[0], 4000, 2.62, 0.035);
    // Until the machine is ready and has been for the stable window.
    sleepMillis(6000);
    stopDuringUploads(machines[1], slowUploadTimeoutMillis, 2.78, 0.02);
    recordOutcomes();
    const std::lock_guard lock(runsMutex);
    int lost = 0;
    int lostEarly = 0;
    for (const auto &it : outcomes) {
        const bool isLost = runs.contains(it.id) && (it.end == ReadEnd::Closed || it.end == ReadEnd::Broken);
        lost += isLost;
        lostEarly += isLost && it.machine == machines[1].name && it.endedAt - it.sentAt < 0.7 * slowUploadTimeoutMillis / 1000;
    }
    const auto text = std::to_string(outcomes.size()) + " uploads, " + std::to_string(servedCalls()) + " answered 200, " + std::to_string(lost)
        + " passed on to a worker and closed without an answer, " + std::to_string(lostEarly) + " of them within seven tenths of their time";
    return verdict(lost > 0, text.c_str());
}

// -------------------------------------------------------------------------------------------- large uploads at once

int largeUploads()
{
    // 800 of the 1,000 Mbit/s of a machine, so that nothing waits at its link.
    constexpr double linkBytesPerSecond = 100e6;
    constexpr std::size_t uploadBytes = 60000000;
    constexpr std::size_t ordinaryBytes = 60000;
    constexpr int uploadersPerMachine = 3;
    startSystem(ticketRoutes(4000), {{"taquilla", 12, 80}, {"patrones", 6, 210}}, 2);
    std::vector<std::unique_ptr<Pacer>> links;
    for (auto &machine : machines) {
        for (int i = 0; i < 10; ++i) {
            startConsumer(machine, {.path = "/booking/seat", .kind = "booking", .deadlineMillis = 600, .bodyBytes = 1200});
        }
    }
    sleepMillis(3000);
    for (auto &machine : machines) {
        links.push_back(std::make_unique<Pacer>(linkBytesPerSecond));
        for (int i = 0; i < uploadersPerMachine; ++i) {
            startConsumer(machine,
                          {.path = "/diagram/pattern",
                           .kind = "diagram",
                           .deadlineMillis = 4000,
                           .bodyBytes = trouble() ? uploadBytes : ordinaryBytes,
                           .pauseMillis = 6000,
                           .link = links.back().get()});
        }
    }
    sleepMillis(40000);
    consumersStop = true;
    sleepMillis(4500);
    recordOutcomes();
    int mostLost = 0;
    int machinesDown = 0;
    std::string lost;
    for (const auto &it : machines) {
        const int n = lostCalls(it);
        mostLost = std::max(mostLost, n);
        machinesDown += it.memoryKills + it.ownExits >= 3;
        lost += (lost.empty() ? "" : ", ") + std::to_string(n);
    }
    const auto text = machineSummary() + std::to_string(servedCalls()) + " answered 200; lost on kept connections of each machine in touch: " + lost;
    return verdict(mostLost > 3 || machinesDown >= 2, text.c_str());
}

// ------------------------------------------------------------------------ an entry of another writer with missing fields

int foreignEntry()
{
    startSystem(ticketRoutes(800), {{"taquilla", 4, 80}, {"patrones", 4, 70}}, 2);
    for (auto &machine : machines) {
        for (int i = 0; i < 5; ++i) {
            startConsumer(machine, {.path = "/booking/seat", .kind = "booking", .deadlineMillis = 600, .bodyBytes = 1200});
        }
    }
    sleepMillis(3000);
    const auto &target = workers.back();
    for (int i = 0; i < 3; ++i) {
        if (trouble()) {
            store.put("keyed.servers",
                      target.id,
                      "{\"service\":\"taquilla\",\"address\":\"127.0.0.1:" + std::to_string(target.port) + "\",\"zone\":\"" + target.zone
                          + "\",\"slots\":3,\"state\":\"ready\"}");
            record("another writer wrote an entry of %s with service taquilla, without version, cold-remaining, sequence-number and born",
                   target.id.c_str());
        }
        sleepMillis(4000);
    }
    consumersStop = true;
    sleepMillis(1500);
    recordOutcomes();
    int foreign = 0;
    for (const auto &[id, it] : runs) {
        foreign += id.starts_with("booking") && it.service != "taquilla" ? it.count : 0;
    }
    int answered = 0;
    for (const auto &it : outcomes) {
        answered += it.status == 200 && it.body.starts_with("patrones");
    }
    const auto text = std::to_string(outcomes.size()) + " bookings, " + std::to_string(servedCalls()) + " answered 200; run by patrones "
        + std::to_string(foreign) + ", answered 200 by patrones " + std::to_string(answered);
    return verdict(foreign > 0, text.c_str());
}

const std::map<std::string, std::function<int()>> scenarios{
    {"early-crash", earlyCrash}, {"drain-uploads", drainUploads}, {"large-uploads", largeUploads}, {"foreign-entry", foreignEntry}};

}

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::string(argv[1]) == "early-worker") {
        return earlyWorker(argv[2], argv[3]);
    }
    if (argc < 5) {
        std::fprintf(stderr, "usage: standin SCENARIO RECORD FOLDER PROGRAM...\n");
        return 2;
    }
    ownProgram = argv[0];
    recordFile = std::fopen(argv[2], "w");
    folder = argv[3];
    command.assign(argv + 4, argv + argc);
    if (!recordFile) {
        return 2;
    }
    const auto scenario = scenarios.find(argv[1]);
    if (scenario == scenarios.end()) {
        cannotRun("unknown scenario");
    }
    const int result = scenario->second();
    endProcesses();
    std::fflush(stdout);
    std::_Exit(result);
}
