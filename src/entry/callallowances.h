#ifndef LABURNUMMAST_ENTRY_CALLALLOWANCES_H
#define LABURNUMMAST_ENTRY_CALLALLOWANCES_H

#include "core/limits/allowanceclient.h"
#include "core/workspaces/workspacetable.h"
#include "entry/nodeview.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// Callbacks of CallAllowances, called on the traffic thread.
struct CallAllowanceEvents
{
    /// A request must be passed to the home of its workspace.
    std::function<void(const Limits::AllowanceRequest &)> onRequest;
    /// A held call is decided.
    std::function<void(std::uint64_t call, const Limits::AllowanceDecision &)> onDecision;
};

/// Decides for the calls of this daemon whether they are within the allowances of their workspaces; runs on the traffic thread.
class CallAllowances
{
public:
    CallAllowances(boost::asio::io_context &loop, CallAllowanceEvents events);

    /// Applies the workspaces and the number of daemons.
    void setView(const NodeView &view);
    /// Decides about a call; `workspace` is null if it needs none.
    Limits::AllowanceDecision decide(const Workspaces::Workspace *workspace, std::uint64_t call);
    void receive(const Limits::AllowanceAnswer &answer);
    /// Drops a held call.
    void forget(std::string_view workspace, std::uint64_t call);
    void stop();

    const Limits::AllowanceCounters &counters() const
    {
        return m_client.counters();
    }
    /// Lines of the state dump: the workspaces with the highest demand.
    std::string stateDump() const;

private:
    void execute(const Limits::AllowanceActions &actions);
    void armTimer();

    CallAllowanceEvents m_events;
    Limits::AllowanceClient m_client;
    std::shared_ptr<const Workspaces::WorkspaceTable> m_workspaces;
    boost::asio::steady_timer m_timer;
    /// When the timer expires; empty if it is not set.
    std::optional<Millis> m_timerDue;
};

}

#endif
