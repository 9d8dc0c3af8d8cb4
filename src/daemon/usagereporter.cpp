#include "daemon/usagereporter.h"

#include "core/text.h"
#include "net/peerclient.h"
#include "process/wallclock.h"

#include <algorithm>

namespace Laburnummast::Daemon
{
namespace
{

constexpr std::size_t usageCopies = 2;
constexpr Millis peerTimeout = 1_s;
// A run refutes false reports by counting its incarnation up; a restart starts from the clock, far above.
constexpr std::uint64_t refutationsPerRun = 1000;

}

UsageReporter::UsageReporter(Usage::UsageSource self, std::string peerKey, Traffic &traffic, LogOutbox &outbox, WorkerPool &helpers)
    : m_self(self)
    , m_peerKey(std::move(peerKey))
    , m_traffic(traffic)
    , m_outbox(outbox)
    , m_helpers(helpers)
    , m_chain(std::move(self))
{
}

void UsageReporter::share(const std::vector<Membership::Member> &serving)
{
    const auto own = m_traffic.ownUsage();
    if (own == m_shared) {
        return;
    }
    m_shared = own;
    const Net::ShareUsage copy{.copies = {{.source = m_traffic.usage().self(), .table = own}}};
    auto others = serving;
    std::erase_if(others, [this](const auto &it) { return it.info.host == m_self.host; });
    for (const auto &it : rendezvousMembers(Text::concat("usage:", m_self.host), others, usageCopies)) {
        m_helpers.post([this, address = it.info.peer, copy] { (void)Net::askPeer(address, copy, m_peerKey, peerTimeout); });
    }
}

// Besides its own counters a member writes the copies it holds of the dead, which can write no more.
void UsageReporter::write(const std::vector<Membership::Member> &others)
{
    const auto ledger = m_traffic.usage();
    std::vector<Usage::UsageEntry> entries;
    for (const auto &[source, table] : ledger.sources()) {
        const auto runs = [&, host = source.host, incarnation = source.incarnation](const Membership::Member &it) {
            return it.info.host == host && it.incarnation - incarnation < refutationsPerRun && it.state <= Membership::MemberState::Leaving;
        };
        const bool own = source == ledger.self();
        const bool ownChanged = own && table != m_logged;
        const bool ended = !own && std::none_of(others.begin(), others.end(), runs);
        if (ownChanged || (ended && m_loggedForDead[source] != table)) {
            entries.push_back({.source = source, .table = table});
        }
    }
    if (entries.empty() || m_outbox.holds(std::string(Net::usageStream))) {
        return;
    }
    for (const auto &it : entries) {
        (it.source == ledger.self() ? m_logged : m_loggedForDead[it.source]) = it.table;
    }
    m_outbox.offer(std::string(Net::usageStream), m_chain.encodeNext(std::move(entries), Process::wallNow()));
}

}
