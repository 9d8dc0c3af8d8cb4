#ifndef LABURNUMMAST_DAEMON_SETTINGS_H
#define LABURNUMMAST_DAEMON_SETTINGS_H

#include "core/config/settingerror.h"
#include "core/membership/member.h"
#include "core/millis.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

/// Settings of one daemon; docs/CONFIGURATION.md describes each key.
struct Settings
{
    /// Name of this host; identifies the daemon.
    std::string host;
    /// Failure domain of the host.
    std::string domain;

    /// Accepts calls.
    Membership::Address entryAddress;
    /// Threads of the server on the entry address.
    std::int64_t entryThreads = 512;
    /// Timeout of requests on the entry and the admin address.
    Millis requestTimeout{10000};
    /// How long an idle connection of a caller is kept.
    Millis keepAliveTimeout{5000};
    /// How long callers may use an entry list.
    Millis entryTtl{3000};

    /// Serves the admin interface.
    Membership::Address adminAddress;
    /// Threads of the server on the admin address.
    std::int64_t adminThreads = 8;

    /// Receives messages and requests of other daemons.
    Membership::Address peerAddress;
    /// File with the key that all daemons share.
    std::string peerKeyFile;
    /// Peer addresses to contact first.
    std::vector<Membership::Address> seeds;

    /// The log service.
    Membership::Address logAddress;
    /// How long one read of the log waits for new records.
    Millis logPollTimeout{2000};
    /// Number of daemons that read the log; the others get records from them.
    std::int64_t logReaderCount = 3;
    /// Number of note records after which a snapshot of the configuration is written to the log.
    std::int64_t recordsPerSnapshot = 200;

    /// Servers of the platform's host list.
    std::vector<Membership::Address> hostListAddresses;
    /// Interval between requests for the host list.
    Millis hostListInterval{5000};

    /// File with the operators' credential.
    std::string operatorKeyFile;

    /// Most bytes of a request or response body that a call buffers; the rest is streamed.
    std::int64_t bufferedBytes = 256 << 10;
    /// Most bytes of buffered request bodies, over all calls.
    std::int64_t memoryBytes = 256 << 20;
    /// Most threads that run attempts at upstreams.
    std::int64_t attemptThreads = 256;
    /// Number of daemons among which the connections of an upstream are divided.
    std::int64_t connectionDaemons = 16;
    /// Connections to keep open to each upstream, idle or in use.
    std::int64_t warmConnections = 2;
    /// An upstream connection that was idle for longer is not used again.
    Millis connectionIdleTimeout{15000};
    /// How long a drain waits for calls in flight, counted from the expiry of the last entry list.
    Millis drainTimeout{10000};

    /// Most probes per second of one service, over all its upstreams.
    std::int64_t probesPerSecond = 2;
    /// Time without a report from an upstream after which it is probed.
    Millis probeAfter{5000};
    /// Hedges allowed per 100 idempotent calls; 0 turns hedging off.
    std::int64_t hedgePercent = 2;

    /// How long after its first attempt a call may be repeated; finished keys are kept this long.
    Millis keyRepeatWindow{600000};
    /// Most idempotency keys to keep.
    std::int64_t maxKeys = 100000;
    /// Most bytes of estimated memory for all keys and their stored answers.
    std::int64_t maxKeyBytes = 8 << 20;

    /// Interval between copies of the usage counters to peers.
    Millis usageShareInterval{1000};
    /// Interval between usage records in the log.
    Millis usageLogInterval{60000};
};

/// Parses and checks the text of a settings file, and returns all errors at once; `source` names the file in them.
Result<Settings, Config::SettingErrors> parseSettings(std::string_view text, std::string_view source);

}

#endif
