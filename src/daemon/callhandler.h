#ifndef LABURNUMMAST_DAEMON_CALLHANDLER_H
#define LABURNUMMAST_DAEMON_CALLHANDLER_H

#include "daemon/callcontext.h"
#include "daemon/keyguard.h"
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

/// Why a call was answered by the daemon itself.
enum class CallFailure : std::uint8_t {
    BadRequest,
    UnknownPath,
    WrongCredential,
    NotAllowed,
    UnknownService,
    UnknownRoute,
    TooLarge,
    NotRun,
    Superseded,
    Unknown,
    NoConfiguration,
};

constexpr std::size_t callFailureCount = 11;

std::string_view nameOf(CallFailure failure);

/// Counts since the start, by how calls ended.
struct CallCounters
{
    std::atomic<std::uint64_t> done = 0;
    std::atomic<std::uint64_t> replayed = 0;
    std::array<std::atomic<std::uint64_t>, callFailureCount> failed{};
    std::atomic<std::int64_t> inFlight = 0;
    std::atomic<std::int64_t> bufferedBytes = 0;
    std::atomic<std::uint64_t> entriesAnswered = 0;
};

/// Serves callers: entry lists and calls.
class CallHandler
{
public:
    CallHandler(const Settings &settings, Traffic &traffic, KeyGuard &keys);

    void handle(Net::ServerRequest &request);
    /// From here on every connection ends after its answer.
    void drain()
    {
        m_draining = true;
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
    void answer(Call &call, const CallResult &result);
    void relay(Call &call, UpstreamAnswer &answer);
    void relayStreamed(Call &call, UpstreamAnswer &answer);
    void replay(Call &call, const Idempotency::StoredAnswer &stored);
    void finishKey(const Call &call, const CallResult &result);
    void recordUsage(const Call &call, const CallResult &result);
    void fail(Call &call, CallFailure failure, std::string_view reason, Millis retryAfter = {});
    std::string nextRequestId(const Net::ServerRequest &request);

    Settings m_settings;
    Traffic &m_traffic;
    KeyGuard &m_keys;
    CallCounters m_counters;
    std::atomic<std::uint64_t> m_nextCall = 1;
    std::atomic<std::uint64_t> m_entryRotation = 0;
    std::uint64_t m_runId;
    std::atomic<bool> m_draining = false;
};

}

#endif
