#ifndef LABURNUMMAST_MODEL_SIMULATOR_H
#define LABURNUMMAST_MODEL_SIMULATOR_H

#include "core/dispatch/dispatcher.h"
#include "model/call.h"
#include "model/simulation.h"
#include "model/worker.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace Laburnummast::Model
{

/// A task that runs at a point in time; tasks of the same time run in the order in which they were scheduled.
struct Event
{
    Millis at;
    std::uint64_t sequence = 0;
    std::function<void()> task;

    // Reversed, because a priority queue returns its greatest element first.
    friend bool operator<(const Event &a, const Event &b)
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

/// An entry host, with the state of the dispatcher or of the baseline policy that it runs.
struct EntryHost
{
    bool alive = true;
    int domain = 0;
    std::string name;
    /// Empty under the baseline policies.
    std::unique_ptr<Dispatch::Dispatcher> dispatcher;
    /// Calls in flight from this entry host by worker; only used by the baseline policies.
    std::vector<int> inFlight;
    /// Counts the choices of the round-robin policy.
    std::size_t roundRobinCounter = 0;
    /// Workers to which the open connections of this entry host are silent.
    std::set<int> silentWorkers;
};

/// A caller with its cached list of entry hosts, in the order in which it tries them.
struct Caller
{
    std::vector<int> entries;
    /// Time from which on the list has to be fetched again.
    Millis entriesExpiry{-1};
};

/// Discrete-event simulation of a scenario: callers, entry hosts, workers and faults.
class Simulator
{
public:
    Simulator(const Scenario &scenario, Policy policy, std::uint64_t seed);
    /// Runs the scenario to its end; may be called once.
    Measures run();

private:
    /// Poisson arrivals of calls of one priority.
    struct ArrivalStream
    {
        Priority priority;
        /// Calls per second.
        double rate = 0;
        /// Empty if the calls are spread over all partners at random.
        std::optional<int> partner = std::nullopt;
    };
    void scheduleAt(Millis time, std::function<void()> task);
    void scheduleAfter(Millis delay, std::function<void()> task);
    void buildDispatchers();
    /// Indices of the entry hosts that dispatch the service.
    std::vector<int> dispatchSet() const;
    /// Passes the current dispatch set to every dispatcher.
    void updateDispatchSets();

    // Callers.

    void startArrivals(const ArrivalStream &stream);
    void scheduleNextArrival(const ArrivalStream &stream);
    void handleArrival(const ArrivalStream &stream);
    /// Sends a call to an entry host, or to the central queue.
    void submit(std::size_t id);
    /// Entry hosts that a caller should try, in this order.
    std::vector<int> listEntries();
    /// Records the outcome of a call unless it has one already.
    void finishCall(std::size_t id, CallOutcome outcome);
    /// Finishes the call after the network delay to its caller.
    void answerCaller(std::size_t id, CallOutcome outcome);

    // Entry hosts.

    /// Handles a call that arrives at an entry host.
    void receiveCall(std::size_t id, int entry);
    /// Handles the loss of the entry host of a call at its caller.
    void handleEntryLoss(std::size_t id);
    /// Checks the invariants of a dispatcher and counts a violation.
    void checkInvariants(const EntryHost &entry);
    /// Carries out what the dispatcher of an entry host decided.
    void applyActions(int entry, const Dispatch::Actions &actions);
    Millis networkDelay(int entry, int worker) const;
    void sendAttempt(int entry, const Job &job, int worker);
    void cancelAttempt(int entry, const Dispatch::CancelAttempt &action);
    void probeWorker(int entry, int worker);
    /// Passes the result of an attempt to the entry host that sent it.
    void endAttempt(int worker, const Job &job, const Dispatch::AttemptResult &result);
    /// Advances every dispatcher and schedules the next tick.
    void tick();

    // Baseline policies: an entry host sends each call immediately, refuses none and knows only its own calls in flight.

    /// Whether the entry hosts have learned that the worker drains.
    bool isKnownToDrain(const Worker &worker) const;
    int chooseBaselineWorker(EntryHost &host);
    void startBaselineCall(std::size_t id, int entry);
    void endBaselineCall(int worker, const Job &job, const Dispatch::AttemptResult &result);

    // Workers.

    Dispatch::LoadReport loadReport(int worker) const;
    void receiveAttempt(int worker, const Job &job);
    /// Draws a random service time for the current condition of the worker.
    Millis drawServiceTime(const Worker &worker);
    /// Starts queued jobs while slots are free.
    void startJobs(int worker);
    /// Sends the result of an attempt back; it may be lost or crossed.
    void reply(int worker, const Job &job, Dispatch::AttemptOutcome outcome);

    // The central queue.

    void enqueueCentral(std::size_t id);
    /// Starts queued calls at idle workers, most urgent first.
    void dispatchCentralQueues();

    // Faults.

    void applyFault(const Fault &fault);
    void applyWorkerFault(const Fault &fault, int worker);
    /// Crashes an entry host; the callers of its open calls lose their connections.
    void killEntry(int index);

    const Scenario &m_scenario;
    Policy m_policy;
    /// Separate generators, so that all policies get the same arrivals.
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivalRandom;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Millis m_now{};
    std::vector<Worker> m_workers;
    std::vector<EntryHost> m_entries;
    /// Whether an entry host counts as alive, by index; cleared some time after it crashed.
    std::vector<bool> m_listed;
    std::vector<Caller> m_callers;
    std::vector<Call> m_calls;
    /// Number of calls without an outcome.
    std::uint64_t m_openCalls = 0;
    /// Calls of baseline policies whose attempt has not ended.
    std::unordered_set<std::size_t> m_openBaselineCalls;
    /// Calls that wait in the central queue, by priority.
    std::array<std::deque<std::size_t>, priorityCount> m_centralQueues;
    double m_lostAnswerShare = 0;
    double m_crossedAnswerShare = 0;
    /// Attempts, cancellations and probes sent to workers.
    std::uint64_t m_messages = 0;
    std::uint64_t m_probes = 0;
    double m_invariantsBroken = 0;
};

}

#endif
