// bench-placement: simulates fleets whose upstreams change their speed many times per second, under each placement policy.

#include "core/text.h"
#include "model/placementsimulation.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>
#include <iostream>

ABSL_FLAG(int, seeds, 3, "number of random seeds, counted from 1; their results are added up");
ABSL_FLAG(std::string, play, "sicilia", "fleet to simulate: sicilia or papel");
ABSL_FLAG(int, daemons, 0, "number of daemons; 0 for that of the fleet");
ABSL_FLAG(int, upstreams, 0, "number of upstreams; 0 for that of the fleet");
ABSL_FLAG(int, slots, 0, "slots of each upstream; 0 for that of the fleet");
ABSL_FLAG(int, grey, 0, "number of upstreams that break off half of their answers");
ABSL_FLAG(bool, tells_load, true, "whether upstreams report their load");
ABSL_FLAG(double, knee, 0.8, "utilization above which upstreams slow down");
ABSL_FLAG(double, load, 1, "factor on the arrival rates of all kinds of calls");

namespace
{

using namespace Laburnummast;
using namespace Laburnummast::Model;

PlacementSimulationOptions optionsFromFlags()
{
    auto options = absl::GetFlag(FLAGS_play) == "papel" ? papelBurst() : siciliaBurst();
    options.daemons = absl::GetFlag(FLAGS_daemons) > 0 ? absl::GetFlag(FLAGS_daemons) : options.daemons;
    options.upstreams = absl::GetFlag(FLAGS_upstreams) > 0 ? absl::GetFlag(FLAGS_upstreams) : options.upstreams;
    options.slots = absl::GetFlag(FLAGS_slots) > 0 ? absl::GetFlag(FLAGS_slots) : options.slots;
    options.faultyUpstreams = absl::GetFlag(FLAGS_grey);
    options.reportsLoad = absl::GetFlag(FLAGS_tells_load);
    options.knee = absl::GetFlag(FLAGS_knee);
    for (auto &it : options.kinds) {
        it.callsPerSecond *= absl::GetFlag(FLAGS_load);
    }
    return options;
}

void addResult(CallKindResult &sum, const CallKindResult &result)
{
    sum.calls += result.calls;
    sum.inTime += result.inTime;
    sum.late += result.late;
    sum.refused += result.refused;
    sum.failed += result.failed;
}

void printKind(std::string_view policy, std::string_view kind, std::string_view period, const CallKindResult &it)
{
    const double onePercent = std::max(1, it.calls) / 100.0;
    std::cout << absl::StrFormat("%-10s %-8s %-6s %7d %6.1f %6.1f %6.1f %6.1f\n",
                                 std::string(policy),
                                 std::string(kind),
                                 std::string(period),
                                 it.calls,
                                 it.inTime / onePercent,
                                 it.late / onePercent,
                                 it.refused / onePercent,
                                 it.failed / onePercent);
}

}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("bench-placement: percentages of calls in time, late, refused and failed, for each placement policy");
    absl::ParseCommandLine(argc, argv);
    std::cout << "policy     kind     when     asked   time   late refused failed\n";
    for (const auto policy :
         {PlacementPolicy::Central, PlacementPolicy::Probing, PlacementPolicy::LeastOwnCalls, PlacementPolicy::Random}) {
        auto options = optionsFromFlags();
        options.policy = policy;
        std::vector<CallKindResult> all(options.kinds.size());
        std::vector<CallKindResult> burst(options.kinds.size());
        std::uint64_t probes = 0;
        std::uint64_t extraAttempts = 0;
        for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
            options.seed = static_cast<std::uint64_t>(seed);
            const auto result = simulatePlacement(options);
            for (std::size_t i = 0; i < all.size(); ++i) {
                addResult(all[i], result.kinds[i]);
                addResult(burst[i], result.inBurst[i]);
            }
            probes += result.probes;
            extraAttempts += result.extraAttempts;
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            printKind(nameOf(policy), options.kinds[i].name, "all", all[i]);
            printKind(nameOf(policy), options.kinds[i].name, "burst", burst[i]);
        }
        std::cout << absl::StrFormat("%-10s probes %d, extra attempts %d\n", std::string(nameOf(policy)), probes, extraAttempts);
    }
    return 0;
}
