#include "model/measure.h"

#include "core/text.h"

#include <algorithm>
#include <vector>

namespace Laburnummast::Model
{
namespace
{

constexpr double percent = 100;

// A period of a run; `to` is excluded.
struct Window
{
    Millis from;
    Millis to;

    // Whether the call was created in the window.
    bool contains(const Call &call) const
    {
        return call.created >= from && call.created < to;
    }
    double seconds() const
    {
        return (to - from) / 1_s;
    }
};

// The network delay between caller and entry host does not count against the deadline.
bool inTime(const Scenario &scenario, const Call &call)
{
    return call.outcome == CallOutcome::Done && call.latency() <= scenario.deadlines[indexOf(call.priority)] + scenario.clientDelay * 2;
}

// Quantile `q` of the values, which are reordered; 0 if there are none.
double quantile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

// Number of calls answered in time within the window, no matter when they were created.
double countServedWithin(const Scenario &scenario, std::span<const Call> calls, const Window &window, Priority priority)
{
    return static_cast<double>(std::count_if(calls.begin(), calls.end(), [&](const Call &it) {
        return it.priority == priority && inTime(scenario, it) && it.ended >= window.from && it.ended < window.to;
    }));
}

// Adds the measures of the calls of one priority that were created in the window; their names start with `prefix`.
void measurePriority(const Scenario &scenario,
                     std::span<const Call> calls,
                     const Window &window,
                     Priority priority,
                     const std::string &prefix,
                     Measures &measures)
{
    std::vector<double> latencies;
    double callCount = 0;
    double inTimeCalls = 0;
    double refused = 0;
    for (const auto &it : calls) {
        if (it.priority != priority || !window.contains(it)) {
            continue;
        }
        ++callCount;
        inTimeCalls += inTime(scenario, it) ? 1 : 0;
        refused += it.outcome == CallOutcome::NotRun ? 1 : 0;
        if (it.outcome == CallOutcome::Done) {
            latencies.push_back(it.latency().count);
        }
    }
    const auto name = prefix + std::string(nameOf(priority));
    measures[name + ".p50"] = quantile(latencies, 0.5);
    measures[name + ".p99"] = quantile(latencies, 0.99);
    measures[name + ".in_time"] = callCount > 0 ? percent * inTimeCalls / callCount : percent;
    measures[name + ".refused"] = callCount > 0 ? percent * refused / callCount : 0;
    measures[name + ".share"] = percent * countServedWithin(scenario, calls, window, priority) / window.seconds() / scenario.capacity();
}

// Share of the calls of a partner that were answered in time; 1 if there are none.
double partnerInTimeShare(const Scenario &scenario, std::span<const Call> calls, const Window &window, int partner)
{
    double callCount = 0;
    double inTimeCalls = 0;
    for (const auto &it : calls) {
        if (it.partner == partner && window.contains(it)) {
            ++callCount;
            inTimeCalls += inTime(scenario, it) ? 1 : 0;
        }
    }
    return callCount > 0 ? inTimeCalls / callCount : 1;
}

// Ratio of a partner's share of calls in time during the faults to its share before them, in percent: the lowest value, at most 100,
// over the partners that do not cause a flood.
double worstPartnerRetention(const Scenario &scenario, std::span<const Call> calls, const Window &before, const Window &during)
{
    double worst = 1;
    for (int partner = 0; partner < scenario.partners; ++partner) {
        const auto floods = [&](const Fault &it) { return it.kind == FaultKind::Flood && it.partner == partner; };
        if (std::none_of(scenario.faults.begin(), scenario.faults.end(), floods)) {
            const double shareBefore = partnerInTimeShare(scenario, calls, before, partner);
            worst = std::min(worst, partnerInTimeShare(scenario, calls, during, partner) / shareBefore);
        }
    }
    return percent * worst;
}

}

Measures measureCalls(const Scenario &scenario, std::span<const Call> calls)
{
    Measures measures;
    const Window during{.from = scenario.firstFaultTime(), .to = scenario.duration};
    const Window before{.from = scenario.warmUp, .to = scenario.faults.empty() ? scenario.duration : scenario.firstFaultTime()};
    double total = 0;
    for (const auto priority : {Priority::Urgent, Priority::Normal, Priority::Deferrable}) {
        measurePriority(scenario, calls, during, priority, "", measures);
        measurePriority(scenario, calls, before, priority, "before.", measures);
        total += measures[std::string(nameOf(priority)) + ".share"];
    }
    measures["goodput"] = total;
    measures["lower.share"] = measures["normal.share"] + measures["deferrable.share"];
    measures["partner.kept"] = worstPartnerRetention(scenario, calls, before, during);
    double duplicated = 0;
    double refusedButRan = 0;
    double unanswered = 0;
    for (const auto &it : calls) {
        duplicated += !it.idempotent && it.executions > 1 ? 1 : 0;
        refusedButRan += it.outcome == CallOutcome::NotRun && it.executions > 0 && !it.idempotent ? 1 : 0;
        unanswered += it.outcome == CallOutcome::Open ? 1 : 0;
    }
    measures["duplicated"] = duplicated;
    measures["refused_but_ran"] = refusedButRan;
    measures["unanswered"] = unanswered;
    return measures;
}

}
