// bench-policy: simulates scenario scripts under the dispatcher of this project, the baseline policies and the central queue,
// checks their expectations and writes tables and plots.

#include "core/text.h"
#include "model/plot.h"
#include "model/scenario.h"
#include "model/simulation.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

ABSL_FLAG(int, seeds, 5, "number of random seeds, counted from 1");
ABSL_FLAG(std::string, out, "", "directory for policy.csv and one plot per scenario; empty to write none");
ABSL_FLAG(bool, baselines, true, "also run the baseline policies and the central queue where no expectation needs them");
ABSL_FLAG(std::string,
          known_red,
          "",
          "file with expectations that are known to fail, one per line: scenario SCENARIO MEASURE; other lines are ignored");

namespace Laburnummast::Model
{
namespace
{

// One simulation: a scenario, by index, under a policy with a random seed.
struct Run
{
    std::size_t scenario = 0;
    Policy policy = Policy::Laburnummast;
    std::uint64_t seed = 1;
    Measures measures;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

bool needsBaselines(const Scenario &scenario)
{
    return std::any_of(scenario.expectations.begin(), scenario.expectations.end(), [](const Expectation &it) {
        return it.reference == Reference::BestBaseline;
    });
}

bool needsCentral(const Scenario &scenario)
{
    return std::any_of(scenario.expectations.begin(), scenario.expectations.end(), [](const Expectation &it) {
        return it.reference == Reference::Central;
    });
}

std::vector<Run> planRuns(const std::vector<Scenario> &scenarios)
{
    std::vector<Run> runs;
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        for (std::size_t policy = 0; policy < policyNames.size(); ++policy) {
            const auto candidate = static_cast<Policy>(policy);
            const bool needed = candidate == Policy::Laburnummast
                || (candidate == Policy::Central ? needsCentral(scenarios[i]) : needsBaselines(scenarios[i]));
            for (std::uint64_t seed = 1;
                 (needed || absl::GetFlag(FLAGS_baselines)) && seed <= static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seeds));
                 ++seed) {
                runs.push_back({.scenario = i, .policy = candidate, .seed = seed, .measures = {}});
            }
        }
    }
    return runs;
}

void simulateAll(const std::vector<Scenario> &scenarios, std::vector<Run> &runs)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (auto it = next.fetch_add(1); it < runs.size(); it = next.fetch_add(1)) {
                runs[it].measures = simulate(scenarios[runs[it].scenario], runs[it].policy, runs[it].seed);
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
}

// Values of one measure, one per seed; -1 where a run lacks it.
std::vector<double> valuesOf(const std::vector<Run> &runs, std::size_t scenario, Policy policy, const std::string &measure)
{
    std::vector<double> values;
    for (const auto &it : runs) {
        if (it.scenario == scenario && it.policy == policy) {
            const auto found = it.measures.find(measure);
            values.push_back(found == it.measures.end() ? -1 : found->second);
        }
    }
    return values;
}

// The best value among the baseline policies, one per seed.
std::vector<double> bestBaselines(const std::vector<Run> &runs, std::size_t scenario, const std::string &measure, bool lowerIsBetter)
{
    std::vector<double> best;
    for (const auto policy : {Policy::Random, Policy::RoundRobin, Policy::TwoChoices, Policy::LeastInFlight}) {
        const auto values = valuesOf(runs, scenario, policy, measure);
        for (std::size_t i = 0; i < values.size(); ++i) {
            if (best.size() <= i) {
                best.push_back(values[i]);
            } else {
                best[i] = lowerIsBetter ? std::min(best[i], values[i]) : std::max(best[i], values[i]);
            }
        }
    }
    return best;
}

// Values that the bound of an expectation is relative to, one per seed; 1 for an absolute bound.
std::vector<double> referenceValues(const std::vector<Run> &runs, std::size_t scenario, const Expectation &expectation)
{
    switch (expectation.reference) {
    case Reference::Central:
        return valuesOf(runs, scenario, Policy::Central, expectation.measure);
    case Reference::Before:
        return valuesOf(runs, scenario, Policy::Laburnummast, "before." + expectation.measure);
    case Reference::BestBaseline:
        return bestBaselines(runs, scenario, expectation.measure, expectation.atMost);
    case Reference::None:
        break;
    }
    return std::vector<double>(static_cast<std::size_t>(absl::GetFlag(FLAGS_seeds)), 1.0);
}

// Value that is compared with the bound, relative to the reference: the median over the seeds, or the maximum if the bound is an
// absolute 0, which means that an event must not occur at all.
double expectationValue(const std::vector<Run> &runs, std::size_t scenario, const Expectation &expectation)
{
    auto ratios = valuesOf(runs, scenario, Policy::Laburnummast, expectation.measure);
    const auto reference = referenceValues(runs, scenario, expectation);
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        ratios[i] = reference[i] > 0 ? ratios[i] / reference[i] : ratios[i];
    }
    const bool mustNotOccur = expectation.reference == Reference::None && expectation.bound == 0;
    return mustNotOccur ? *std::max_element(ratios.begin(), ratios.end()) : median(ratios);
}

// Reads "SCENARIO MEASURE" of each expectation that is known to fail.
std::vector<std::string> readKnownFailures()
{
    std::vector<std::string> knownFailures;
    std::ifstream stream(absl::GetFlag(FLAGS_known_red));
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("scenario ")) {
            const auto words = Text::split(line, ' ');
            knownFailures.push_back(words.size() > 2 ? Text::concat(words[1], " ", words[2]) : std::string());
        }
    }
    return knownFailures;
}

// Prints the result of every expectation. Returns false if one of them fails that is not in the list of known failures.
bool checkExpectations(const std::vector<Scenario> &scenarios, const std::vector<Run> &runs)
{
    constexpr std::array<std::string_view, 4> referenceNames{"", " x central", " x before", " x best-baseline"};
    const auto knownFailures = readKnownFailures();
    bool ok = true;
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        for (const auto &it : scenarios[i].expectations) {
            const double value = expectationValue(runs, i, it);
            const bool met = it.atMost ? value <= it.bound : value >= it.bound;
            const bool knownFailure = !met
                && std::find(knownFailures.begin(), knownFailures.end(), scenarios[i].name + " " + it.measure) != knownFailures.end();
            ok = ok && (met || knownFailure);
            std::cout << absl::StrFormat("%-9s %-22s %-18s %9.3f %s %g%s\n",
                                         met                ? "ok"
                                             : knownFailure ? "known-red"
                                                            : "FAILED",
                                         scenarios[i].name,
                                         it.measure,
                                         value,
                                         it.atMost ? "<=" : ">=",
                                         it.bound,
                                         std::string(referenceNames[static_cast<std::size_t>(it.reference)]));
        }
    }
    return ok;
}

// Value of the column "owner": "partner" for a measure about single partners, otherwise "all".
std::string ownerColumn(const std::string &measure)
{
    return measure.starts_with("partner") ? "partner" : "all";
}

// Value of the column "priority": the priority that a measure is about, or "all".
std::string priorityColumn(const std::string &measure)
{
    for (const auto it : priorityNames) {
        if (measure.find(it) != std::string::npos) {
            return std::string(it);
        }
    }
    return "all";
}

void writeCsv(const std::vector<Scenario> &scenarios, const std::vector<Run> &runs, const std::string &path)
{
    std::ofstream stream(path);
    stream << "policy,scenario,seed,priority,owner,metric,value\n";
    for (const auto &run : runs) {
        for (const auto &[measure, value] : run.measures) {
            stream << nameOf(run.policy) << "," << scenarios[run.scenario].name << "," << run.seed << "," << priorityColumn(measure) << ","
                   << ownerColumn(measure) << "," << measure << "," << value << "\n";
        }
    }
}

void printTable(const std::vector<Scenario> &scenarios, const std::vector<Run> &runs)
{
    constexpr std::array<const char *, 8> shownMeasures{
        "urgent.p99", "urgent.in_time", "normal.p99", "normal.in_time", "deferrable.in_time", "lower.share", "goodput", "partner.kept"};
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        std::cout << "\n" << scenarios[i].name << " (median and range of " << absl::GetFlag(FLAGS_seeds) << " seeds)\n";
        for (const auto *measure : shownMeasures) {
            std::cout << absl::StrFormat("  %-20s", measure);
            for (std::size_t policy = 0; policy < policyNames.size(); ++policy) {
                const auto values = valuesOf(runs, i, static_cast<Policy>(policy), measure);
                if (!values.empty()) {
                    const auto [least, most] = std::minmax_element(values.begin(), values.end());
                    std::cout << absl::StrFormat("  %s %.1f [%.1f-%.1f]", std::string(policyNames[policy]), median(values), *least, *most);
                }
            }
            std::cout << "\n";
        }
    }
}

void writePlots(const std::vector<Scenario> &scenarios, const std::vector<Run> &runs, const std::string &directory)
{
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        std::vector<Bar> bars;
        for (std::size_t policy = 0; policy < policyNames.size(); ++policy) {
            for (const auto priority : priorityNames) {
                const auto values = valuesOf(runs, i, static_cast<Policy>(policy), std::string(priority) + ".p99");
                if (!values.empty()) {
                    const auto [least, most] = std::minmax_element(values.begin(), values.end());
                    bars.push_back({.group = std::string(policyNames[policy]),
                                    .label = std::string(priority),
                                    .value = median(values),
                                    .minimum = *least,
                                    .maximum = *most});
                }
            }
        }
        std::ofstream(directory + "/" + scenarios[i].name + ".svg") << plotBars(scenarios[i].name + ": p99 in ms, by priority", bars);
    }
}

int run(const std::vector<char *> &arguments)
{
    std::vector<Scenario> scenarios;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        std::ifstream stream(arguments[i]);
        std::ostringstream text;
        text << stream.rdbuf();
        auto scenario = parseScenario(std::filesystem::path(arguments[i]).stem().string(), text.str());
        if (const auto *failure = std::get_if<ScenarioError>(&scenario)) {
            std::cerr << arguments[i] << ":" << failure->line << ": invalid statement: " << failure->statement << "\n";
            return 2;
        }
        scenarios.push_back(std::move(std::get<Scenario>(scenario)));
    }
    auto runs = planRuns(scenarios);
    simulateAll(scenarios, runs);
    const auto directory = absl::GetFlag(FLAGS_out);
    if (!directory.empty()) {
        std::filesystem::create_directories(directory);
        writeCsv(scenarios, runs, directory + "/policy.csv");
        writePlots(scenarios, runs, directory);
        printTable(scenarios, runs);
        std::cout << "\n";
    }
    return checkExpectations(scenarios, runs) ? 0 : 1;
}

}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("bench-policy [flags] SCENARIO.scn ...");
    return Laburnummast::Model::run(absl::ParseCommandLine(argc, argv));
}
