#ifndef LABURNUMMAST_DAEMON_CONTROL_H
#define LABURNUMMAST_DAEMON_CONTROL_H

#include "core/config/configstate.h"
#include "core/membership/membership.h"
#include "core/usage/usagechain.h"
#include "daemon/keyguard.h"
#include "daemon/logoutbox.h"
#include "daemon/logtail.h"
#include "daemon/settings.h"
#include "daemon/traffic.h"
#include "daemon/workerpool.h"
#include "net/peerserver.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

namespace Laburnummast::Daemon
{

enum class PublishErrorKind : std::uint8_t {
    /// The log did not take the note, as far as is known.
    LogUnreachable,
    /// The note is in the log, but its verdict did not come in time.
    NoVerdictYet,
};

struct PublishError
{
    PublishErrorKind kind = PublishErrorKind::LogUnreachable;
};

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
    void tellDraining(const std::string &service, const std::string &upstream);

    Result<Config::NoteOutcome, PublishError> publish(const std::string &text, const std::string &id);
    std::optional<Config::NoteOutcome> outcomeOf(std::string_view noteId) const;
    std::vector<Config::Rejection> check(const Config::Note &note) const;
    std::vector<Config::NoteOutcome> outcomes() const;
    std::string snapshot() const;
    Membership::ConfigPosition position() const;
    Membership::Member self() const;

    ControlSpending spending() const;
    nlohmann::json dump() const;

private:
    struct Counters
    {
        std::atomic<std::uint64_t> notesAccepted = 0;
        std::atomic<std::uint64_t> notesRejected = 0;
        std::atomic<std::uint64_t> notesRepeated = 0;
        std::atomic<std::uint64_t> recordsUnreadable = 0;
        std::atomic<std::uint64_t> snapshotsRefused = 0;
        std::atomic<std::uint64_t> configFetches = 0;
        std::atomic<std::uint64_t> divergences = 0;
        std::atomic<std::uint64_t> falseDeaths = 0;
    };

    void tick();
    void carryOut(const Membership::MembershipActions &actions);
    void noteMember(const Membership::MemberChanged &change);
    void publishMembers();
    Net::PeerReply answerPeer(const Net::PeerRequest &request);

    void applyRecords(const std::vector<Net::LogRecord> &records);
    void noteVerdict(const Config::Verdict &verdict, Config::Offset offset);
    bool takeSnapshot(const std::string &bytes);
    void configMoved();
    void fetchIfBehind();
    void fetchFrom(const Membership::Member &member);
    void writeSnapshotIfDue();
    bool findInLog(const std::string &id, Config::Offset from) const;

    void shareUsage();
    void writeUsage();
    void pollHosts();
    void takeHostList(const std::string &text);

    Settings m_settings;
    std::string m_peerKey;
    Traffic &m_traffic;
    KeyGuard &m_keys;

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
    Usage::UsageTable m_sharedUsage;
    Usage::UsageTable m_loggedUsage;
    std::map<Usage::UsageSource, Usage::UsageTable> m_loggedForDead;
    Usage::UsageChain m_chain;

    mutable std::mutex m_stateMutex;
    std::condition_variable m_stateChanged;
    Config::ConfigState m_state;
    Membership::Member m_selfCopy;

    Net::LogClient m_log;
    LogOutbox m_outbox;
    LogTail m_tail;
    WorkerPool m_helpers;
    Counters m_counters;
    Millis m_startedAt;
    std::atomic<double> m_cpuSeconds = 0;
    std::thread m_thread;
};

}

#endif
