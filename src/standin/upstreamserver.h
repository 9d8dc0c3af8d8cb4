#ifndef LABURNUMMAST_STANDIN_UPSTREAMSERVER_H
#define LABURNUMMAST_STANDIN_UPSTREAMSERVER_H

#include "core/millis.h"
#include "net/httpserver.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Laburnummast::Standin
{

struct UpstreamServerOptions
{
    /// Calls that run at once.
    int slots = 3;
    Millis median{10};
    /// Spread of the log-normal time of a call.
    double sigma = 0.5;
    /// Calls that wait before more are shed.
    std::uint64_t queueLimit = 60;
    std::size_t answerBytes = 200;
    std::uint64_t seed = 1;
};

/// Faults that can be set at run time.
struct Faults
{
    std::atomic<bool> draining = false;
    std::atomic<bool> failFast = false;
    std::atomic<bool> misleading = false;
    std::atomic<double> slowFactor = 1;
    std::atomic<double> silentBefore = 0;
    std::atomic<int> wrongId = 0;
    std::atomic<int> truncate = 0;
    std::atomic<int> garbage = 0;
    std::atomic<int> twice = 0;
};

/// A server with slots: reports load, sheds, drains, and fails in the ways the brief names.
class UpstreamServer
{
public:
    explicit UpstreamServer(const UpstreamServerOptions &options);

    void handle(Net::ServerRequest &request);

private:
    void setFaults(Net::ServerRequest &request);
    void sendKeys(Net::ServerRequest &request);
    void cancel(Net::ServerRequest &request, const std::string &id);
    bool swallowed(const Net::ServerRequest &request);
    void serveCall(Net::ServerRequest &request);
    bool takeSlot(const std::string &id);
    void shed(Net::ServerRequest &request);
    void countKey(const std::string &key);
    Millis serviceTime();
    std::vector<Net::Header> loadHeaders();
    static bool takeFault(std::atomic<int> &left);
    void finish(Net::ServerRequest &request, std::size_t received);
    void answer(Net::ServerRequest &request, int status, std::string body);

    UpstreamServerOptions m_options;
    Faults m_faults;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::mt19937_64 m_random;
    int m_free;
    std::uint64_t m_next = 0;
    std::uint64_t m_serving = 0;
    std::set<std::string> m_waitingIds;
    std::set<std::string> m_cancelled;
    std::map<std::string, int> m_keys;
    std::set<int> m_seenPorts;
    std::set<int> m_silentPorts;
};

}

#endif
