#include "limits/allowancesimulation.h"

#include "core/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Laburnummast::Tests
{

using namespace Limits;

namespace
{

constexpr Millis memberInterval = 100_ms;
constexpr Millis window = 5_s;

std::string nameOf(std::size_t daemon)
{
    return "host-" + std::to_string(daemon);
}

// Time of a pair of daemons between two values, the same in each run.
Millis pairTime(std::size_t a, std::size_t b, Millis least, Millis most)
{
    const auto score = static_cast<double>(Routing::rendezvousScore(nameOf(a), nameOf(b))) / 0x1p64;
    return least + (most - least) * score;
}

}

AllowanceSimulation::AllowanceSimulation(const AllowanceSimulationOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (const auto &it : m_options.allowances) {
        std::vector<std::size_t> order(options.daemons);
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return Routing::rendezvousScore(it.workspace, nameOf(a)) > Routing::rendezvousScore(it.workspace, nameOf(b));
        });
        m_homeOrder.push_back(std::move(order));
        m_central.emplace_back(0, 0);
        m_central.back().take(0, m_options.catchUp);
        m_central.back().setRate(it.perSecond, std::max(1.0, it.burst));
    }
    m_daemons.resize(options.daemons);
    for (std::size_t i = 0; i < options.daemons; ++i) {
        restart(i);
        at(memberInterval * (static_cast<double>(i) / static_cast<double>(options.daemons)), [this, i] { updateMembers(i); });
    }
}

double AllowanceSimulation::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void AllowanceSimulation::at(Millis time, std::function<void()> action)
{
    m_events.push({.time = time, .order = ++m_order, .action = std::move(action)});
}

void AllowanceSimulation::run(Millis end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

void AllowanceSimulation::setDemand(Demand demand, const std::vector<double> &peak, std::vector<double> daemonWeights)
{
    m_demand = std::move(demand);
    m_peak = peak;
    m_daemonChoice = std::discrete_distribution<std::size_t>(daemonWeights.begin(), daemonWeights.end());
    for (std::size_t i = 0; i < m_peak.size(); ++i) {
        nextArrival(i);
    }
}

void AllowanceSimulation::nextArrival(std::size_t workspace)
{
    const double gap = std::exponential_distribution<double>(m_peak[workspace])(m_random);
    at(m_now + 1_s * gap, [this, workspace] {
        // Thinning of the arrivals at the peak rate.
        if (random() * m_peak[workspace] < m_demand(workspace, m_now)) {
            arrive(workspace);
        }
        nextArrival(workspace);
    });
}

void AllowanceSimulation::arrive(std::size_t workspace)
{
    const auto daemon = m_daemonChoice(m_random);
    auto &server = m_daemons[daemon];
    if (!server.alive) {
        return;
    }
    const auto id = m_calls.size();
    m_calls.push_back({.workspace = workspace, .arrived = m_now, .daemon = daemon});
    m_calls.back().central = m_now >= m_options.catchUp && m_central[workspace].take(1, m_now);
    AllowanceActions actions;
    const auto decision = server.client->decide(m_options.allowances[workspace].workspace, id, m_now, actions);
    resolve(id, decision);
    execute(daemon, actions);
}

void AllowanceSimulation::resolve(std::uint64_t call, const AllowanceDecision &decision)
{
    auto &it = m_calls[call];
    m_longestHold = std::max(m_longestHold, m_now - it.arrived);
    if (std::holds_alternative<CallAllowed>(decision)) {
        it.allowedAt = m_now;
    }
}

void AllowanceSimulation::execute(std::size_t daemon, const AllowanceActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<SendAllowanceRequest>(&action)) {
            sendRequest(daemon, send->request);
        } else {
            const auto &decided = std::get<DecideHeldCall>(action);
            resolve(decided.call, decided.decision);
        }
    }
    armTick(daemon);
}

void AllowanceSimulation::armTick(std::size_t daemon)
{
    auto &it = m_daemons[daemon];
    const auto due = it.client->nextDue();
    if (!due || (it.tickAt && *it.tickAt <= *due)) {
        return;
    }
    it.tickAt = due;
    at(std::max(m_now, *due), [this, daemon, due, starts = it.starts] {
        auto &ticked = m_daemons[daemon];
        if (!ticked.alive || ticked.starts != starts || ticked.tickAt != due) {
            return;
        }
        ticked.tickAt.reset();
        AllowanceActions actions;
        ticked.client->tick(m_now, actions);
        execute(daemon, actions);
    });
}

void AllowanceSimulation::sendRequest(std::size_t from, const AllowanceRequest &request)
{
    const auto home = homeSeenBy(from, indexOf(request.workspace));
    transmit(from, home, [this, from, home, request] {
        auto &it = m_daemons[home];
        const auto second = static_cast<std::size_t>(m_now / 1_s);
        it.requestsBySecond.resize(std::max(it.requestsBySecond.size(), second + 1));
        ++it.requestsBySecond[second];
        const auto answer = it.grantor->answer(request, nameOf(from), m_now);
        transmit(home, from, [this, from, answer] {
            AllowanceActions actions;
            m_daemons[from].client->receive(answer, m_now, actions);
            execute(from, actions);
        });
    });
}

void AllowanceSimulation::transmit(std::size_t from, std::size_t to, std::function<void()> action)
{
    const bool isLost = from != to && random() < m_options.loss;
    // One way 0.1 to 0.9 ms, and rarely some milliseconds more because a thread is busy.
    const auto delay = from == to ? 0.1_ms : 0.1_ms + 0.8_ms * random() + (random() < 0.02 ? 10_ms * random() : 0_ms);
    if (isLost || !reachable(from, to)) {
        return;
    }
    at(m_now + delay, [this, from, to, starts = m_daemons[to].starts, action = std::move(action)] {
        if (reachable(from, to) && m_daemons[to].starts == starts) {
            action();
        }
    });
}

bool AllowanceSimulation::reachable(std::size_t a, std::size_t b) const
{
    return m_daemons[a].alive && m_daemons[b].alive && m_daemons[a].side == m_daemons[b].side;
}

std::size_t AllowanceSimulation::indexOf(const std::string &workspace) const
{
    const auto it = std::find_if(m_options.allowances.begin(), m_options.allowances.end(), [&](const Allowance &allowance) {
        return allowance.workspace == workspace;
    });
    return static_cast<std::size_t>(it - m_options.allowances.begin());
}

std::size_t AllowanceSimulation::homeSeenBy(std::size_t daemon, std::size_t workspace) const
{
    const auto &order = m_homeOrder[workspace];
    return *std::find_if(order.begin(), order.end(), [&](std::size_t it) { return !m_daemons[daemon].dead[it]; });
}

void AllowanceSimulation::updateMembers(std::size_t daemon)
{
    auto &it = m_daemons[daemon];
    if (it.alive) {
        bool changed = false;
        std::size_t unreachable = 0;
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            auto &since = it.unreachableSince[other];
            if (other == daemon) {
                continue;
            }
            const bool isUnreachable = !reachable(daemon, other);
            unreachable += isUnreachable ? 1 : 0;
            if (isUnreachable != since.has_value()) {
                since = isUnreachable ? std::optional(m_now) : std::nullopt;
            }
            if (!since && !it.dead[other]) {
                continue;
            }
            // Declared dead 3.3 to 4.5 s after the cut, found alive within 1 s. An isolated daemon probes two others in a second.
            const auto deadAfter = it.fleet.isolated ? pairTime(daemon, other, 3500_ms, 55_s) : pairTime(daemon, other, 3300_ms, 4500_ms);
            const bool isDead = it.dead[other] ? since.has_value() || random() > 0.3 : m_now - *since >= deadAfter;
            if (isDead != it.dead[other]) {
                it.dead[other] = isDead;
                changed = true;
                if (!isDead) {
                    it.grantor->forget(nameOf(other));
                }
            }
        }
        const auto others = m_daemons.size() - 1;
        const bool isolated = others > 0 && unreachable == others
            && std::all_of(it.unreachableSince.begin(), it.unreachableSince.end(), [&](const auto &since) {
                                  return !since || m_now - *since >= 2_s;
                              });
        changed = changed || isolated != it.fleet.isolated;
        it.fleet.isolated = isolated;
        if (changed) {
            applyMembers(daemon);
        }
    }
    at(m_now + memberInterval, [this, daemon] { updateMembers(daemon); });
}

void AllowanceSimulation::applyMembers(std::size_t daemon)
{
    auto &it = m_daemons[daemon];
    it.fleet.known = m_daemons.size();
    it.fleet.dead.clear();
    for (std::size_t other = 0; other < m_daemons.size(); ++other) {
        if (it.dead[other]) {
            it.fleet.dead.insert(nameOf(other));
        }
    }
    it.grantor->setFleet(it.fleet, m_now);
    std::vector<Allowance> homed;
    for (std::size_t i = 0; i < m_options.allowances.size(); ++i) {
        if (m_options.allowances[i].perSecond > 0 && homeSeenBy(daemon, i) == daemon) {
            homed.push_back(m_options.allowances[i]);
        }
    }
    it.grantor->setAllowances(homed, m_now);
    std::vector<Allowance> limited;
    std::copy_if(m_options.allowances.begin(), m_options.allowances.end(), std::back_inserter(limited), [](const auto &allowance) {
        return allowance.perSecond > 0;
    });
    AllowanceActions actions;
    it.client->setAllowances(limited, m_now, actions);
    execute(daemon, actions);
}

void AllowanceSimulation::cut(const std::vector<std::size_t> &daemons, int side)
{
    for (const auto it : daemons) {
        m_daemons[it].side = side;
    }
}

void AllowanceSimulation::heal()
{
    for (auto &it : m_daemons) {
        it.side = 0;
    }
}

void AllowanceSimulation::kill(std::size_t daemon)
{
    m_daemons[daemon].alive = false;
}

void AllowanceSimulation::restart(std::size_t daemon)
{
    auto &it = m_daemons[daemon];
    it.alive = true;
    ++it.starts;
    it.startedAt = m_now;
    it.tickAt.reset();
    it.client = std::make_unique<AllowanceClient>(m_random() >> 1);
    it.grantor = std::make_unique<AllowanceGrantor>(m_now + m_options.catchUp);
    it.unreachableSince.assign(m_options.daemons, std::nullopt);
    it.dead.assign(m_options.daemons, false);
    it.fleet = {};
    applyMembers(daemon);
    at(m_now + m_options.catchUp, [this, daemon, starts = it.starts] {
        if (m_daemons[daemon].starts == starts) {
            m_daemons[daemon].client->setKnownDaemons(m_daemons.size());
        }
    });
}

void AllowanceSimulation::setAllowances(std::vector<Allowance> allowances)
{
    m_options.allowances = std::move(allowances);
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        at(m_now + 1500_ms * random(), [this, i] { applyMembers(i); });
    }
}

AllowanceSimulation::Tally AllowanceSimulation::tally(std::size_t workspace, Millis from, Millis to) const
{
    Tally tally;
    for (const auto &it : m_calls) {
        if (it.workspace == workspace && it.arrived >= from && it.arrived < to) {
            ++tally.arrived;
            tally.allowed += it.allowedAt ? 1 : 0;
            tally.central += it.central ? 1 : 0;
        }
    }
    return tally;
}

double AllowanceSimulation::largestExcess(std::size_t workspace) const
{
    std::vector<Millis> times;
    for (const auto &it : m_calls) {
        if (it.workspace == workspace && it.allowedAt) {
            times.push_back(*it.allowedAt);
        }
    }
    std::sort(times.begin(), times.end());
    const auto &allowance = m_options.allowances[workspace];
    const double bound = (allowance.perSecond * (window / 1_s) + allowance.burst) * 1.1 + 20;
    double excess = -bound;
    for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
        while (times[i] - times[first] > window) {
            ++first;
        }
        excess = std::max(excess, static_cast<double>(i - first + 1) - bound);
    }
    return excess;
}

std::size_t AllowanceSimulation::mostRequestsInASecond() const
{
    std::size_t most = 0;
    for (const auto &it : m_daemons) {
        for (const auto n : it.requestsBySecond) {
            most = std::max(most, n);
        }
    }
    return most;
}

AllowanceCounters AllowanceSimulation::counters() const
{
    AllowanceCounters sum;
    for (const auto &it : m_daemons) {
        const auto &counters = it.client->counters();
        sum.allowedByHome += counters.allowedByHome;
        sum.allowedByOwnShare += counters.allowedByOwnShare;
        sum.deniedByHome += counters.deniedByHome;
        sum.deniedByOwnShare += counters.deniedByOwnShare;
        sum.held += counters.held;
        sum.requests += counters.requests;
        sum.unansweredRequests += counters.unansweredRequests;
    }
    return sum;
}

}
