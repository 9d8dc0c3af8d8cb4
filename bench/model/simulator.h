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

/// Something that happens at a time; of two at once the earlier planned goes first.
struct Event
{
    Millis at;
    std::uint64_t sequence = 0;
    std::function<void()> task;

    friend bool operator<(const Event &a, const Event &b)
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

/// An entry host.
struct EntryHost
{
    bool alive = true;
    int domain = 0;
    std::string name;
    std::unique_ptr<Dispatch::Dispatcher> dispatcher;
    std::vector<int> inFlight;
    std::size_t roundRobinCounter = 0;
    /// Workers whose old connections from here are silent.
    std::set<int> silentWorkers;
};

/// A caller with the entry list it keeps.
struct Caller
{
    std::vector<int> entries;
    Millis entriesExpiry{-1};
};

/// One run of a scenario: an event queue, callers, entry hosts, workers and what strikes them.
class Simulator
{
public:
    Simulator(const Scenario &scenario, Policy policy, std::uint64_t seed);
    Measures run();

private:
    struct ArrivalStream
    {
        Priority priority;
        double rate = 0;
        std::optional<int> partner = std::nullopt;
    };
    void scheduleAt(Millis time, std::function<void()> task);
    void scheduleAfter(Millis span, std::function<void()> task);
    void buildDispatchers();
    std::vector<int> dispatchSet() const;
    void updateDispatchSets();

    // Load.

    void startArrivals(const ArrivalStream &stream);
    void scheduleNextArrival(const ArrivalStream &stream);
    void handleArrival(const ArrivalStream &stream);
    void submit(std::size_t id);
    std::vector<int> listEntries();
    void finishCall(std::size_t id, CallOutcome outcome);
    void answerCaller(std::size_t id, CallOutcome outcome);

    // Entries.

    void receiveCall(std::size_t id, int entry);
    void handleEntryLoss(std::size_t id);
    void checkInvariants(const EntryHost &entry);
    void applyActions(int entry, const Dispatch::Actions &actions);
    Millis networkDelay(int entry, int worker) const;
    void sendAttempt(int entry, const Job &job, int worker);
    void cancelAttempt(int entry, const Dispatch::CancelAttempt &action);
    void probeWorker(int entry, int worker);
    void endAttempt(int worker, const Job &job, const Dispatch::AttemptResult &result);
    void tick();

    // Baselines: send at once, refuse nothing, know only what they have in flight themselves.

    bool isKnownToDrain(const Worker &worker) const;
    int chooseBaselineWorker(EntryHost &host);
    void startBaselineCall(std::size_t id, int entry);
    void endBaselineCall(int worker, const Job &job, const Dispatch::AttemptResult &result);

    // Workers.

    Dispatch::LoadReport loadReport(int worker) const;
    void receiveAttempt(int worker, const Job &job);
    Millis drawServiceTime(const Worker &worker);
    void startJobs(int worker);
    void reply(int worker, const Job &job, Dispatch::AttemptOutcome outcome);

    // The all-knowing queue.

    void enqueueCentral(std::size_t id);
    void dispatchCentralQueues();

    // Faults.

    void applyFault(const Fault &fault);
    void applyWorkerFault(const Fault &fault, int worker);
    void killEntry(int index);

    const Scenario &m_scenario;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivalRandom;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Millis m_now{};
    std::vector<Worker> m_workers;
    std::vector<EntryHost> m_entries;
    std::vector<bool> m_listed;
    std::vector<Caller> m_callers;
    std::vector<Call> m_calls;
    std::uint64_t m_openCalls = 0;
    std::unordered_set<std::size_t> m_openBaselineCalls;
    std::array<std::deque<std::size_t>, priorityCount> m_centralQueues;
    double m_lostAnswerShare = 0;
    double m_crossedAnswerShare = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_probes = 0;
    double m_invariantsBroken = 0;
};

}

#endif
