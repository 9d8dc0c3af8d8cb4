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
    std::string host;
    std::string domain;

    Membership::Address entryAddress;
    std::int64_t entryThreads = 512;
    Millis requestTimeout{10000};
    Millis keepAliveTimeout{5000};
    Millis entryTtl{3000};

    Membership::Address adminAddress;
    std::int64_t adminThreads = 8;

    Membership::Address peerAddress;
    std::string peerKeyFile;
    std::vector<Membership::Address> seeds;

    Membership::Address logAddress;
    Millis logPollTimeout{2000};
    std::int64_t logReaderCount = 3;
    std::int64_t snapshotInterval = 200;

    std::vector<Membership::Address> hostListAddresses;
    Millis hostListInterval{5000};

    std::string operatorKeyFile;

    std::int64_t bufferedBytes = 256 << 10;
    std::int64_t memoryBytes = 256 << 20;
    std::int64_t attemptThreads = 256;
    std::int64_t connectionDaemons = 16;
    std::int64_t warmConnections = 2;
    Millis idleConnection{15000};
    Millis drainTimeout{10000};

    std::int64_t probesPerSecond = 2;
    Millis probeAfter{5000};
    std::int64_t hedgePercent = 2;

    Millis keyRepeatWindow{600000};
    std::int64_t maxKeys = 100000;
    std::int64_t maxKeyBytes = 8 << 20;

    Millis usageShareInterval{1000};
    Millis usageLogInterval{60000};
};

/// Reads and checks the text of a settings file; `source` names it in errors.
Result<Settings, Config::SettingErrors> parseSettings(std::string_view text, std::string_view source);

}

#endif
