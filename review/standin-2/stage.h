// Small stand-ins for the platform's store, for workers and for callers, and a launcher for the daemon under test.
//
// Everything listens on loopback addresses and uses free ports. Each part is a few threads with blocking sockets.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Stage
{

using Clock = std::chrono::steady_clock;

inline Clock::time_point startTime = Clock::now();

/// Milliseconds since the start of the program.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startTime).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Lines of what was sent, answered and run; also printed.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char buf[2048];
        va_list args;
        va_start(args, format);
        std::vsnprintf(buf, sizeof buf, format, args);
        va_end(args);
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f  ", nowMs() / 1000);
        m_file << stamp << buf << "\n" << std::flush;
        std::cout << stamp << buf << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// ---------------------------------------------------------------------------------------------------------------- sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int &actualPort)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t n = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
    actualPort = ntohs(address.sin_port);
    return fd;
}

/// Whether a port is free for TCP and UDP.
inline bool portIsFree(const std::string &ip, int port)
{
    auto address = addressOf(ip, port);
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool isFree = ::bind(tcp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && ::bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    ::close(tcp);
    ::close(udp);
    return isFree;
}

/// First of `count` consecutive free ports on all of the addresses.
inline int freePorts(const std::vector<std::string> &ips, int count)
{
    for (int attempt = 0; attempt < 500; ++attempt) {
        const int first = 12000 + (static_cast<int>(::getpid()) * 37 + attempt * 101) % 18000;
        bool allFree = true;
        for (int i = 0; i < count && allFree; ++i) {
            for (const auto &ip : ips) {
                allFree = allFree && portIsFree(ip, first + i);
            }
        }
        if (allFree) {
            return first;
        }
    }
    return 0;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline bool waitReadable(int fd, double ms)
{
    pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
    return ::poll(&it, 1, static_cast<int>(std::max(0.0, ms))) > 0;
}

/// Connects within a time; returns -1 if that fails.
inline int connectTo(const std::string &ip, int port, double timeoutMs, const std::function<void(int)> &prepare = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (prepare) {
        prepare(fd);
    }
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    auto address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        pollfd it{.fd = fd, .events = POLLOUT, .revents = 0};
        int error = 0;
        socklen_t n = sizeof error;
        if (errno != EINPROGRESS || ::poll(&it, 1, static_cast<int>(timeoutMs)) <= 0
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, 0);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

// ------------------------------------------------------------------------------------------------------------------- HTTP

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const
    {
        return startLine.substr(0, startLine.find(' '));
    }
    std::string target() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const
    {
        const auto at = startLine.find(' ');
        return at == std::string::npos ? 0 : std::atoi(startLine.c_str() + at);
    }
};

enum class ReadResult { Complete, Closed, Reset, TimedOut, Incomplete };

inline const char *nameOf(ReadResult result)
{
    switch (result) {
    case ReadResult::Complete:
        return "complete";
    case ReadResult::Closed:
        return "closed";
    case ReadResult::Reset:
        return "reset";
    case ReadResult::TimedOut:
        return "timed-out";
    case ReadResult::Incomplete:
        return "incomplete";
    }
    return "?";
}

/// Reads one message with a Content-Length or none; `pending` keeps what arrived beyond it.
inline ReadResult readMessage(int fd, std::string &pending, Message &message, double timeoutMs)
{
    const double limit = nowMs() + timeoutMs;
    const auto more = [&]() -> std::optional<ReadResult> {
        if (!waitReadable(fd, limit - nowMs())) {
            return ReadResult::TimedOut;
        }
        char buf[65536];
        const auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n < 0) {
            return ReadResult::Reset;
        }
        if (n == 0) {
            return pending.empty() ? ReadResult::Closed : ReadResult::Incomplete;
        }
        pending.append(buf, static_cast<std::size_t>(n));
        return std::nullopt;
    };
    std::size_t end = 0;
    while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
        if (const auto result = more()) {
            return *result;
        }
    }
    message = {};
    std::istringstream head(pending.substr(0, end));
    std::string line;
    std::getline(head, line);
    message.startLine = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (pending.size() < end + 4 + length) {
        if (const auto result = more()) {
            return *result == ReadResult::Closed ? ReadResult::Incomplete : *result;
        }
    }
    message.body = pending.substr(end + 4, length);
    pending.erase(0, end + 4 + length);
    return ReadResult::Complete;
}

inline std::string reply(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a port and serves each connection in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(int fd)>;

    bool start(const std::string &ip, Serve serve, int port = 0)
    {
        m_ip = ip;
        m_serve = std::move(serve);
        m_listener = listenOn(ip, port, m_port);
        if (m_listener < 0) {
            return false;
        }
        m_thread = std::thread([this] { accept(); });
        return true;
    }

    ~Server()
    {
        stop();
    }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        if (m_listener >= 0) {
            ::shutdown(m_listener, SHUT_RDWR);
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
        if (m_listener >= 0) {
            ::close(m_listener);
        }
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_serving > 0) {
            sleepMs(5);
        }
    }

    int port() const
    {
        return m_port;
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    bool stopped() const
    {
        return m_stopped;
    }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped) {
                    return;
                }
                sleepMs(5);
                continue;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_serving;
            std::thread([this, fd] {
                m_serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                    ::close(fd);
                }
                --m_serving;
            }).detach();
        }
    }

    std::string m_ip;
    Serve m_serve;
    int m_listener = -1;
    int m_port = 0;
    std::thread m_thread;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_serving{0};
    std::mutex m_mutex;
    std::set<int> m_open;
};

// ------------------------------------------------------------------------------------------------------------------ store

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(j <= bytes.size() - i ? digits[group >> (18 - 6 * j) & 63] : '=');
        }
    }
    return text;
}

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>(number >> (8 * i) & 255));
    }
    return text;
}

inline std::string queryOf(const std::string &target, const std::string &name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

/// The platform's store, as far as the daemon reads it: two keyed topics with one partition each.
class Store
{
public:
    bool start(const std::string &ip)
    {
        return m_server.start(ip, [this](int fd) { serve(fd); });
    }

    /// Writes a record; without a value the key is dropped. Returns the time of the confirmation.
    double put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
        return nowMs();
    }

    int port() const
    {
        return m_server.port();
    }
    const std::string &ip() const
    {
        return m_server.ip();
    }

private:
    using Log = std::vector<std::pair<std::string, std::optional<std::string>>>;

    void serve(int fd)
    {
        std::string pending;
        Message request;
        while (readMessage(fd, pending, request, 60000) == ReadResult::Complete) {
            const auto target = request.target();
            const auto topic = queryOf(target, "topic");
            std::string response;
            if (target.find("/laburnummast/log-newest") == 0) {
                response = newest(topic);
            } else if (target.find("/laburnummast/log-read") == 0) {
                response = read(
                    topic, std::strtoull(queryOf(target, "from").c_str(), nullptr, 10), std::atoi(queryOf(target, "wait-ms").c_str()));
            } else {
                response = reply(404, "", "");
            }
            if (m_server.stopped() || !sendAll(fd, response)) {
                return;
            }
        }
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard lock(m_mutex);
        const auto &log = m_topics[topic];
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < log.size(); ++i) {
            offsets[log[i].first] = i;
        }
        std::string items;
        for (const auto &[key, offset] : offsets) {
            if (log[offset].second) {
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" + base64(*log[offset].second)
                    + "\",\"offset\":" + std::to_string(offset) + "}";
            }
        }
        return reply(200,
                     "Content-Type: application/json\r\nStore-Era: 1\r\n",
                     "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(log.size()) + "}");
    }

    std::string read(const std::string &topic, std::size_t from, int waitMs)
    {
        std::unique_lock lock(m_mutex);
        const auto &log = m_topics[topic];
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return log.size() > from || m_server.stopped(); });
        if (from > log.size()) {
            return reply(410, "Content-Type: application/json\r\nStore-Era: 1\r\n", "{\"first\":0}");
        }
        std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < log.size(); ++i) {
            const auto content = std::string(1, static_cast<char>(log[i].first.size())) + log[i].first + log[i].second.value_or("");
            body += bigEndian(content.size(), 4) + content;
        }
        return reply(200, "Content-Type: application/octet-stream\r\nStore-Era: 1\r\n", body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Log> m_topics;
    Server m_server;
};

// ---------------------------------------------------------------------------------------------------------------- workers

/// A request that a worker began to work on.
struct Run
{
    double at = 0;
    std::string worker;
    std::string id;
    std::string tenant;
};

/// A worker that works for `workMs` on each request and answers with a body of its own.
class Worker
{
public:
    Worker(std::string id, std::string service, int slots)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_slots(slots)
    {
    }

    bool start(const std::string &ip)
    {
        return m_server.start(ip, [this](int fd) { serve(fd); });
    }

    void stop()
    {
        m_server.stop();
    }

    std::string record(const std::string &zone, const std::string &state = "ready") const
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.ip() + ":" + std::to_string(m_server.port())
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) + ",\"state\":\"" + state
            + "\",\"cold-remaining\":\"0ms\",\"sequence-number\":1,\"born\":1700000000000}";
    }

    const std::string &id() const
    {
        return m_id;
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::atomic<double> workMs{5};
    std::atomic<std::size_t> answerBytes{200};
    /// Called instead of the usual answer, if set; returns false to end the connection.
    std::function<bool(int fd, const Message &request)> onRequest;

private:
    void serve(int fd)
    {
        std::string pending;
        Message request;
        while (readMessage(fd, pending, request, 15000) == ReadResult::Complete) {
            if (request.target() == "/health") {
                if (!sendAll(fd, reply(200, "Laburnummast-Instance-Id: " + m_id + "\r\n" + loadHeader(), ""))) {
                    return;
                }
                continue;
            }
            const auto id = request.header("Laburnummast-Request-Id");
            const auto echo = "Laburnummast-Request-Id: " + id + "\r\n";
            const auto expected = request.header("Laburnummast-Expected-Instance");
            if (!expected.empty() && expected != m_id) {
                sendAll(fd, reply(421, echo + "Laburnummast-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            if (++m_running > m_slots * 3) {
                --m_running;
                if (!sendAll(fd, reply(503, echo + "Laburnummast-Not-Executed: 1\r\n" + loadHeader(), ""))) {
                    return;
                }
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({.at = nowMs(), .worker = m_id, .id = id, .tenant = request.header("Laburnummast-Tenant-Name")});
            }
            bool goesOn = true;
            if (onRequest) {
                goesOn = onRequest(fd, request);
            } else {
                sleepMs(workMs);
                goesOn = sendAll(
                    fd,
                    reply(200, echo + "Laburnummast-Response-Signature: s." + id + "\r\n" + loadHeader(), std::string(answerBytes, 'a')));
            }
            --m_running;
            if (!goesOn) {
                return;
            }
        }
    }

    std::string loadHeader() const
    {
        const int running = std::min<int>(m_running, m_slots);
        return "Laburnummast-Server-Load: " + std::to_string(running) + "," + std::to_string(std::max<int>(0, m_running - m_slots)) + ","
            + std::to_string(m_slots) + ",100\r\n";
    }

    std::string m_id;
    std::string m_service;
    int m_slots;
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

// ----------------------------------------------------------------------------------------------------------------- daemon

struct DaemonOptions
{
    std::string name = "front-a-1";
    std::string ip = "127.0.0.1";
    std::string zone = "zone-a";
    int firstPort = 0;
    std::string seeds = {};
    int memoryMb = 260;
    int descriptors = 4100;
    /// Further lines of the settings file, such as bounds.
    std::string lines = {};
};

/// Ports from the first one: front, readiness, directory, control; the internal range follows.
constexpr int portsPerDaemon = 20;

class Daemon
{
public:
    Daemon(std::string program, std::string folder, const Store &store, DaemonOptions options)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_options(std::move(options))
    {
        std::ofstream file(settingsPath());
        const auto address = [&](int port) { return m_options.ip + ":" + std::to_string(m_options.firstPort + port); };
        file << "self.node-name=" << m_options.name << "\nself.role=entry\nself.machine-class=front\nself.serves=front,directory,control\n"
             << "self.ip=" << m_options.ip << "\nself.zone=" << m_options.zone << "\nself.region=region-a\nself.counts-as-loss=false\n"
             << "self.bootstrap=true\nself.limits.cpu-share=0.2\nself.limits.cores=1\nself.limits.memory-mb=" << m_options.memoryMb
             << "\nself.limits.fd-limit=" << m_options.descriptors << "\nself.limits.link-mbps=1000.0\nself.limits.disk-mb=0\n"
             << "network.listen.front=" << address(0) << "\nnetwork.listen.ready=" << address(1)
             << "\nnetwork.listen.directory=" << address(2) << "\nnetwork.listen.control=" << address(3)
             << "\nnetwork.internal-port-range=" << m_options.firstPort + 4 << "," << m_options.firstPort + portsPerDaemon - 1 << "\n"
             << "network.seeds=" << m_options.seeds << "\nplatform.platform.address=" << store.ip() << ":" << store.port() << "\n"
             << "platform.platform.form=log\nplatform.heartbeat-interval=1500ms\n"
             << "terms.bounds.stable-window=3000ms\nterms.bounds.catch-up=4s\nterms.bounds.drain=2000ms\nterms.bounds.grace-period=6s\n"
             << "terms.bounds.config-apply=2000ms\nterms.bounds.retry-budget-ratio=0.2\nterms.bounds.budget-window=10s\n"
             << "terms.bounds.budget-slack=64\nterms.bounds.recovery=15s\nterms.bounds.ttl_max=5s\nterms.bounds.probes-per-s=60\n"
             << m_options.lines;
    }

    ~Daemon()
    {
        kill();
    }

    void start()
    {
        const auto log = m_folder + "/" + m_options.name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            const rlimit limit{.rlim_cur = static_cast<rlim_t>(m_options.descriptors),
                               .rlim_max = static_cast<rlim_t>(m_options.descriptors)};
            ::setrlimit(RLIMIT_NOFILE, &limit);
            ::setenv("LABURNUMMAST_NODE_FILE", settingsPath().c_str(), 1);
            ::execl(m_program.c_str(), m_program.c_str(), nullptr);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    /// Whether the process still runs; remembers how it ended.
    bool running()
    {
        if (m_pid <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = status;
            m_pid = -1;
            return false;
        }
        return true;
    }

    std::string howEnded() const
    {
        return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status))
                                     : "exit code " + std::to_string(WEXITSTATUS(m_status));
    }

    pid_t pid() const
    {
        return m_pid;
    }
    int port(int offset = 0) const
    {
        return m_options.firstPort + offset;
    }
    const DaemonOptions &options() const
    {
        return m_options;
    }

    /// The platform's own check; 0 if there is no answer within a second.
    int readiness(double timeoutMs = 1000) const
    {
        const int fd = connectTo(m_options.ip, port(1), timeoutMs);
        if (fd < 0) {
            return 0;
        }
        std::string pending;
        Message message;
        sendAll(fd, "GET /laburnummast/readiness HTTP/1.1\r\nHost: " + m_options.ip + "\r\nConnection: close\r\n\r\n");
        const auto result = readMessage(fd, pending, message, timeoutMs);
        ::close(fd);
        return result == ReadResult::Complete ? message.status() : 0;
    }

    bool waitUntilReady(double ms = 15000)
    {
        const double limit = nowMs() + ms;
        while (nowMs() < limit && running()) {
            if (readiness() == 200) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    /// Resident bytes of the process.
    std::size_t residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return static_cast<std::size_t>(std::atoll(line.c_str() + 6)) * 1024;
            }
        }
        return 0;
    }

private:
    std::string settingsPath() const
    {
        return m_folder + "/" + m_options.name + ".conf";
    }

    std::string m_program;
    std::string m_folder;
    DaemonOptions m_options;
    pid_t m_pid = -1;
    int m_status = 0;
};

// ----------------------------------------------------------------------------------------------------------------- callers

struct Answer
{
    ReadResult result = ReadResult::TimedOut;
    int status = 0;
    /// Time from the end of the request to its answer, or until the caller gave up.
    double ms = 0;
    /// The connection was there within a second and took the whole request.
    bool sent = false;
    Message message;
};

inline std::string callHead(const std::string &method,
                            const std::string &target,
                            const std::string &host,
                            const std::string &id,
                            int deadlineMs,
                            const std::string &headers = {},
                            std::optional<std::size_t> bodyBytes = std::nullopt)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nLaburnummast-Request-Id: " + id
        + "\r\nLaburnummast-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n" + headers
        + (bodyBytes ? "Content-Length: " + std::to_string(*bodyBytes) + "\r\n" : "") + "\r\n";
}

/// Sends one request on a connection of its own and waits for its answer.
inline Answer call(const std::string &ip, int port, const std::string &bytes, double timeoutMs)
{
    Answer answer;
    double from = nowMs();
    const int fd = connectTo(ip, port, std::min(timeoutMs, 1000.0));
    if (fd >= 0) {
        std::string pending;
        answer.sent = sendAll(fd, bytes);
        if (answer.sent) {
            from = nowMs();
            answer.result = readMessage(fd, pending, answer.message, timeoutMs);
            answer.status = answer.result == ReadResult::Complete ? answer.message.status() : 0;
        }
        ::close(fd);
    }
    answer.ms = nowMs() - from;
    return answer;
}

/// One request of an ordinary caller.
struct OrdinaryCall
{
    double sentAt = 0;
    std::string id;
    Answer answer;
};

/// Callers that each send a request on a new connection at a fixed interval and wait for its answer until their deadline.
///
/// The requests are of a kind that may not be repeated; of one that may be, a caller abandons an attempt that is not read in time.
class OrdinaryCallers
{
public:
    struct Options
    {
        int callers = 4;
        double intervalMs = 250;
        std::string target = "/r/x";
        int deadlineMs = 3000;
    };

    OrdinaryCallers(std::string ip, int port, Options options)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_options(std::move(options))
    {
        for (int i = 0; i < m_options.callers; ++i) {
            m_threads.emplace_back([this, i] { run(i); });
        }
    }

    ~OrdinaryCallers()
    {
        stop();
    }

    void stop()
    {
        m_stopped = true;
        for (auto &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    /// The requests that were sent in a time span and are over.
    std::vector<OrdinaryCall> sentBetween(double from, double to)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<OrdinaryCall> calls;
        for (const auto &it : m_calls) {
            if (it.sentAt >= from && it.sentAt < to) {
                calls.push_back(it);
            }
        }
        return calls;
    }

private:
    void run(int caller)
    {
        const std::string body = "tap";
        sleepMs(m_options.intervalMs * caller / m_options.callers);
        for (int n = 0; !m_stopped; ++n) {
            OrdinaryCall it;
            it.sentAt = nowMs();
            it.id = "caller-" + std::to_string(caller) + "-" + std::to_string(n);
            const auto head = callHead("POST", m_options.target, "h.example", it.id, m_options.deadlineMs, {}, body.size());
            it.answer = call(m_ip, m_port, head + body, m_options.deadlineMs);
            {
                const std::lock_guard lock(m_mutex);
                m_calls.push_back(it);
            }
            sleepMs(std::max(0.0, m_options.intervalMs - (nowMs() - it.sentAt)));
        }
    }

    std::string m_ip;
    int m_port;
    Options m_options;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<OrdinaryCall> m_calls;
    std::vector<std::thread> m_threads;
};

/// How ordinary requests were answered, by the route's timeout and half a second later. Requests that could not be sent don't count.
struct TimeoutCount
{
    int notSent = 0;
    int sent = 0;
    int served = 0;
    int refused = 0;
    int failed = 0;
    int none = 0;
    int unansweredAtTimeout = 0;
    int unansweredLater = 0;

    TimeoutCount(const std::vector<OrdinaryCall> &calls, double timeoutMs)
    {
        for (const auto &it : calls) {
            const int status = it.answer.status;
            if (!it.answer.sent) {
                ++notSent;
                continue;
            }
            ++sent;
            ++(status == 200 ? served : status == 503 || status == 429 ? refused : status != 0 ? failed : none);
            unansweredAtTimeout += status == 0 || it.answer.ms > timeoutMs ? 1 : 0;
            unansweredLater += status == 0 || it.answer.ms > timeoutMs + 500 ? 1 : 0;
        }
    }

    /// More than half of the requests that are unanswered at the timeout have no answer half a second later; eight or more of them, and
    /// over a quarter of all.
    bool breaksTimeout() const
    {
        return unansweredLater >= 8 && 2 * unansweredLater > unansweredAtTimeout && 4 * unansweredLater > sent;
    }
};

/// The platform's check of readiness, once a second.
class ReadinessCheck
{
public:
    explicit ReadinessCheck(const Daemon &daemon)
        : m_thread([this, &daemon] {
            while (!m_stopped) {
                const double at = nowMs();
                const int status = daemon.readiness(1000);
                {
                    const std::lock_guard lock(m_mutex);
                    m_results.emplace_back(at, status);
                }
                while (!m_stopped && nowMs() < at + 1000) {
                    sleepMs(20);
                }
            }
        })
    {
    }

    ~ReadinessCheck()
    {
        stop();
    }

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    std::vector<std::pair<double, int>> results()
    {
        const std::lock_guard lock(m_mutex);
        return m_results;
    }

private:
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::pair<double, int>> m_results;
    std::thread m_thread;
};

inline std::string route(const std::string &name,
                         const std::string &prefix,
                         const std::string &kind,
                         const std::string &service,
                         int timeoutMs,
                         int targetLatencyMs = 500)
{
    return "\"" + name + "\":{\"host\":\"h.example\",\"path-prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout\":\""
        + std::to_string(timeoutMs) + "ms\",\"target-latency\":\"" + std::to_string(targetLatencyMs) + "ms\",\"priority\":0,\"service\":\""
        + service + "\",\"max-attempts\":2,\"public\":false}";
}

inline std::string manifest(int version, const std::string &routes, const std::string &services, const std::string &further = {})
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":{" + routes + "},\"services\":{" + services
        + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}"
        + further + "}";
}

inline std::string serviceEntry(const std::string &name)
{
    return "\"" + name + "\":{\"health-check-path\":\"/health\",\"max-connections\":260,\"protocol\":\"h1\",\"tls\":false}";
}

/// A temporary folder that is removed at the end, unless KEEP is set.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/review-stage-XXXXXX";
        m_path = ::mkdtemp(name);
    }
    ~TemporaryFolder()
    {
        if (std::getenv("KEEP")) {
            std::cout << "kept " << m_path << "\n";
            return;
        }
        if (DIR *folder = ::opendir(m_path.c_str())) {
            while (const auto *it = ::readdir(folder)) {
                ::unlink((m_path + "/" + it->d_name).c_str());
            }
            ::closedir(folder);
        }
        ::rmdir(m_path.c_str());
    }
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/// Whether the third argument of a stand-in asks for the disruption; TROUBLE=0 of the scripts is passed on as "0".
inline bool trouble(int argc, char **argv)
{
    return argc <= 3 || std::string(argv[3]) != "0";
}

}
