#include "model/simulator.h"

#include "core/routing/rendezvous.h"
#include "core/text.h"
#include "model/measure.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Model
{
namespace
{

using Dispatch::Actions;
using Dispatch::AttemptOutcome;

// Time until a crashed entry host is removed from the lists.
constexpr Millis failureDetectionTime = 4_s;
// Time until the baseline policies stop sending to a worker that drains.
constexpr Millis drainDetectionTime = 3_s;
// Time that a failing worker needs to answer.
constexpr Millis failureResponseTime = 1_ms;
constexpr int workerQueueLimit = 60;

}

bool Simulator::isKnownToDrain(const Worker &worker) const
{
    return worker.draining && m_now - worker.drainingSince >= drainDetectionTime;
}

int Simulator::chooseBaselineWorker(EntryHost &host)
{
    std::vector<int> usable;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (!isKnownToDrain(m_workers[i])) {
            usable.push_back(static_cast<int>(i));
        }
    }
    const auto randomWorker = [&] { return usable[m_random() % usable.size()]; };
    const auto load = [&](int it) { return host.inFlight[static_cast<std::size_t>(it)]; };
    switch (m_policy) {
    case Policy::RoundRobin:
        return usable[host.roundRobinCounter++ % usable.size()];
    case Policy::TwoChoices: {
        const int a = randomWorker();
        const int b = randomWorker();
        return load(a) <= load(b) ? a : b;
    }
    case Policy::LeastInFlight:
        std::shuffle(usable.begin(), usable.end(), m_random);
        return *std::min_element(usable.begin(), usable.end(), [&](int a, int b) { return load(a) < load(b); });
    default:
        return randomWorker();
    }
}

void Simulator::startBaselineCall(std::size_t id, int entry)
{
    auto &host = m_entries[static_cast<std::size_t>(entry)];
    const int worker = chooseBaselineWorker(host);
    ++host.inFlight[static_cast<std::size_t>(worker)];
    m_openBaselineCalls.insert(id);
    sendAttempt(entry, {.call = id, .attempt = 0, .entry = entry}, worker);
}

void Simulator::endBaselineCall(int worker, const Job &job, const Dispatch::AttemptResult &result)
{
    if (m_openBaselineCalls.erase(job.call) == 0) {
        return;
    }
    --m_entries[static_cast<std::size_t>(job.entry)].inFlight[static_cast<std::size_t>(worker)];
    const bool done = result.outcome == AttemptOutcome::Answered;
    const bool notRun = result.outcome == AttemptOutcome::Shed;
    answerCaller(job.call, done ? CallOutcome::Done : notRun ? CallOutcome::NotRun : CallOutcome::Unknown);
}

Dispatch::LoadReport Simulator::loadReport(int worker) const
{
    const auto &it = m_workers[static_cast<std::size_t>(worker)];
    return {.inFlight = it.misleading ? 0.0 : it.inFlight(), .draining = it.draining};
}

void Simulator::receiveAttempt(int worker, const Job &job)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    if (it.failing) {
        scheduleAfter(failureResponseTime, [this, worker, job] { reply(worker, job, AttemptOutcome::Failed); });
    } else if (it.draining || static_cast<int>(it.queue.size()) >= workerQueueLimit) {
        reply(worker, job, AttemptOutcome::Shed);
    } else {
        it.queue.push_back(job);
        startJobs(worker);
    }
}

Millis Simulator::drawServiceTime(const Worker &worker)
{
    // Subtracting half of sigma squared makes the mean of the log-normal distribution that of the scenario.
    std::lognormal_distribution<double> time(std::log(m_scenario.meanServiceTime.count)
                                                 - m_scenario.serviceTimeSigma * m_scenario.serviceTimeSigma / 2,
                                             m_scenario.serviceTimeSigma);
    return Millis{time(m_random) * worker.serviceTimeFactor(m_now)};
}

void Simulator::startJobs(int worker)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    while (it.running < it.slots && !it.queue.empty()) {
        const auto job = it.queue.front();
        it.queue.pop_front();
        ++it.running;
        ++m_calls[job.call].executions;
        scheduleAfter(drawServiceTime(it), [this, worker, job] {
            --m_workers[static_cast<std::size_t>(worker)].running;
            startJobs(worker);
            reply(worker, job, AttemptOutcome::Answered);
        });
    }
}

void Simulator::reply(int worker, const Job &job, AttemptOutcome outcome)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (m_lostAnswerShare > 0 && chance(m_random) < m_lostAnswerShare) {
        return;
    }
    const bool crossed = m_crossedAnswerShare > 0 && chance(m_random) < m_crossedAnswerShare;
    const Dispatch::AttemptResult result{.outcome = crossed ? AttemptOutcome::Incomplete : outcome,
                                         .report = crossed ? std::nullopt : std::optional(loadReport(worker))};
    scheduleAfter(networkDelay(job.entry, worker), [this, worker, job, result] { endAttempt(worker, job, result); });
}

void Simulator::enqueueCentral(std::size_t id)
{
    m_centralQueues[indexOf(m_calls[id].priority)].push_back(id);
    scheduleAt(m_calls[id].deadline, [this, id] {
        auto &queue = m_centralQueues[indexOf(m_calls[id].priority)];
        const auto it = std::find(queue.begin(), queue.end(), id);
        if (it != queue.end()) {
            queue.erase(it);
            answerCaller(id, CallOutcome::NotRun);
        }
    });
    dispatchCentralQueues();
}

void Simulator::dispatchCentralQueues()
{
    while (true) {
        const auto queue = std::find_if(m_centralQueues.begin(), m_centralQueues.end(), [](const auto &it) { return !it.empty(); });
        std::vector<int> idle;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            const auto &it = m_workers[i];
            if (it.running < it.slots && !it.draining && !it.failing) {
                idle.push_back(static_cast<int>(i));
            }
        }
        if (queue == m_centralQueues.end() || idle.empty()) {
            return;
        }
        const auto id = queue->front();
        queue->pop_front();
        auto &worker = m_workers[static_cast<std::size_t>(idle[m_random() % idle.size()])];
        ++worker.running;
        ++m_calls[id].executions;
        scheduleAfter(drawServiceTime(worker), [this, id, &worker] {
            --worker.running;
            scheduleAfter(m_scenario.otherDomainDelay * 2, [this, id] { answerCaller(id, CallOutcome::Done); });
            dispatchCentralQueues();
        });
    }
}

void Simulator::applyFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Flood:
        startArrivals({.priority = fault.priority, .rate = fault.magnitude * m_scenario.capacity(), .partner = fault.partner});
        return;
    case FaultKind::LoseAnswers:
        m_lostAnswerShare = fault.magnitude;
        return;
    case FaultKind::CrossAnswers:
        m_crossedAnswerShare = fault.magnitude;
        return;
    case FaultKind::Kill:
        for (int i = 0; i < fault.targetCount; ++i) {
            killEntry(fault.firstTarget + i);
        }
        return;
    default:
        for (int i = 0; i < fault.targetCount; ++i) {
            applyWorkerFault(fault, (fault.firstTarget + i) % m_scenario.workers);
        }
    }
}

void Simulator::applyWorkerFault(const Fault &fault, int worker)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    switch (fault.kind) {
    case FaultKind::Slow:
        it.slowFactor = fault.magnitude;
        break;
    case FaultKind::Fail:
        it.failing = true;
        break;
    case FaultKind::Mislead:
        it.misleading = true;
        break;
    case FaultKind::Drain:
        it.draining = true;
        it.drainingSince = m_now;
        break;
    case FaultKind::Restart:
        it.coldSince = m_now;
        break;
    case FaultKind::Silence:
        for (auto &entry : m_entries) {
            entry.silentWorkers.insert(worker);
        }
        break;
    default:
        it.slowFactor = 1;
        it.failing = false;
        it.misleading = false;
        it.draining = false;
    }
    if (fault.kind == FaultKind::Heal && m_policy == Policy::Central) {
        dispatchCentralQueues();
    }
}

// The index counts within the dispatch set if there is one, since the other entry hosts have no calls to lose.
void Simulator::killEntry(int index)
{
    const auto set = m_policy == Policy::Laburnummast ? dispatchSet() : std::vector<int>{};
    const int entry = set.empty() ? index : set[static_cast<std::size_t>(index) % set.size()];
    m_entries[static_cast<std::size_t>(entry)].alive = false;
    for (std::size_t id = 0; id < m_calls.size(); ++id) {
        if (m_calls[id].entry == entry && m_calls[id].outcome == CallOutcome::Open && m_policy != Policy::Central) {
            scheduleAfter(m_scenario.clientDelay, [this, id] { handleEntryLoss(id); });
        }
    }
    scheduleAfter(failureDetectionTime, [this, entry] {
        m_listed[static_cast<std::size_t>(entry)] = false;
        updateDispatchSets();
    });
}

}
