#ifndef LABURNUMMAST_TESTS_LIMITS_ALLOWANCESIMULATION_H
#define LABURNUMMAST_TESTS_LIMITS_ALLOWANCESIMULATION_H

#include "core/limits/allowanceclient.h"
#include "core/limits/allowancegrantor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Laburnummast::Tests
{

/// Conditions of a simulated fleet.
struct AllowanceSimulationOptions
{
    std::size_t daemons = 104;
    std::vector<Limits::Allowance> allowances;
    /// Share of datagrams that are lost.
    double loss = 0;
    std::uint64_t seed = 1;
    /// Time after its start in which a daemon does not know the others.
    Millis catchUp = 3_s;
};

/// Daemons with a client and a grantor each, a network with delays, losses and cuts, and callers; in virtual time.
class AllowanceSimulation
{
public:
    /// Calls per second of a workspace at a time.
    using Demand = std::function<double(std::size_t workspace, Millis now)>;

    explicit AllowanceSimulation(const AllowanceSimulationOptions &options);

    /// Sets the demand, of which the value at any time is at most `peak`, and the weights of the daemons at which the calls arrive.
    void setDemand(Demand demand, const std::vector<double> &peak, std::vector<double> daemonWeights);
    /// Runs an action at a time.
    void at(Millis time, std::function<void()> action);
    void run(Millis end);

    /// Cuts the links between the daemons of different sides; side 0 is the default.
    void cut(const std::vector<std::size_t> &daemons, int side);
    void heal();
    void kill(std::size_t daemon);
    /// Starts a daemon with empty memory.
    void restart(std::size_t daemon);
    void setAllowances(std::vector<Limits::Allowance> allowances);

    /// The daemon that is the home while all are reachable.
    std::size_t homeOf(std::size_t workspace) const
    {
        return m_homeOrder[workspace].front();
    }
    Millis now() const
    {
        return m_now;
    }

    struct Tally
    {
        std::size_t arrived = 0;
        std::size_t allowed = 0;
        /// Calls that one central token bucket would allow.
        std::size_t central = 0;
    };
    /// Calls of a workspace that arrived in a time.
    Tally tally(std::size_t workspace, Millis from, Millis to) const;
    /// Largest excess over the bound in any window of 5 s; not positive while the bound holds.
    double largestExcess(std::size_t workspace) const;
    /// Longest time for which a call was held.
    Millis longestHold() const
    {
        return m_longestHold;
    }
    /// Requests that a daemon received as a home, in the busiest second.
    std::size_t mostRequestsInASecond() const;
    Limits::AllowanceCounters counters() const;

private:
    struct Event
    {
        Millis time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    struct Daemon
    {
        std::unique_ptr<Limits::AllowanceClient> client;
        std::unique_ptr<Limits::AllowanceGrantor> grantor;
        bool alive = true;
        int side = 0;
        std::uint64_t starts = 0;
        Millis startedAt;
        std::optional<Millis> tickAt;
        /// Per other daemon: since when it is unreachable, and whether this daemon declared it dead.
        std::vector<std::optional<Millis>> unreachableSince;
        std::vector<bool> dead;
        Limits::AllowanceFleet fleet;
        std::vector<std::size_t> requestsBySecond;
    };

    struct Call
    {
        std::size_t workspace = 0;
        Millis arrived;
        std::size_t daemon = 0;
        bool central = false;
        std::optional<Millis> allowedAt;
    };

    bool reachable(std::size_t a, std::size_t b) const;
    void nextArrival(std::size_t workspace);
    void arrive(std::size_t workspace);
    void execute(std::size_t daemon, const Limits::AllowanceActions &actions);
    void resolve(std::uint64_t call, const Limits::AllowanceDecision &decision);
    void sendRequest(std::size_t from, const Limits::AllowanceRequest &request);
    void armTick(std::size_t daemon);
    void updateMembers(std::size_t daemon);
    void applyMembers(std::size_t daemon);
    std::size_t homeSeenBy(std::size_t daemon, std::size_t workspace) const;
    std::size_t indexOf(const std::string &workspace) const;
    /// Runs an action at the receiver after the delay of the link, unless the datagram is lost or the link is cut.
    void transmit(std::size_t from, std::size_t to, std::function<void()> action);
    double random();

    AllowanceSimulationOptions m_options;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Millis m_now{};
    std::vector<Daemon> m_daemons;
    /// Per workspace the daemons in the order in which they would be its home.
    std::vector<std::vector<std::size_t>> m_homeOrder;
    Demand m_demand;
    std::vector<double> m_peak;
    std::discrete_distribution<std::size_t> m_daemonChoice;
    std::vector<Call> m_calls;
    std::vector<Retry::TokenBucket> m_central;
    Millis m_longestHold{};
};

}

#endif
