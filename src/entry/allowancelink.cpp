#include "entry/allowancelink.h"

#include "core/routing/rendezvous.h"
#include "entry/allowancemessage.h"
#include "entry/peerlink.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <utility>

namespace Laburnummast::Entry
{
namespace
{

using Membership::MemberState;

// Time after the start within which this daemon usually knows the other daemons, so that no two are the home. Waiting for the whole
// catch-up time refused nearly all calls for 4.5 s after all daemons had restarted.
constexpr Millis firstGrantsAfter = 1_s;
// A daemon that can reach any other receives the acknowledgement of a probe at least every 500 ms.
constexpr Millis isolatedAfter = 2_s;
// An incarnation that rises by less is a refutation; see MembershipOptions.
constexpr std::uint64_t restartStep = 1000;

}

AllowanceLink::AllowanceLink(boost::asio::io_context &loop,
                             const NodeSettings &settings,
                             const Membership::Membership &members,
                             OnAnswer onAnswer)
    : m_settings(settings)
    , m_members(members)
    , m_onAnswer(std::move(onAnswer))
    , m_port(loop, [this](std::string_view bytes, const Address &from) { handleDatagram(bytes, from); })
    , m_grantor(Process::steadyNow() + firstGrantsAfter)
    , m_datagramAt(Process::steadyNow())
{
}

void AllowanceLink::configure(const std::shared_ptr<const Workspaces::WorkspaceTable> &workspaces,
                              const Limits::LimitPool &pool,
                              Millis now)
{
    updateFleet(now);
    if (workspaces != m_workspaces || pool != m_pool) {
        m_workspaces = workspaces;
        m_pool = pool;
        updateHomes(now);
    }
}

void AllowanceLink::updateFleet(Millis now)
{
    if (m_fleetRevision != m_members.revision()) {
        m_fleetRevision = m_members.revision();
        m_fleet.known = 1;
        m_fleet.dead.clear();
        for (const auto &it : m_members.others()) {
            // A daemon that announced its end uses no share.
            m_fleet.known += it.state != MemberState::Left ? 1 : 0;
            if (it.state == MemberState::Dead) {
                m_fleet.dead.insert(it.info.host);
            }
        }
    }
    m_fleet.isolated = now - m_datagramAt >= isolatedAfter && m_fleet.known > 1;
    m_grantor.setFleet(m_fleet, now);
}

void AllowanceLink::updateHomes(Millis now)
{
    m_homes.clear();
    std::vector<Limits::Allowance> homed;
    for (const auto &it : m_workspaces ? m_workspaces->workspaces() : std::vector<Workspaces::Workspace>()) {
        if (!it.isLimited() || m_pool.daemons.empty()) {
            continue;
        }
        const auto scoreOf = [&](const Routing::Candidate &daemon) { return Routing::rendezvousScore(it.name, daemon.name); };
        const auto home = std::max_element(
            m_pool.daemons.begin(), m_pool.daemons.end(), [&](const auto &a, const auto &b) { return scoreOf(a) < scoreOf(b); });
        if (m_homes.emplace(it.name, home->name).second && home->name == m_settings.host) {
            homed.push_back({.workspace = it.name, .perSecond = it.ratePerSecond, .burst = it.burst});
        }
    }
    m_grantor.setAllowances(homed, now);
    if (!m_homes.empty()) {
        openPort();
    }
}

void AllowanceLink::openPort()
{
    if (m_isOpen) {
        return;
    }
    m_isOpen = true;
    if (const auto failure = m_port.start(internalAddress(m_settings, InternalPort::Allowances))) {
        Process::logWarning("allowance-port-failed", {{"ip", failure->ip}, {"port", std::to_string(failure->port)}});
    }
}

void AllowanceLink::tick(std::uint64_t datagramsIn, Millis now)
{
    if (datagramsIn != m_datagramsIn) {
        m_datagramsIn = datagramsIn;
        m_datagramAt = now;
    }
    updateFleet(now);
}

void AllowanceLink::handleMemberChange(const Membership::MemberChanged &change)
{
    const auto &member = change.member;
    auto &incarnation = m_incarnations[member.info.host];
    const bool restarted = incarnation > 0 && member.incarnation >= incarnation + restartStep;
    const bool isBack = change.previousState == MemberState::Dead && member.state == MemberState::Alive;
    incarnation = member.incarnation;
    if (restarted || isBack || member.state == MemberState::Left) {
        m_grantor.forget(member.info.host);
    }
    if (member.state == MemberState::Left) {
        m_incarnations.erase(member.info.host);
    }
}

std::optional<Address> AllowanceLink::addressOf(std::string_view host) const
{
    const auto *member = m_members.find(host);
    if (!member) {
        return std::nullopt;
    }
    const auto port = static_cast<std::uint16_t>(member->info.peer.port + static_cast<std::uint16_t>(InternalPort::Allowances));
    return Address{.ip = member->info.peer.ip, .port = port};
}

void AllowanceLink::send(const Limits::AllowanceRequest &request)
{
    const auto home = m_homes.find(request.workspace);
    if (home == m_homes.end()) {
        return;
    }
    if (home->second == m_settings.host) {
        ++m_state.requests;
        m_onAnswer(m_grantor.answer(request, m_settings.host, Process::steadyNow()));
        return;
    }
    const auto bytes = encodeAllowanceMessage(AllowanceRequestMessage{.host = m_settings.host, .request = request});
    if (const auto address = addressOf(home->second); address && bytes.size() <= maxAllowanceMessageBytes) {
        m_port.send(bytes, *address);
    }
}

void AllowanceLink::handleDatagram(std::string_view bytes, const Address &from)
{
    const auto decoded = decodeAllowanceMessage(bytes);
    if (std::holds_alternative<AllowanceMessageError>(decoded)) {
        ++m_state.rejectedMessages;
        return;
    }
    std::visit(Overloaded{[&](const AllowanceRequestMessage &it) { handleRequest(it.host, it.request, from); },
                          [&](const Limits::AllowanceAnswer &it) { handleAnswer(it, from); }},
               std::get<AllowanceMessage>(decoded));
}

void AllowanceLink::handleRequest(const std::string &host, const Limits::AllowanceRequest &request, const Address &from)
{
    const auto address = addressOf(host);
    if (!address || *address != from) {
        ++m_state.rejectedMessages;
        return;
    }
    ++m_state.requests;
    m_port.send(encodeAllowanceMessage(m_grantor.answer(request, host, Process::steadyNow())), from);
}

void AllowanceLink::handleAnswer(const Limits::AllowanceAnswer &answer, const Address &from)
{
    const auto home = m_homes.find(answer.workspace);
    if (home == m_homes.end() || addressOf(home->second) != from) {
        ++m_state.rejectedMessages;
        return;
    }
    m_onAnswer(answer);
}

void AllowanceLink::stop()
{
    m_port.stop();
}

AllowanceLinkState AllowanceLink::state() const
{
    auto state = m_state;
    state.homedWorkspaces = m_grantor.workspaceCount();
    return state;
}

}
