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
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator<(const Event &a, const Event &b)
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

/// An entry host.
struct Entry
{
    bool alive = true;
    int domain = 0;
    std::string name;
    std::unique_ptr<Dispatch::Dispatcher> dispatcher;
    std::vector<int> inFlight;
    std::size_t turn = 0;
    /// Workers whose old connections from here are silent.
    std::set<int> silent;
};

/// A caller with the entry list it keeps.
struct Caller
{
    std::vector<int> entries;
    Millis until{-1};
};

/// One run of a scenario: an event queue, callers, entry hosts, workers and what strikes them.
class Simulator
{
public:
    Simulator(const Scenario &scenario, Policy policy, std::uint64_t seed);
    Measures run();

private:
    struct Stream
    {
        Priority priority;
        double rate = 0;
        std::optional<int> partner = std::nullopt;
    };
    void at(Millis time, std::function<void()> run);
    void after(Millis span, std::function<void()> run);
    void buildDispatchers();
    std::vector<int> dispatchSet() const;
    void tellDispatchers();

    // Load.

    void startStream(const Stream &stream);
    void nextArrival(const Stream &stream);
    void arrive(const Stream &stream);
    void submit(std::size_t id);
    std::vector<int> listEntries();
    void finish(std::size_t id, Ending ending);
    void answerCaller(std::size_t id, Ending ending);

    // Entries.

    void enter(std::size_t id, int entry);
    void lostEntry(std::size_t id);
    void checkInvariants(const Entry &entry);
    void carryOut(int entry, const Dispatch::Actions &actions);
    Millis travel(int entry, int worker) const;
    void sendAttempt(int entry, const Job &job, int worker);
    void cancelAttempt(int entry, const Dispatch::CancelAttempt &action);
    void probe(int entry, int worker);
    void attemptEnded(int worker, const Job &job, const Dispatch::AttemptResult &result);
    void tick();

    // Baselines: send at once, refuse nothing, know only what they have in flight themselves.

    bool knownGone(const Worker &worker) const;
    int chooseBaseline(Entry &host);
    void enterBaseline(std::size_t id, int entry);
    void baselineEnded(int worker, const Job &job, const Dispatch::AttemptResult &result);

    // Workers.

    Dispatch::LoadReport reportOf(int worker) const;
    void workerArrive(int worker, const Job &job);
    Millis serviceTime(const Worker &worker);
    void startJobs(int worker);
    void reply(int worker, const Job &job, Dispatch::AttemptOutcome outcome);

    // The all-knowing queue.

    void centralArrive(std::size_t id);
    void centralPump();

    // Faults.

    void strike(const Fault &fault);
    void strikeWorker(const Fault &fault, int worker);
    void kill(int nth);

    const Scenario &m_scenario;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Millis m_now{};
    std::vector<Worker> m_workers;
    std::vector<Entry> m_entries;
    std::vector<bool> m_listed;
    std::vector<Caller> m_callers;
    std::vector<Call> m_calls;
    std::uint64_t m_open = 0;
    std::unordered_set<std::size_t> m_baselineOpen;
    std::array<std::deque<std::size_t>, priorityCount> m_central;
    double m_loseShare = 0;
    double m_crossShare = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_probes = 0;
    double m_invariantsBroken = 0;
};

}

#endif
