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
    Millis medianServiceTime{10};
    /// Spread of the log-normal time of a call.
    double sigma = 0.5;
    /// Calls that wait before more are shed.
    std::uint64_t queueLimit = 60;
    std::size_t responseBytes = 200;
    std::uint64_t seed = 1;
};

/// Faults that can be set at run time.
struct UpstreamFaults
{
    std::atomic<bool> draining = false;
    std::atomic<bool> failFast = false;
    std::atomic<bool> reportZeroLoad = false;
    std::atomic<double> slowFactor = 1;
    std::atomic<double> silentBefore = 0;
    std::atomic<int> wrongIdResponses = 0;
    std::atomic<int> truncatedResponses = 0;
    std::atomic<int> malformedResponses = 0;
    std::atomic<int> duplicatedResponses = 0;
};

/// A server with slots: reports load, sheds, drains, and fails in the ways the brief names.
class UpstreamServer
{
public:
    explicit UpstreamServer(const UpstreamServerOptions &options);

    void handle(Net::ServerRequest &request);

private:
    void setFaults(Net::ServerRequest &request);
    void sendExecutionCounts(Net::ServerRequest &request);
    void cancelWaiting(Net::ServerRequest &request, const std::string &id);
    bool isOnSilentConnection(const Net::ServerRequest &request);
    void serveCall(Net::ServerRequest &request);
    bool acquireSlot(const std::string &id);
    void sendShed(Net::ServerRequest &request);
    void countExecution(const std::string &key);
    Millis sampleServiceTime();
    std::vector<Net::Header> loadHeaders();
    static bool consumeFault(std::atomic<int> &remaining);
    void sendResult(Net::ServerRequest &request, std::size_t receivedBytes);
    void respond(Net::ServerRequest &request, int status, std::string body);

    UpstreamServerOptions m_options;
    UpstreamFaults m_faults;
    std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::mt19937_64 m_random;
    int m_freeSlots;
    std::uint64_t m_nextTicket = 0;
    std::uint64_t m_servingTicket = 0;
    std::set<std::string> m_waitingIds;
    std::set<std::string> m_cancelledIds;
    std::map<std::string, int> m_executionsByKey;
    std::set<int> m_seenPorts;
    std::set<int> m_silentPorts;
};

}

#endif
