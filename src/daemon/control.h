#ifndef LABURNUMMAST_DAEMON_CONTROL_H
#define LABURNUMMAST_DAEMON_CONTROL_H

#include "core/membership/membership.h"
#include "daemon/configreplica.h"
#include "daemon/keyguard.h"
#include "daemon/logoutbox.h"
#include "daemon/logtail.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"
#include "daemon/usagereporter.h"
#include "daemon/workerpool.h"
#include "net/peerserver.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace Laburnummast::Daemon
{

/// What control spends, for the budget.
struct ControlResourceUse
{
    double cpuSeconds = 0;
    double wallSeconds = 0;
    std::uint64_t bytes = 0;
};

/// The control thread: membership, configuration, usage, and what of them is shared.
class Control
{
public:
    Control(const Settings &settings, const Usage::UsageSource &identity, std::string peerKey, Traffic &traffic, KeyGuard &keys);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    /// Starts the threads; the failure, if any, is the address that could not be had.
    std::optional<Membership::Address> start();
    void stop();

    /// Takes new seeds and host lists from re-read settings.
    void reload(const Settings &settings);
    /// Tells the others that this member takes no new callers.
    void leave();
    /// Hands keys and counters over and says goodbye.
    void handOver();
    /// An upstream said with an answer that it drains: tell the others.
    void announceUpstreamDraining(const std::string &service, const std::string &upstream);

    ConfigReplica &config()
    {
        return m_config;
    }
    const ConfigReplica &config() const
    {
        return m_config;
    }
    const Net::LogClient &log() const
    {
        return m_log;
    }
    Membership::Member self() const;

    ControlResourceUse resourceUse() const;
    nlohmann::json dump() const;

private:
    struct Counters
    {
        std::atomic<std::uint64_t> configFetches = 0;
        std::atomic<std::uint64_t> divergences = 0;
        std::atomic<std::uint64_t> falseDeaths = 0;
    };

    void tick();
    void performActions(const Membership::MembershipActions &actions);
    void handleMemberChange(const Membership::MemberChanged &change);
    void publishMembers();
    Net::PeerReply handlePeerRequest(const Net::PeerRequest &request);

    void applyRecords(const std::vector<Net::LogRecord> &records);
    bool applySnapshot(const std::string &bytes);
    void handleConfigChange();
    void fetchConfigIfBehind();
    void fetchConfigFrom(const Membership::Member &member);
    void writeSnapshotIfDue();

    void pollHostLists();
    void applyHostList(const std::string &text);

    Settings m_settings;
    std::string m_peerKey;
    Traffic &m_traffic;
    KeyGuard &m_keys;

    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    Net::PeerServer m_peerServer;
    Membership::Membership m_membership;
    bool m_membersChanged = true;
    bool m_configFetchRunning = false;
    std::set<std::string> m_divergedHosts;
    Config::Offset m_lastSnapshotOffset = Config::noOffset;
    Millis m_nextUsageShare;
    Millis m_nextUsageLog;
    Millis m_nextHostListPoll;

    ConfigReplica m_config;
    mutable std::mutex m_selfMutex;
    Membership::Member m_publishedSelf;

    Net::LogClient m_log;
    LogOutbox m_logOutbox;
    LogTail m_logTail;
    WorkerPool m_workers;
    UsageReporter m_usageReporter;
    Counters m_counters;
    Millis m_startedAt;
    std::atomic<double> m_cpuSeconds = 0;
    std::thread m_thread;
};

}

#endif
