#ifndef LABURNUMMAST_DAEMON_CONTROL_H
#define LABURNUMMAST_DAEMON_CONTROL_H

#include "core/membership/membership.h"
#include "daemon/configkeeper.h"
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
#include <set>
#include <string>
#include <thread>

namespace Laburnummast::Daemon
{

/// What control spends, for the budget.
struct ControlSpending
{
    double cpuSeconds = 0;
    double wallSeconds = 0;
    std::uint64_t bytes = 0;
};

/// The control thread: membership, configuration, usage, and what of them is shared.
class Control
{
public:
    Control(const Settings &settings, const Usage::UsageSource &identity, std::string peerKey, Traffic &traffic, KeyCoordinator &keys);
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
    void tellDraining(const std::string &service, const std::string &upstream);

    ConfigKeeper &config()
    {
        return m_config;
    }
    const ConfigKeeper &config() const
    {
        return m_config;
    }
    const Net::LogClient &log() const
    {
        return m_log;
    }
    Membership::Member self() const;

    ControlSpending spending() const;
    nlohmann::json dump() const;

private:
    struct Counters
    {
        std::atomic<std::uint64_t> configFetches = 0;
        std::atomic<std::uint64_t> divergences = 0;
        std::atomic<std::uint64_t> falseDeaths = 0;
    };

    void tick();
    void carryOut(const Membership::MembershipActions &actions);
    void noteMember(const Membership::MemberChanged &change);
    void publishMembers();
    Net::PeerReply answerPeer(const Net::PeerRequest &request);

    void takeRecords(const std::vector<Net::LogRecord> &records);
    bool takeSnapshot(const std::string &bytes);
    void configMoved();
    void fetchIfBehind();
    void fetchFrom(const Membership::Member &member);
    void writeSnapshotIfDue();

    void pollHosts();
    void takeHostList(const std::string &text);

    Settings m_settings;
    std::string m_peerKey;
    Traffic &m_traffic;
    KeyCoordinator &m_keys;

    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    Net::PeerServer m_peers;
    Membership::Membership m_membership;
    bool m_membersChanged = true;
    bool m_fetching = false;
    std::set<std::string> m_diverged;
    Config::Offset m_lastSnapshot = Config::noOffset;
    Millis m_nextShare;
    Millis m_nextUsage;
    Millis m_nextHosts;

    ConfigKeeper m_config;
    mutable std::mutex m_selfMutex;
    Membership::Member m_selfCopy;

    Net::LogClient m_log;
    LogOutbox m_outbox;
    LogTail m_tail;
    WorkerPool m_helpers;
    UsageReporter m_usage;
    Counters m_counters;
    Millis m_startedAt;
    std::atomic<double> m_cpuSeconds = 0;
    std::thread m_thread;
};

}

#endif
