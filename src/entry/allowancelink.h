#ifndef LABURNUMMAST_ENTRY_ALLOWANCELINK_H
#define LABURNUMMAST_ENTRY_ALLOWANCELINK_H

#include "core/limits/allowancegrantor.h"
#include "core/limits/limitshare.h"
#include "core/membership/membership.h"
#include "core/workspaces/workspacetable.h"
#include "entry/datagramport.h"
#include "entry/nodesettings.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Laburnummast::Entry
{

/// Counters and state of the messages about allowances.
struct AllowanceLinkState
{
    /// Requests of daemons, this one included, that this daemon answered.
    std::uint64_t requests = 0;
    /// Datagrams that could not be decoded or did not come from the daemon that they name.
    std::uint64_t rejectedMessages = 0;
    /// Limited workspaces whose home this daemon is; not a counter.
    std::size_t homedWorkspaces = 0;
};

/// Passes requests for tokens to the homes of the workspaces, and answers those for which this daemon is the home.
///
/// The home of a workspace is the serving daemon with the highest rendezvous score. Runs on the control thread. Uses its UDP port only
/// once there are workspaces with a limit.
class AllowanceLink
{
public:
    using OnAnswer = std::function<void(const Limits::AllowanceAnswer &)>;

    AllowanceLink(boost::asio::io_context &loop, const NodeSettings &settings, const Membership::Membership &members, OnAnswer onAnswer);

    /// Applies the workspaces of the routes in force, which may be null, and the daemons; see LimitPool.
    void configure(const std::shared_ptr<const Workspaces::WorkspaceTable> &workspaces, const Limits::LimitPool &pool, Millis now);
    /// Must be called several times per second with the number of datagrams that this daemon has received from others.
    void tick(std::uint64_t datagramsIn, Millis now);
    void handleMemberChange(const Membership::MemberChanged &change);
    /// Passes a request to the home; it is lost if there is none.
    void send(const Limits::AllowanceRequest &request);
    void stop();

    /// Daemons that may use shares of their own, this one and dead ones included.
    std::size_t knownDaemons() const
    {
        return m_fleet.known;
    }
    AllowanceLinkState state() const;

private:
    void updateFleet(Millis now);
    void updateHomes(Millis now);
    void openPort();
    void handleDatagram(std::string_view bytes, const Address &from);
    void handleRequest(const std::string &host, const Limits::AllowanceRequest &request, const Address &from);
    void handleAnswer(const Limits::AllowanceAnswer &answer, const Address &from);
    /// Address for messages about allowances; empty if the daemon is not known.
    std::optional<Address> addressOf(std::string_view host) const;

    NodeSettings m_settings;
    const Membership::Membership &m_members;
    OnAnswer m_onAnswer;
    DatagramPort m_port;
    Limits::AllowanceGrantor m_grantor;
    std::shared_ptr<const Workspaces::WorkspaceTable> m_workspaces;
    Limits::LimitPool m_pool;
    Limits::AllowanceFleet m_fleet;
    /// Revision of the members that `m_fleet` describes.
    std::uint64_t m_fleetRevision = 0;
    /// Host of the home of each limited workspace.
    std::unordered_map<std::string, std::string> m_homes;
    /// Incarnations of the other daemons.
    std::map<std::string, std::uint64_t> m_incarnations;
    std::uint64_t m_datagramsIn = 0;
    Millis m_datagramAt;
    bool m_isOpen = false;
    AllowanceLinkState m_state;
};

}

#endif
