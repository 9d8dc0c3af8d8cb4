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

/// Settings of a stand-in upstream.
struct UpstreamServerOptions
{
    /// Number of calls processed at once.
    int slots = 3;
    /// Service times follow a log-normal distribution with this median.
    Millis medianServiceTime{10};
    /// Sigma of the log-normal distribution of service times.
    double sigma = 0.5;
    /// Number of calls that may wait for a slot; further calls are shed, that is, refused without being executed.
    std::uint64_t queueLimit = 60;
    /// Minimum length of a successful response's body; shorter bodies are padded.
    std::size_t minResponseBytes = 200;
    /// Seed of the random service times.
    std::uint64_t seed = 1;
};

/// Faults that can be injected at run time through /_faults.
struct UpstreamFaults
{
    /// Sheds every new call and reports that the upstream is draining.
    std::atomic<bool> draining = false;
    /// Answers every call with status 500 without executing it.
    std::atomic<bool> failFast = false;
    /// Reports no calls in flight, whatever the real load.
    std::atomic<bool> reportZeroLoad = false;
    /// Factor on the service times.
    std::atomic<double> slowFactor = 1;
    /// Unused.
    std::atomic<double> silentBefore = 0;
    /// Number of further responses that carry a request id other than the call's.
    std::atomic<int> wrongIdResponsesLeft = 0;
    /// Number of further responses that end after half of their body.
    std::atomic<int> truncatedResponsesLeft = 0;
    /// Number of further responses that are replaced by bytes that are not HTTP.
    std::atomic<int> malformedResponsesLeft = 0;
    /// Number of further responses that are sent twice.
    std::atomic<int> duplicatedResponsesLeft = 0;
};

/// Stand-in upstream with a limited number of slots and a queue in front of them.
///
/// Reports its load in response headers, sheds calls while its queue is full or it drains, and injects faults on request.
/// Serves /_load, /_faults, /_keys and /_calls/ID; every other path is a call.
class UpstreamServer
{
public:
    explicit UpstreamServer(const UpstreamServerOptions &options);

    /// Handles one request; may be called from several threads at once.
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
    void sendResponseWithLoad(Net::ServerRequest &request, int status, std::string body);

    UpstreamServerOptions m_options;
    UpstreamFaults m_faults;
    std::mutex m_mutex;
    /// Signals that a slot was freed, that another ticket is first in the queue, or that a call was cancelled.
    std::condition_variable m_queueChanged;
    std::mt19937_64 m_random;
    int m_freeSlots;
    /// Ticket of the next call that arrives.
    std::uint64_t m_nextTicket = 0;
    /// Lowest ticket that still waits for a slot; equals `m_nextTicket` if none waits.
    std::uint64_t m_firstWaitingTicket = 0;
    /// Request ids of the calls that wait for a slot, and of those among them that were cancelled.
    std::set<std::string> m_waitingIds;
    std::set<std::string> m_cancelledIds;
    /// How often each idempotency key was executed.
    std::map<std::string, int> m_executionsByKey;
    /// Remote ports of all connections that carried a call.
    std::set<int> m_seenPorts;
    /// Remote ports of the connections whose calls get no response.
    std::set<int> m_silentPorts;
};

}

#endif
