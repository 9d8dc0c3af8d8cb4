#include "entry/callallowances.h"

#include "core/result.h"
#include "core/text.h"
#include "process/wallclock.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace Laburnummast::Entry
{
namespace
{

using Process::steadyNow;

constexpr std::size_t dumpedWorkspaces = 20;
// Daemons that are assumed to share the allowances until this one has run long enough to know them: more than it knows in its first
// moments, so that the shares of a fleet that starts as a whole stay small.
constexpr std::size_t assumedDaemons = 32;

}

CallAllowances::CallAllowances(boost::asio::io_context &loop, CallAllowanceEvents events)
    : m_events(std::move(events))
    // An earlier process of this daemon used lower numbers.
    , m_client(static_cast<std::uint64_t>(Process::wallNow().count * 1000))
    , m_timer(loop)
{
}

void CallAllowances::setView(const NodeView &view)
{
    m_client.setKnownDaemons(view.membersKnown ? view.allowanceDaemons : std::max(view.allowanceDaemons, assumedDaemons));
    const auto workspaces = view.routes ? view.routes->workspaces() : nullptr;
    if (workspaces == m_workspaces) {
        return;
    }
    m_workspaces = workspaces;
    std::vector<Limits::Allowance> allowances;
    for (const auto &it : workspaces ? workspaces->workspaces() : std::vector<Workspaces::Workspace>()) {
        if (it.isLimited()) {
            allowances.push_back({.workspace = it.name, .perSecond = it.ratePerSecond, .burst = it.burst});
        }
    }
    Limits::AllowanceActions actions;
    m_client.setAllowances(allowances, steadyNow(), actions);
    execute(actions);
}

Limits::AllowanceDecision CallAllowances::decide(const Workspaces::Workspace *workspace, std::uint64_t call)
{
    if (!workspace || !workspace->isLimited()) {
        return Limits::CallAllowed{};
    }
    Limits::AllowanceActions actions;
    auto decision = m_client.decide(workspace->name, call, steadyNow(), actions);
    execute(actions);
    return decision;
}

void CallAllowances::receive(const Limits::AllowanceAnswer &answer)
{
    Limits::AllowanceActions actions;
    m_client.receive(answer, steadyNow(), actions);
    execute(actions);
}

void CallAllowances::forget(std::string_view workspace, std::uint64_t call)
{
    m_client.forget(workspace, call);
}

void CallAllowances::execute(const Limits::AllowanceActions &actions)
{
    armTimer();
    for (const auto &action : actions) {
        std::visit(Overloaded{[&](const Limits::SendAllowanceRequest &it) { m_events.onRequest(it.request); },
                              [&](const Limits::DecideHeldCall &it) { m_events.onDecision(it.call, it.decision); }},
                   action);
    }
}

void CallAllowances::armTimer()
{
    const auto due = m_client.nextDue();
    // A timer that expires too early does no harm: tick() finds out what is due.
    if (!due || (m_timerDue && *m_timerDue <= *due)) {
        return;
    }
    m_timerDue = due;
    m_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(Process::toChrono(std::max(0_ms, *due - steadyNow()))));
    m_timer.async_wait([this](const auto &ec) {
        if (ec) {
            return;
        }
        m_timerDue.reset();
        Limits::AllowanceActions actions;
        m_client.tick(steadyNow(), actions);
        execute(actions);
    });
}

void CallAllowances::stop()
{
    m_timer.cancel();
}

std::string CallAllowances::stateDump() const
{
    std::string text;
    for (const auto &it : m_client.busiest(dumpedWorkspaces, steadyNow())) {
        Text::append(text, "allowance ", it.workspace, " rate=", it.perSecond, " demand=", it.demand);
        Text::append(text, " decided-by=", it.usesOwnShare ? "own-share" : "home", " held=", it.held, "\n");
    }
    return text;
}

}
