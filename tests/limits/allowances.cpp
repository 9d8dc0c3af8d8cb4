#include "limits/allowancesimulation.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Limits;
using Laburnummast::Tests::AllowanceSimulation;

namespace
{

constexpr std::size_t daemonCount = 104;
constexpr std::size_t workspaceCount = 75;
// Usual demand as a part of the rate; a flood is 7.5 times this.
constexpr double usualPart = 0.8;
constexpr double floodFactor = 7.5;
constexpr Millis floodFrom = 15_s;
constexpr Millis floodTime = 6500_ms;

// The largest workspace first, then some medium ones, and most with a few calls a second.
std::vector<Allowance> unevenAllowances()
{
    std::vector<Allowance> allowances{{.workspace = "w0", .perSecond = 312, .burst = 312}};
    for (std::size_t i = 1; i < workspaceCount; ++i) {
        const double perSecond = i < 8 ? 120.0 / static_cast<double>(i) : 2 + static_cast<double>(i % 7);
        allowances.push_back({.workspace = "w" + std::to_string(i), .perSecond = perSecond, .burst = perSecond});
    }
    return allowances;
}

// Some daemons get ten times as many calls as others.
std::vector<double> unevenCallers(std::size_t daemons)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < daemons; ++i) {
        weights.push_back(i % 17 == 0 ? 10 : 1 + static_cast<double>(i % 5));
    }
    return weights;
}

// A fleet with usual demand everywhere and a flood of the largest workspace.
struct Deployment
{
    explicit Deployment(std::uint64_t seed, double loss = 0, bool hasFlood = true)
        : allowances(unevenAllowances())
        , fleet({.daemons = daemonCount, .allowances = allowances, .loss = loss, .seed = seed})
    {
        std::vector<double> peak;
        for (const auto &it : allowances) {
            peak.push_back(it.perSecond * usualPart);
        }
        peak[0] *= floodFactor;
        fleet.setDemand(
            [this, hasFlood](std::size_t workspace, Millis now) {
                const bool flood = hasFlood && workspace == 0 && now >= floodFrom && now < floodFrom + floodTime;
                return allowances[workspace].perSecond * usualPart * (flood ? floodFactor : 1);
            },
            peak,
            unevenCallers(daemonCount));
    }

    void checkBounds() const
    {
        for (std::size_t i = 0; i < allowances.size(); ++i) {
            CAPTURE(allowances[i].workspace);
            CHECK(fleet.largestExcess(i) <= 0);
        }
    }

    // Allowed calls of the workspaces from `first` on, as a part of those that one central counter would allow.
    double partOfCentral(std::size_t first, std::size_t end, Millis from, Millis to) const
    {
        std::size_t allowed = 0;
        std::size_t central = 0;
        for (std::size_t i = first; i < end; ++i) {
            const auto tally = fleet.tally(i, from, to);
            allowed += tally.allowed;
            central += tally.central;
        }
        return static_cast<double>(allowed) / static_cast<double>(central);
    }

    std::vector<Allowance> allowances;
    AllowanceSimulation fleet;
};

// Daemons from the first on, without the home of the largest workspace unless it is wanted.
std::vector<std::size_t> someDaemons(const AllowanceSimulation &fleet, std::size_t count, bool withHome)
{
    const auto home = fleet.homeOf(0);
    std::vector<std::size_t> daemons;
    if (withHome) {
        daemons.push_back(home);
    }
    for (std::size_t i = 0; daemons.size() < count; ++i) {
        if (i != home) {
            daemons.push_back(i);
        }
    }
    return daemons;
}

}

// Guards against refusals below the allowance and against a flood that costs other workspaces theirs.
TEST_CASE("Allowances let as many calls through as a central counter, also in a flood")
{
    for (const double loss : {0.0, 0.01}) {
        Deployment deployment(3, loss);
        deployment.fleet.run(30_s);
        CAPTURE(loss);
        deployment.checkBounds();
        const double flood = deployment.partOfCentral(0, 1, floodFrom, floodFrom + floodTime);
        const double largest = deployment.partOfCentral(0, 1, 5_s, 30_s);
        const double others = deployment.partOfCentral(1, workspaceCount, 5_s, 30_s);
        const double othersInFlood = deployment.partOfCentral(1, workspaceCount, floodFrom, floodFrom + floodTime);
        const auto counters = deployment.fleet.counters();
        INFO("flood ",
             flood,
             ", largest ",
             largest,
             ", others ",
             others,
             ", in the flood ",
             othersInFlood,
             ", held at most ms ",
             deployment.fleet.longestHold().count,
             ", requests at a home in 1 s ",
             deployment.fleet.mostRequestsInASecond(),
             ", requests ",
             counters.requests,
             ", unanswered ",
             counters.unansweredRequests,
             ", own share ",
             counters.allowedByOwnShare);
        CHECK(flood >= 0.98);
        CHECK(largest >= 0.98);
        CHECK(others >= 0.98);
        CHECK(othersInFlood >= 0.98);
        CHECK(deployment.fleet.longestHold() <= 60_ms);
        CHECK(deployment.fleet.mostRequestsInASecond() <= 1500);
    }
}

// Guards against a double use of the rate by both sides of a cut, at its begin, while it lasts and when it ends.
TEST_CASE("No cut lets a workspace exceed its bound")
{
    struct Case
    {
        std::size_t cutOff;
        bool withHome;
        Millis cutAt;
    };
    for (const auto &it : std::vector<Case>{{1, false, floodFrom + 500_ms},
                                            {1, true, floodFrom - 1_s},
                                            {31, false, floodFrom - 1_s},
                                            {31, false, floodFrom + 500_ms},
                                            {31, true, floodFrom + 500_ms},
                                            {52, true, floodFrom - 2_s}}) {
        CAPTURE(it.cutOff);
        CAPTURE(it.withHome);
        CAPTURE(it.cutAt.count);
        Deployment deployment(5);
        auto &fleet = deployment.fleet;
        const auto healedAt = it.cutAt + 10_s;
        fleet.at(it.cutAt, [&] { fleet.cut(someDaemons(fleet, it.cutOff, it.withHome), 1); });
        fleet.at(healedAt, [&] { fleet.heal(); });
        fleet.run(35_s);
        deployment.checkBounds();
        const double others = deployment.partOfCentral(1, workspaceCount, it.cutAt, healedAt);
        const double after = deployment.partOfCentral(0, workspaceCount, healedAt + 3_s, 35_s);
        INFO("excess ",
             fleet.largestExcess(0),
             ", in the cut ",
             deployment.partOfCentral(0, 1, it.cutAt, healedAt),
             ", others ",
             others,
             ", afterwards ",
             after);
        CHECK(after >= 0.97);
    }
}

// Guards against leases of a home that died being granted twice, and against a workspace that stays without a home.
TEST_CASE("A new home takes over after the death of the previous one")
{
    for (const bool restarts : {false, true}) {
        CAPTURE(restarts);
        Deployment deployment(7);
        auto &fleet = deployment.fleet;
        const auto killedAt = floodFrom + 2_s;
        fleet.at(killedAt, [&] { fleet.kill(fleet.homeOf(0)); });
        if (restarts) {
            fleet.at(killedAt + 1_s, [&] { fleet.restart(fleet.homeOf(0)); });
        }
        fleet.run(40_s);
        deployment.checkBounds();
        const double first = deployment.partOfCentral(0, 1, killedAt, killedAt + 7_s);
        const double later = deployment.partOfCentral(0, 1, killedAt + 8_s, 40_s);
        INFO("first 7 s ", first, ", later ", later, ", excess ", fleet.largestExcess(0));
        CHECK(first >= 0.5);
        CHECK(later >= 0.97);
    }
}

// Guards against full buckets and unknown members after a start, which would multiply the allowance.
TEST_CASE("A restart of all daemons does not exceed the bound")
{
    Deployment deployment(9);
    auto &fleet = deployment.fleet;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        fleet.at(floodFrom + 2_s + 5_ms * static_cast<double>(i), [&fleet, i] { fleet.kill(i); });
        fleet.at(floodFrom + 3_s + 10_ms * static_cast<double>(i), [&fleet, i] { fleet.restart(i); });
    }
    fleet.run(35_s);
    deployment.checkBounds();
    const double later = deployment.partOfCentral(0, workspaceCount, floodFrom + 8_s, 35_s);
    INFO("later ", later);
    CHECK(later >= 0.97);
}

// Guards against rates of an old version that stay in force.
TEST_CASE("A changed configuration is in force after its application")
{
    Deployment deployment(11);
    auto &fleet = deployment.fleet;
    auto changed = deployment.allowances;
    changed[0] = {.workspace = "w0", .perSecond = 50, .burst = 20};
    changed[1].perSecond = 0;
    fleet.at(8_s, [&] { fleet.setAllowances(changed); });
    fleet.run(30_s);
    const auto lowered = fleet.tally(0, floodFrom, floodFrom + floodTime);
    CHECK(static_cast<double>(lowered.allowed) <= (50 * 6.5 + 20) * 1.1 + 20);
    CHECK(static_cast<double>(lowered.allowed) >= 0.98 * (50 * 6.5 + 20) - 20);
    const auto unlimited = fleet.tally(1, 10_s, 30_s);
    CHECK(unlimited.allowed == unlimited.arrived);
}

// Guards against sequences of failures that no other case has; a failure prints the seed.
TEST_CASE("Random cuts, deaths, restarts and losses never exceed the bound")
{
    const std::vector<Allowance> allowances{{.workspace = "a", .perSecond = 400, .burst = 400},
                                            {.workspace = "b", .perSecond = 60, .burst = 0},
                                            {.workspace = "c", .perSecond = 20, .burst = 200},
                                            {.workspace = "d", .perSecond = 3, .burst = 3},
                                            {.workspace = "e", .perSecond = 1, .burst = 0},
                                            {.workspace = "f", .perSecond = 0, .burst = 0}};
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
        const auto daemons = 3 + pick(30);
        AllowanceSimulation fleet({.daemons = daemons, .allowances = allowances, .loss = pick(3) == 0 ? 0.05 : 0, .seed = seed});
        const double phase = static_cast<double>(pick(5000));
        // Pauses save up a burst; what follows exceeds the rate by far.
        fleet.setDemand(
            [&](std::size_t workspace, Millis now) {
                const bool busy = std::fmod(now.count + phase, 7000) < 4000;
                return (busy ? 4 : 0.1) * std::max(5.0, allowances[workspace].perSecond);
            },
            {1600, 240, 80, 20, 20, 20},
            unevenCallers(daemons));
        for (Millis time = 5_s; time < 50_s; time += Millis{500 + static_cast<double>(pick(6000))}) {
            const auto daemon = pick(daemons);
            switch (pick(4)) {
            case 0: {
                std::vector<std::size_t> others(daemons);
                std::iota(others.begin(), others.end(), 0);
                std::shuffle(others.begin(), others.end(), random);
                others.resize(1 + pick(daemons / 2));
                fleet.at(time, [&fleet, others] { fleet.cut(others, 1); });
                break;
            }
            case 1:
                fleet.at(time, [&fleet] { fleet.heal(); });
                break;
            case 2:
                fleet.at(time, [&fleet, daemon] { fleet.kill(daemon); });
                break;
            default:
                fleet.at(time, [&fleet, daemon] { fleet.restart(daemon); });
            }
        }
        fleet.run(60_s);
        for (std::size_t i = 0; i < 5; ++i) {
            CAPTURE(allowances[i].workspace);
            CHECK(fleet.largestExcess(i) <= 0);
        }
        const auto unlimited = fleet.tally(5, 0_s, 60_s);
        CHECK(unlimited.allowed == unlimited.arrived);
    }
}
