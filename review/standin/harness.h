// Stand-ins for the platform, its workers and consumers, and the processes of the entry daemon that a scenario starts.

#ifndef REVIEW_STANDIN_HARNESS_H
#define REVIEW_STANDIN_HARNESS_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
inline const auto startedAt = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void sleepMillis(double millis)
{
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(millis * 1000)));
}

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// ---------------------------------------------------------------------------------------------------------------- record

inline std::FILE *recordFile = nullptr;
inline std::mutex recordMutex;

inline void record(const char *format, ...)
{
    char text[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard lock(recordMutex);
    std::fprintf(recordFile, "%8.3f %s\n", seconds(), text);
    std::fflush(recordFile);
}

[[noreturn]] inline void cannotRun(const std::string &why);

// --------------------------------------------------------------------------------------------------------------- sockets

struct Socket
{
    int fd = -1;
    Socket() = default;
    explicit Socket(int fd)
        : fd(fd)
    {
    }
    Socket(Socket &&other) noexcept
        : fd(other.fd)
    {
        other.fd = -1;
    }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(fd, other.fd);
        return *this;
    }
    ~Socket()
    {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    bool open() const
    {
        return fd >= 0;
    }
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline Socket listenOn(const std::string &ip, int port, int *boundPort = nullptr)
{
    Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(s.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(ip, port);
    if (::bind(s.fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(s.fd, 512) != 0) {
        return {};
    }
    socklen_t length = sizeof address;
    ::getsockname(s.fd, reinterpret_cast<sockaddr *>(&address), &length);
    if (boundPort) {
        *boundPort = ntohs(address.sin_port);
    }
    return s;
}

inline Socket connectTo(const std::string &ip, int port)
{
    Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = addressOf(ip, port);
    if (::connect(s.fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return {};
    }
    const int on = 1;
    ::setsockopt(s.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return s;
}

inline bool sendAll(int fd, const char *bytes, std::size_t n)
{
    while (n > 0) {
        const auto sent = ::send(fd, bytes, n, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        n -= static_cast<std::size_t>(sent);
    }
    return true;
}

inline bool sendAll(int fd, const std::string &text)
{
    return sendAll(fd, text.data(), text.size());
}

// ------------------------------------------------------------------------------------------------------------------ HTTP

struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
    int status() const
    {
        return start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

enum class ReadEnd
{
    Complete,
    Closed, // closed or reset before the first byte
    Broken, // closed or reset inside the message
    TimedOut,
};

// Start line and headers; `text` ends before the empty line.
inline Message parseHead(const std::string &text)
{
    Message message;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.start.empty()) {
            message.start = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
    }
    return message;
}

// Reads one message with a Content-Length or without a body; `buffer` keeps bytes that follow it.
inline ReadEnd readMessage(int fd, std::string &buffer, Message &message, double timeoutMillis)
{
    const auto until = Clock::now() + std::chrono::microseconds(static_cast<std::int64_t>(timeoutMillis * 1000));
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    message = {};
    std::vector<char> chunk(256 << 10);
    while (true) {
        if (headEnd == std::string::npos && (headEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
            message = parseHead(buffer.substr(0, headEnd));
            length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            buffer.erase(0, headEnd + 4);
            buffer.reserve(length);
        }
        if (headEnd != std::string::npos && buffer.size() >= length) {
            message.body = buffer.substr(0, length);
            buffer.erase(0, length);
            return ReadEnd::Complete;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd p{.fd = fd, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) == 0) {
            return ReadEnd::TimedOut;
        }
        const auto n = ::recv(fd, chunk.data(), chunk.size(), 0);
        if (n <= 0) {
            return headEnd == std::string::npos && buffer.empty() ? ReadEnd::Closed : ReadEnd::Broken;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
}

inline std::string answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

inline std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = "&" + target.substr(std::min(target.size(), target.find('?') + 1));
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + 2;
    return query.substr(from, query.find('&', from) - from);
}

// Serves each connection of a listener in a thread of its own until the process ends.
inline void serve(std::shared_ptr<Socket> listener, std::function<void(int fd)> session)
{
    std::thread([listener, session] {
        while (true) {
            const int fd = ::accept4(listener->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepMillis(5);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, session] {
                session(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
}

// ----------------------------------------------------------------------------------------------------- the platform's store

class Store
{
public:
    int port = 0;

    void start()
    {
        auto listener = std::make_shared<Socket>(listenOn("127.0.0.1", 0, &port));
        serve(listener, [this](int fd) { session(fd); });
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_logs[topic].emplace_back(key, value);
        m_changed.notify_all();
    }

private:
    using Log = std::vector<std::pair<std::string, std::string>>;

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i) {
            text.push_back(static_cast<char>(number >> (8 * i) & 255));
        }
        return text;
    }

    static std::string base64(const std::string &bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
            }
        }
        return text;
    }

    void session(int fd)
    {
        std::string buffer;
        Message request;
        while (readMessage(fd, buffer, request, 600000) == ReadEnd::Complete) {
            const auto topic = parameter(request.target(), "topic");
            const bool newest = request.target().starts_with("/laburnummast/log-newest");
            if (!sendAll(fd, newest ? newestAnswer(topic) : readAnswer(topic, request.target()))) {
                return;
            }
        }
    }

    std::string newestAnswer(const std::string &topic)
    {
        const std::lock_guard lock(m_mutex);
        const auto &log = m_logs[topic];
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < log.size(); ++i) {
            newest[log[i].first] = i;
        }
        std::string items;
        for (const auto &[key, i] : newest) {
            if (!log[i].second.empty()) {
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" + base64(log[i].second)
                    + "\",\"offset\":" + std::to_string(i) + "}";
            }
        }
        return answer(200,
                      "Store-Era: 1\r\nContent-Type: application/json\r\n",
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(log.size()) + "}");
    }

    std::string readAnswer(const std::string &topic, const std::string &target)
    {
        const auto from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
        const auto wait = std::chrono::milliseconds(std::strtoul(parameter(target, "wait-ms").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        const auto &log = m_logs[topic];
        m_changed.wait_for(lock, wait, [&] { return log.size() > from; });
        std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (auto i = from; i < log.size(); ++i) {
            const auto content = std::string(1, static_cast<char>(log[i].first.size())) + log[i].first + log[i].second;
            body += bigEndian(content.size(), 4) + content;
        }
        return answer(200, "Store-Era: 1\r\n", body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Log> m_logs;
};

inline Store store;

// --------------------------------------------------------------------------------------------------------------- workers

// All runs, by request id: how often it ran, and at which service.
struct Run
{
    int count = 0;
    std::string service;
    std::string worker;
};
inline std::mutex runsMutex;
inline std::map<std::string, Run> runs;

// Limits the bytes that are sent to one machine to what its link carries.
class Pacer
{
public:
    explicit Pacer(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }
    void wait(std::size_t bytes)
    {
        double until = 0;
        {
            const std::lock_guard lock(m_mutex);
            m_next = std::max(m_next, seconds()) + static_cast<double>(bytes) / m_bytesPerSecond;
            until = m_next;
        }
        if (const double left = until - seconds(); left > 0) {
            sleepMillis(left * 1000);
        }
    }

private:
    double m_bytesPerSecond;
    std::mutex m_mutex;
    double m_next = 0;
};

struct Worker
{
    std::string id;
    std::string service;
    std::string zone;
    int port = 0;
    double workMillis = 80;
    std::int64_t born = unixMillis();
    std::atomic<int> running = 0;
    std::atomic<int> waiting = 0;
    std::atomic<int> sequence = 0;
    static constexpr int slots = 3;
    static constexpr int queue = 12;

    void start()
    {
        auto listener = std::make_shared<Socket>(listenOn("127.0.0.1", 0, &port));
        serve(listener, [this](int fd) { session(fd); });
    }

    void beat()
    {
        store.put("keyed.servers",
                  id,
                  "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port) + "\",\"zone\":\"" + zone
                      + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
                      + ",\"state\":\"ready\",\"cold-remaining\":\"0ms\",\"sequence-number\":" + std::to_string(++sequence)
                      + ",\"born\":" + std::to_string(born) + "}");
    }

private:
    std::string load() const
    {
        return "Laburnummast-Server-Load: " + std::to_string(running) + "," + std::to_string(waiting) + "," + std::to_string(slots)
            + ",100\r\n";
    }

    void session(int fd)
    {
        std::string buffer;
        Message request;
        while (readMessage(fd, buffer, request, 10000) == ReadEnd::Complete) {
            if (request.target() == "/health") {
                if (!sendAll(fd, answer(200, "Laburnummast-Instance-Id: " + id + "\r\n" + load(), ""))) {
                    return;
                }
                continue;
            }
            if (!handle(fd, request)) {
                return;
            }
        }
    }

    bool handle(int fd, const Message &request)
    {
        const auto call = request.header("Laburnummast-Request-Id");
        const auto echo = "Laburnummast-Request-Id: " + call + "\r\n";
        const auto expected = request.header("Laburnummast-Expected-Instance");
        if (!expected.empty() && expected != id) {
            return sendAll(fd, answer(421, echo + "Laburnummast-Not-Executed: 1\r\nLaburnummast-Instance-Id: " + id + "\r\n", ""));
        }
        if (waiting >= queue) {
            return sendAll(fd, answer(503, echo + "Laburnummast-Not-Executed: 1\r\n" + load(), ""));
        }
        ++waiting;
        const auto queuedAt = seconds();
        const auto deadline = std::strtod(request.header("Laburnummast-Deadline-Milliseconds").c_str(), nullptr);
        while (true) {
            int n = running;
            if (n < slots && running.compare_exchange_strong(n, n + 1)) {
                break;
            }
            if (deadline > 0 && (seconds() - queuedAt) * 1000 > deadline) {
                --waiting;
                return sendAll(fd, answer(503, echo + "Laburnummast-Not-Executed: 1\r\n" + load(), ""));
            }
            sleepMillis(1);
        }
        --waiting;
        {
            const std::lock_guard lock(runsMutex);
            auto &run = runs[call];
            ++run.count;
            run.service = service;
            run.worker = id;
        }
        sleepMillis(workMillis);
        --running;
        const auto head = echo + "Laburnummast-Response-Signature: " + id + "." + call + "\r\n" + load();
        return sendAll(fd, answer(200, head, service + " " + id + " " + call + std::string(4900, '.')));
    }
};

inline std::deque<Worker> workers;

// ----------------------------------------------------------------------------------------------------- the system's machines

constexpr double memoryLimitMb = 260;

struct Machine
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string settingsPath;
    std::string logPath;
    pid_t pid = 0;
    std::atomic<double> peakMb = 0;
    std::atomic<int> memoryKills = 0;
    std::atomic<int> ownExits = 0;
    // When the present process was started, and when the last one ended; in seconds since the start of the scenario.
    std::atomic<double> upSince = 0;
};

struct Ports
{
    int front = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
    int internal = 0;
};

inline Ports ports;
inline std::deque<Machine> machines;
inline std::string folder;
inline std::vector<std::string> command;
inline std::atomic<bool> stopping = false;
inline std::mutex processMutex;

inline void writeSettings(const Machine &machine)
{
    std::ofstream file(machine.settingsPath);
    const auto at = [&](int port) { return machine.ip + ":" + std::to_string(port); };
    std::string seeds;
    for (const auto &it : machines) {
        seeds += (seeds.empty() ? "" : ",") + it.ip + ":" + std::to_string(ports.control);
    }
    file << "self.node-name=" << machine.name << "\nself.role=entry\nself.machine-class=front\nself.serves=front,directory,control\n"
         << "self.ip=" << machine.ip << "\nself.zone=" << machine.zone
         << "\nself.region=gt-central\nself.counts-as-loss=false\nself.bootstrap=true\nself.limits.cpu-share=0.2\nself.limits.cores=1\n"
         << "self.limits.memory-mb=260\nself.limits.fd-limit=4100\nself.limits.link-mbps=1000.0\nself.limits.disk-mb=0\n"
         << "network.listen.front=" << at(ports.front) << "\nnetwork.listen.ready=" << at(ports.ready)
         << "\nnetwork.listen.control=" << at(ports.control) << "\nnetwork.listen.directory=" << at(ports.directory)
         << "\nnetwork.internal-port-range=" << ports.internal << "," << ports.internal + 15 << "\nnetwork.seeds=" << seeds
         << "\nnetwork.zones.gt-central-a=gt-central\nnetwork.zones.gt-central-b=gt-central\nplatform.discovery=platform\n"
         << "platform.entry=directory\nplatform.heartbeat-interval=1500ms\nplatform.platform.address=127.0.0.1:" << store.port
         << "\nplatform.platform.form=log\nplatform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n"
         << "platform.platform.parts=12\nplatform.platform.append=2ms\nplatform.platform.partition-mb-s=20.0\n"
         << "platform.platform.read-mb-s=80.0\nplatform.platform.record-bytes=262144\nplatform.platform.call-bytes=2097152\n"
         << "platform.platform.keep=300s\nplatform.platform.part-mb=200\nplatform.platform.ttl-min=1000ms\n"
         << "terms.contracts=base,drain,config,cost,retry,recover,health,platform\nterms.fault-tolerance.machines=2\n"
         << "terms.fault-tolerance.zones=0\nterms.fault-tolerance.regions=0\nterms.bounds.seed-lag=3s\nterms.bounds.reuse-after=2s\n"
         << "terms.bounds.stable-window=3000ms\nterms.bounds.ack-timeout=4000ms\nterms.bounds.catch-up=4s\nterms.bounds.drain=2000ms\n"
         << "terms.bounds.grace-period=6s\nterms.bounds.loss-slack=200ms\nterms.bounds.config-apply=2000ms\n"
         << "terms.bounds.rollback-slack=250ms\nterms.bounds.max-skew=5000ms\nterms.bounds.retry-budget-ratio=0.2\n"
         << "terms.bounds.budget-window=10s\nterms.bounds.budget-slack=56\nterms.bounds.recovery=15s\nterms.bounds.ttl_max=5s\n"
         << "terms.bounds.probes-per-s=60\n";
}

inline void spawnProcess(Machine &machine)
{
    std::vector<char *> argv;
    for (auto &it : command) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    std::string variable = "LABURNUMMAST_NODE_FILE=" + machine.settingsPath;
    std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    char *environment[] = {variable.data(), path.data(), nullptr};
    const int log = ::open(machine.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    // Closed by the exec: until then the process has the memory of this one.
    int execDone[2] = {-1, -1};
    if (::pipe2(execDone, O_CLOEXEC) != 0) {
        cannotRun("no pipe");
    }
    machine.pid = ::fork();
    if (machine.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::signal(SIGPIPE, SIG_DFL);
        ::execve(argv[0], argv.data(), environment);
        ::_exit(127);
    }
    ::close(log);
    ::close(execDone[1]);
    char none = 0;
    [[maybe_unused]] const auto end = ::read(execDone[0], &none, 1);
    ::close(execDone[0]);
    if (machine.pid < 0) {
        cannotRun("cannot start " + command[0]);
    }
    machine.upSince = seconds();
    record("machine %s: process %d started", machine.name.c_str(), machine.pid);
}

inline double residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

// The platform: ends a process that exceeds the memory of its machine, and restarts one that has ended after a short delay.
inline void watch(Machine &machine)
{
    std::thread([&machine] {
        while (!stopping) {
            sleepMillis(5);
            const std::lock_guard lock(processMutex);
            if (stopping) {
                return;
            }
            const double mb = residentMb(machine.pid);
            machine.peakMb = std::max(machine.peakMb.load(), mb);
            if (mb > memoryLimitMb) {
                record("machine %s: process %d holds %.0f MB of %.0f MB, killed", machine.name.c_str(), machine.pid, mb, memoryLimitMb);
                ::kill(machine.pid, SIGKILL);
                ++machine.memoryKills;
                int status = 0;
                ::waitpid(machine.pid, &status, 0);
            } else {
                int status = 0;
                if (::waitpid(machine.pid, &status, WNOHANG) != machine.pid) {
                    continue;
                }
                ++machine.ownExits;
                record("machine %s: process %d ended by itself, %s %d",
                       machine.name.c_str(),
                       machine.pid,
                       WIFSIGNALED(status) ? "signal" : "exit code",
                       WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            }
            sleepMillis(500);
            spawnProcess(machine);
        }
    }).detach();
}

inline void endProcesses()
{
    stopping = true;
    const std::lock_guard lock(processMutex);
    for (auto &it : machines) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
            int status = 0;
            ::waitpid(it.pid, &status, 0);
        }
    }
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    record("cannot run: %s", why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    stopping = true;
    for (auto &it : machines) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
        }
    }
    std::_Exit(2);
}

// Finds ports that are free at the addresses of all machines.
inline void choosePorts()
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int base = std::uniform_int_distribution<int>(12000, 30000)(random);
        std::vector<Socket> held;
        bool free = true;
        for (const auto &machine : machines) {
            for (int port = base; port < base + 20 && free; ++port) {
                held.push_back(listenOn(machine.ip, port));
                free = held.back().open();
            }
        }
        if (free) {
            ports = {.front = base, .ready = base + 1, .control = base + 2, .directory = base + 3, .internal = base + 4};
            return;
        }
    }
    cannotRun("no free ports");
}

inline bool isReady(const Machine &machine)
{
    const auto s = connectTo(machine.ip, ports.ready);
    std::string buffer;
    Message response;
    return s.open() && sendAll(s.fd, "GET /laburnummast/readiness HTTP/1.1\r\nHost: " + machine.ip + "\r\n\r\n")
        && readMessage(s.fd, buffer, response, 1000) == ReadEnd::Complete && response.status() == 200;
}

struct ServiceSetup
{
    std::string name;
    int workers;
    double workMillis;
};

// Starts the store, the workers and `machineCount` machines, and waits until all have been ready for the stable window.
inline void startSystem(const std::string &routes, const std::vector<ServiceSetup> &services, int machineCount)
{
    store.start();
    std::string serviceList;
    for (const auto &service : services) {
        serviceList += (serviceList.empty() ? "\"" : ",\"") + service.name
            + "\":{\"health-check-path\":\"/health\",\"max-connections\":220,\"protocol\":\"h1\",\"tls\":false}";
        for (int i = 0; i < service.workers; ++i) {
            auto &worker = workers.emplace_back();
            worker.id = "i-" + service.name + "-" + std::to_string(i);
            worker.service = service.name;
            worker.zone = i % 2 == 0 ? "gt-central-a" : "gt-central-b";
            worker.workMillis = service.workMillis;
            worker.start();
            worker.beat();
        }
    }
    store.put("keyed.op",
              "config",
              "{\"version\":7,\"routes\":{" + routes + "},\"services\":{" + serviceList
                  + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
                    "\"idle-timeout\":\"15000ms\"}}");
    std::thread([] {
        while (true) {
            sleepMillis(1500);
            for (auto &it : workers) {
                it.beat();
            }
        }
    }).detach();
    for (int i = 0; i < machineCount; ++i) {
        auto &machine = machines.emplace_back();
        machine.name = "front-" + std::to_string(i + 1);
        machine.ip = "127.0.1." + std::to_string(i + 1);
        machine.zone = i % 2 == 0 ? "gt-central-a" : "gt-central-b";
        machine.settingsPath = folder + "/" + machine.name + ".conf";
        machine.logPath = folder + "/" + machine.name + ".log";
    }
    choosePorts();
    for (auto &it : machines) {
        writeSettings(it);
        spawnProcess(it);
    }
    for (auto &it : machines) {
        for (int i = 0; !isReady(it); ++i) {
            if (i > 150) {
                cannotRun(it.name + " is not ready after 15 s");
            }
            sleepMillis(100);
        }
        watch(it);
    }
    record("all machines are ready");
    sleepMillis(4500);
}

// ------------------------------------------------------------------------------------------------------------- consumers

struct Outcome
{
    std::string id;
    std::string machine;
    // Status of the answer; 0 if the connection ended or the time was over without one.
    int status = 0;
    ReadEnd end = ReadEnd::Complete;
    bool keptConnection = false;
    // When the process of the machine had started.
    double machineUpSince = 0;
    double sentAt = 0;
    double endedAt = 0;
    std::string body;
    std::size_t bodyBytes = 0;
};

inline std::mutex outcomesMutex;
inline std::vector<Outcome> outcomes;
inline std::atomic<bool> consumersStop = false;
inline std::atomic<int> nextId = 1;

inline std::string freshId(const char *kind)
{
    char text[64];
    std::snprintf(text, sizeof text, "%s-%06d", kind, nextId++);
    return text;
}

// A consumer that sends one request after the other on a kept connection to one machine, and opens a new one when that ends.
struct ConsumerSetup
{
    std::string method = "POST";
    std::string path;
    const char *kind = "";
    double deadlineMillis = 600;
    std::size_t bodyBytes = 0;
    double pauseMillis = 20;
    // Set: limits the bytes that are sent to the machine.
    Pacer *link = nullptr;
};

inline bool sendPaced(int fd, const std::string &text, Pacer *link)
{
    constexpr std::size_t pieceBytes = 64 << 10;
    for (std::size_t at = 0; at < text.size(); at += pieceBytes) {
        const auto n = std::min(pieceBytes, text.size() - at);
        if (link) {
            link->wait(n);
        }
        if (!sendAll(fd, text.data() + at, n)) {
            return false;
        }
    }
    return true;
}

inline void startConsumer(Machine &machine, const ConsumerSetup &setup)
{
    std::thread([&machine, setup] {
        Socket connection;
        std::string buffer;
        int onConnection = 0;
        while (!consumersStop) {
            if (!connection.open()) {
                connection = connectTo(machine.ip, ports.front);
                buffer.clear();
                onConnection = 0;
                if (!connection.open()) {
                    connection = Socket();
                    sleepMillis(50);
                    continue;
                }
            }
            Outcome outcome{.id = freshId(setup.kind), .machine = machine.name, .keptConnection = onConnection > 0, .machineUpSince = machine.upSince};
            auto request = setup.method + " " + setup.path + " HTTP/1.1\r\nHost: tickets.example\r\nLaburnummast-Request-Id: " + outcome.id
                + "\r\nLaburnummast-Deadline-Milliseconds: " + std::to_string(static_cast<int>(setup.deadlineMillis)) + "\r\n";
            if (setup.method == "POST") {
                request += "Content-Length: " + std::to_string(setup.bodyBytes) + "\r\n";
            }
            request += "\r\n" + std::string(setup.method == "POST" ? setup.bodyBytes : 0, 'b');
            outcome.sentAt = seconds();
            Message response;
            outcome.end = sendPaced(connection.fd, request, setup.link) ? readMessage(connection.fd, buffer, response, setup.deadlineMillis + 200)
                                                                        : ReadEnd::Broken;
            outcome.status = outcome.end == ReadEnd::Complete ? response.status() : 0;
            outcome.body = response.body.substr(0, 60);
            outcome.bodyBytes = response.body.size();
            outcome.endedAt = seconds();
            ++onConnection;
            if (outcome.end != ReadEnd::Complete || strcasecmp(response.header("Connection").c_str(), "close") == 0) {
                connection = Socket();
            }
            {
                const std::lock_guard lock(outcomesMutex);
                outcomes.push_back(outcome);
            }
            sleepMillis(setup.pauseMillis);
        }
    }).detach();
}

inline const char *nameOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Complete:
        return "answered";
    case ReadEnd::Closed:
        return "closed without an answer";
    case ReadEnd::Broken:
        return "broken off";
    case ReadEnd::TimedOut:
        return "no answer in time";
    }
    return "";
}

// Writes all outcomes with the runs of each request.
inline void recordOutcomes()
{
    const std::lock_guard lock(outcomesMutex);
    const std::lock_guard runsLock(runsMutex);
    for (const auto &it : outcomes) {
        const auto run = runs.find(it.id);
        record("request %s sent %.3f to %s%s: %s %d with %zu bytes at %.3f; runs %d%s%s",
               it.id.c_str(),
               it.sentAt,
               it.machine.c_str(),
               it.keptConnection ? " (kept connection)" : "",
               nameOf(it.end),
               it.status,
               it.bodyBytes,
               it.endedAt,
               run == runs.end() ? 0 : run->second.count,
               run == runs.end() ? "" : " at ",
               run == runs.end() ? "" : (run->second.service + " " + run->second.worker).c_str());
    }
}

// Requests that a machine in touch passed on from a kept connection to a worker, and whose connection ended without an answer.
inline int lostCalls(const Machine &machine)
{
    // The stable window after the start of a process, and the time until it is ready.
    constexpr double touchAfter = 4.5;
    const std::lock_guard lock(outcomesMutex);
    const std::lock_guard runsLock(runsMutex);
    return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome &it) {
        return it.machine == machine.name && it.keptConnection && (it.end == ReadEnd::Closed || it.end == ReadEnd::Broken)
            && runs.contains(it.id) && it.sentAt >= it.machineUpSince + touchAfter;
    }));
}

inline int servedCalls()
{
    const std::lock_guard lock(outcomesMutex);
    return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &it) { return it.status == 200; }));
}

inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline int verdict(bool broken, const char *text)
{
    record("%s: %s", broken ? "BROKEN" : "held", text);
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", text);
    return broken ? 1 : 0;
}

}

#endif
