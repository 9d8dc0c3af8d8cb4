#ifndef LABURNUMMAST_DAEMON_CALLHANDLER_H
#define LABURNUMMAST_DAEMON_CALLHANDLER_H

#include "daemon/callcontext.h"
#include "daemon/keycoordinator.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"
#include "net/httpserver.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace Laburnummast::Daemon
{

/// Reason why the daemon answers a call itself instead of relaying an upstream's answer.
enum class CallFailure : std::uint8_t {
    BadRequest,
    UnknownPath,
    WrongCredential,
    /// The service belongs to another owner.
    NotAllowed,
    UnknownService,
    UnknownRoute,
    TooLarge,
    /// The call was refused and certainly did not run.
    NotRun,
    /// A later attempt of the call has claimed its idempotency key.
    Superseded,
    /// The call may have run.
    Unknown,
    /// No configuration has been received yet.
    NoConfiguration,
};

/// Number of CallFailure values.
constexpr std::size_t callFailureCount = 11;

/// Name of `failure` in answers and metrics.
std::string_view nameOf(CallFailure failure);

/// Counters since the start of the process, and current values.
struct CallCounters
{
    /// Calls for which an upstream's answer was relayed.
    std::atomic<std::uint64_t> done = 0;
    /// Repeats that were answered with a stored answer.
    std::atomic<std::uint64_t> replayed = 0;
    /// Calls that the daemon answered itself, indexed by CallFailure.
    std::array<std::atomic<std::uint64_t>, callFailureCount> failed{};
    /// Calls being handled now.
    std::atomic<std::int64_t> inFlight = 0;
    /// Bytes of request bodies that are buffered now.
    std::atomic<std::int64_t> bufferedBytes = 0;
    /// Entry lists sent.
    std::atomic<std::uint64_t> entriesAnswered = 0;
};

/// Handles the HTTP requests of callers: entry lists and calls.
class CallHandler
{
public:
    CallHandler(const Settings &settings, Traffic &traffic, KeyCoordinator &keys);

    /// Answers one request; blocks until its call has finished.
    void handle(Net::ServerRequest &request);
    /// From now on, every connection of a caller is closed after its next answer.
    void drain()
    {
        m_draining = true;
    }
    /// Refuses the calls that come from now on; those that are being handled go on.
    void refuseCalls()
    {
        m_refusing = true;
    }
    const CallCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Call;

    void handleEntries(Net::ServerRequest &request);
    void handleCall(Net::ServerRequest &request);
    bool resolveCall(Call &call);
    bool readBody(Call &call);
    bool prepareCall(Call &call);
    void runCall(Call &call);
    void sendResult(Call &call, const CallResult &result);
    void relayAnswer(Call &call, UpstreamAnswer &answer);
    void relayStreamedAnswer(Call &call, UpstreamAnswer &answer);
    void replayAnswer(Call &call, const Idempotency::StoredAnswer &stored);
    void finishKey(const Call &call, const CallResult &result);
    void recordUsage(const Call &call, const CallResult &result);
    void sendFailure(Call &call, CallFailure failure, std::string_view reason, Millis retryAfter = {});
    std::string requestIdOf(const Net::ServerRequest &request);

    Settings m_settings;
    Traffic &m_traffic;
    KeyCoordinator &m_keys;
    CallCounters m_counters;
    std::atomic<std::uint64_t> m_nextCallId = 1;
    std::atomic<std::uint64_t> m_entryRotation = 0;
    std::uint64_t m_runId;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_refusing = false;
};

}

#endif
