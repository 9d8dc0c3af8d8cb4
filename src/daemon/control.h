#ifndef LABURNUMMAST_DAEMON_CONTROL_H
#define LABURNUMMAST_DAEMON_CONTROL_H

#include "core/membership/membership.h"
#include "daemon/configreplica.h"
#include "daemon/keycoordinator.h"
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
#include <random>
#include <set>
#include <string>
#include <thread>

namespace Laburnummast::Daemon
{

/// Resources that the control plane of this process used since its start.
struct ControlResourceUse
{
    /// Processor time of the control thread.
    double cpuSeconds = 0;
    /// Elapsed time since the start.
    double wallSeconds = 0;
    /// Bytes that the peer port received and sent, and bytes appended to the log.
    std::uint64_t bytes = 0;
};

/// Control plane of a daemon: membership, configuration, usage reports and the peer port.
///
/// One thread runs it. It passes configuration and members on to Traffic; requests that block run on worker threads.
class Control
{
public:
    Control(const Settings &settings, const Usage::UsageSource &identity, std::string peerKey, Traffic &traffic, KeyCoordinator &keys);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    /// Starts the peer port and all threads; returns the peer address if it could not be bound.
    std::optional<Membership::Address> start();
    /// Stops all threads; requests that are still queued are dropped.
    void stop();

    /// Applies new seeds, host lists, intervals and the number of log readers; other settings need a restart.
    void reload(const Settings &settings);
    /// Announces to the other members that this one takes no new callers.
    void leave();
    /// Transfers idempotency keys and usage counters to peers and announces that this process ends.
    ///
    /// Blocks until the peers have acknowledged the keys and the log has stored the pending records, or these requests have timed out.
    void handOver();
    /// Announces to the other serving members that an upstream reported itself draining.
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
    /// This member, as last passed on to traffic.
    Membership::Member self() const;

    /// Resources used since the start.
    ControlResourceUse resourceUse() const;
    /// State of the control plane for the admin interface.
    nlohmann::json dump() const;

private:
    struct Counters
    {
        /// Requests for the records that are missing here, sent to a peer with a higher offset.
        std::atomic<std::uint64_t> configFetches = 0;
        /// Times that a member began to differ in its configuration hash at the same offset.
        std::atomic<std::uint64_t> divergences = 0;
        /// Times that a member which had been declared dead refuted it.
        std::atomic<std::uint64_t> falseDeaths = 0;
    };

    void tick();
    void performActions(const Membership::MembershipActions &actions);
    void handleMemberChange(const Membership::MemberChanged &change);
    void publishMembers();
    Net::PeerReply handlePeerRequest(const Net::PeerRequest &request);

    void applyRecords(const std::vector<Net::LogRecord> &records);
    bool applySnapshot(const std::string &bytes);
    /// Moves the configuration into a later era of the log if no other member is to do so; see LogTail::Handlers.
    void enterEra(Config::Offset firstRetained, Millis waited);
    /// Appends the notes again that a peer's snapshot of a later era lacks.
    void restoreLostNotes();
    void handleConfigChange();
    void fetchConfigIfBehind();
    void fetchConfigFrom(const Membership::Member &member);
    void writeSnapshotIfDue();

    void pollHostLists();
    void applyHostList(const std::string &text);

    Settings m_settings;
    std::string m_peerKey;
    Traffic &m_traffic;
    KeyCoordinator &m_keys;

    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    Net::PeerServer m_peerServer;
    Membership::Membership m_membership;
    /// Whether the members must be passed on to traffic at the next tick.
    bool m_membersChanged = true;
    bool m_configFetchRunning = false;
    /// Hosts whose divergence was already logged and counted.
    std::set<std::string> m_divergedHosts;
    /// Offset of the last snapshot that was loaded here or became due, even if another member was selected to write it.
    Config::Offset m_lastSnapshotOffset = Config::noOffset;
    /// Era of the log in which usage was last written, as far as known here.
    std::int64_t m_usageEra = 0;
    Millis m_nextUsageShare;
    Millis m_nextUsageLog;
    Millis m_nextHostListPoll;
    Millis m_nextConfigFetch;
    std::mt19937_64 m_random;

    ConfigReplica m_config;
    mutable std::mutex m_selfMutex;
    /// Copy of the own member for other threads.
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
