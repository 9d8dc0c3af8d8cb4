#include "daemon/usagereporter.h"

#include "core/text.h"
#include "net/peerclient.h"
#include "process/wallclock.h"

#include <algorithm>

namespace Laburnummast::Daemon
{
namespace
{

constexpr std::size_t usageCopyCount = 2;
constexpr Millis peerRequestTimeout = 1_s;
// A running process increments its incarnation to refute false reports of its death. A restarted process takes its incarnation
// from the clock in milliseconds, which is much higher. A difference below this limit therefore means the same process.
constexpr std::uint64_t maxRefutationsPerRun = 1000;
// Records that are written again after the log was restored from a copy.
constexpr std::size_t maxRecentRecords = 16;

}

UsageReporter::UsageReporter(Usage::UsageSource self, std::string peerKey, Traffic &traffic, LogOutbox &outbox, WorkerPool &workers)
    : m_self(self)
    , m_peerKey(std::move(peerKey))
    , m_traffic(traffic)
    , m_outbox(outbox)
    , m_workers(workers)
    , m_chain(std::move(self))
{
}

void UsageReporter::shareWithPeers(const std::vector<Membership::Member> &serving)
{
    const auto own = m_traffic.ownUsage();
    if (own == m_lastShared) {
        return;
    }
    m_lastShared = own;
    const Net::ShareUsage copy{.copies = {{.source = m_traffic.usage().self(), .table = own}}};
    auto others = serving;
    std::erase_if(others, [this](const auto &it) { return it.info.host == m_self.host; });
    for (const auto &it : rendezvousMembers(Text::concat("usage:", m_self.host), others, usageCopyCount)) {
        m_workers.post([this, address = it.info.peer, copy] { (void)Net::askPeer(address, copy, m_peerKey, peerRequestTimeout); });
    }
}

// Besides its own counters, a member logs those that it received from processes that ended, as these can no longer log them.
void UsageReporter::enqueueForLog(const std::vector<Membership::Member> &others)
{
    const auto ledger = m_traffic.usage();
    std::vector<Usage::UsageEntry> entries;
    for (const auto &[source, table] : ledger.sources()) {
        const auto isRunning = [&, host = source.host, incarnation = source.incarnation](const Membership::Member &it) {
            return it.info.host == host && it.incarnation - incarnation < maxRefutationsPerRun
                && it.state <= Membership::MemberState::Leaving;
        };
        const bool isOwn = source == ledger.self();
        const bool hasOwnChanges = isOwn && table != m_lastLogged;
        const bool ended = !isOwn && std::none_of(others.begin(), others.end(), isRunning);
        if (hasOwnChanges || (ended && m_lastLoggedForEnded[source] != table)) {
            entries.push_back({.source = source, .table = table});
        }
    }
    if (entries.empty() || m_outbox.hasPending(std::string(Net::usageStream))) {
        return;
    }
    for (const auto &it : entries) {
        (it.source == ledger.self() ? m_lastLogged : m_lastLoggedForEnded[it.source]) = it.table;
    }
    m_recentRecords.push_back(m_chain.encodeNext(std::move(entries), Process::wallNow()));
    if (m_recentRecords.size() > maxRecentRecords) {
        m_recentRecords.pop_front();
    }
    m_outbox.tryEnqueue(std::string(Net::usageStream), m_recentRecords.back());
}

void UsageReporter::repeatRecords()
{
    m_recordsToRepeat = m_recentRecords;
    // Counters of a record that is no longer kept here are written with the next one.
    m_lastLogged.clear();
    m_lastLoggedForEnded.clear();
}

void UsageReporter::enqueueRepeated()
{
    if (!m_recordsToRepeat.empty() && m_outbox.tryEnqueue(std::string(Net::usageStream), m_recordsToRepeat.front())) {
        m_recordsToRepeat.pop_front();
    }
}

}
