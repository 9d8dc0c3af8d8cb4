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

constexpr Millis detection = 4_s;
constexpr Millis drainNotice = 3_s;
constexpr Millis failingTime = 1_ms;
constexpr int workerQueueLimit = 60;

}

bool Simulator::knownGone(const Worker &worker) const
{
    return worker.draining && m_now - worker.drainingSince >= drainNotice;
}

int Simulator::chooseBaseline(Entry &host)
{
    std::vector<int> usable;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (!knownGone(m_workers[i])) {
            usable.push_back(static_cast<int>(i));
        }
    }
    const auto some = [&] { return usable[m_random() % usable.size()]; };
    const auto load = [&](int it) { return host.inFlight[static_cast<std::size_t>(it)]; };
    switch (m_policy) {
    case Policy::RoundRobin:
        return usable[host.turn++ % usable.size()];
    case Policy::TwoChoices: {
        const int a = some();
        const int b = some();
        return load(a) <= load(b) ? a : b;
    }
    case Policy::LeastInFlight:
        std::shuffle(usable.begin(), usable.end(), m_random);
        return *std::min_element(usable.begin(), usable.end(), [&](int a, int b) { return load(a) < load(b); });
    default:
        return some();
    }
}

void Simulator::enterBaseline(std::size_t id, int entry)
{
    auto &host = m_entries[static_cast<std::size_t>(entry)];
    const int worker = chooseBaseline(host);
    ++host.inFlight[static_cast<std::size_t>(worker)];
    m_baselineOpen.insert(id);
    sendAttempt(entry, {.call = id, .attempt = 0, .entry = entry}, worker);
}

void Simulator::baselineEnded(int worker, const Job &job, const Dispatch::AttemptResult &result)
{
    if (m_baselineOpen.erase(job.call) == 0) {
        return;
    }
    --m_entries[static_cast<std::size_t>(job.entry)].inFlight[static_cast<std::size_t>(worker)];
    const bool done = result.outcome == AttemptOutcome::Answered;
    const bool notRun = result.outcome == AttemptOutcome::Shed;
    answerCaller(job.call, done ? Ending::Done : notRun ? Ending::NotRun : Ending::Unknown);
}

Dispatch::LoadReport Simulator::reportOf(int worker) const
{
    const auto &it = m_workers[static_cast<std::size_t>(worker)];
    return {.inFlight = it.misleading ? 0.0 : it.inFlight(), .draining = it.draining};
}

void Simulator::workerArrive(int worker, const Job &job)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    if (it.failing) {
        after(failingTime, [this, worker, job] { reply(worker, job, AttemptOutcome::Failed); });
    } else if (it.draining || static_cast<int>(it.queue.size()) >= workerQueueLimit) {
        reply(worker, job, AttemptOutcome::Shed);
    } else {
        it.queue.push_back(job);
        startJobs(worker);
    }
}

Millis Simulator::serviceTime(const Worker &worker)
{
    // Log-normal with the scenario's mean.
    std::lognormal_distribution<double> time(std::log(m_scenario.meanService.count) - m_scenario.sigma * m_scenario.sigma / 2,
                                             m_scenario.sigma);
    return Millis{time(m_random) * worker.timeFactor(m_now)};
}

void Simulator::startJobs(int worker)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    while (it.running < it.slots && !it.queue.empty()) {
        const auto job = it.queue.front();
        it.queue.pop_front();
        ++it.running;
        ++m_calls[job.call].runs;
        after(serviceTime(it), [this, worker, job] {
            --m_workers[static_cast<std::size_t>(worker)].running;
            startJobs(worker);
            reply(worker, job, AttemptOutcome::Answered);
        });
    }
}

void Simulator::reply(int worker, const Job &job, AttemptOutcome outcome)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (m_loseShare > 0 && chance(m_random) < m_loseShare) {
        return;
    }
    const bool crossed = m_crossShare > 0 && chance(m_random) < m_crossShare;
    const Dispatch::AttemptResult result{.outcome = crossed ? AttemptOutcome::Incomplete : outcome,
                                         .report = crossed ? std::nullopt : std::optional(reportOf(worker))};
    after(travel(job.entry, worker), [this, worker, job, result] { attemptEnded(worker, job, result); });
}

void Simulator::centralArrive(std::size_t id)
{
    m_central[indexOf(m_calls[id].priority)].push_back(id);
    at(m_calls[id].deadline, [this, id] {
        auto &queue = m_central[indexOf(m_calls[id].priority)];
        const auto it = std::find(queue.begin(), queue.end(), id);
        if (it != queue.end()) {
            queue.erase(it);
            answerCaller(id, Ending::NotRun);
        }
    });
    centralPump();
}

void Simulator::centralPump()
{
    while (true) {
        const auto queue = std::find_if(m_central.begin(), m_central.end(), [](const auto &it) { return !it.empty(); });
        std::vector<int> idle;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            const auto &it = m_workers[i];
            if (it.running < it.slots && !it.draining && !it.failing) {
                idle.push_back(static_cast<int>(i));
            }
        }
        if (queue == m_central.end() || idle.empty()) {
            return;
        }
        const auto id = queue->front();
        queue->pop_front();
        auto &worker = m_workers[static_cast<std::size_t>(idle[m_random() % idle.size()])];
        ++worker.running;
        ++m_calls[id].runs;
        after(serviceTime(worker), [this, id, &worker] {
            --worker.running;
            after(m_scenario.otherDomain * 2, [this, id] { answerCaller(id, Ending::Done); });
            centralPump();
        });
    }
}

void Simulator::strike(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Flood:
        startStream({.priority = fault.priority, .rate = fault.amount * m_scenario.capacity(), .partner = fault.partner});
        return;
    case FaultKind::LoseAnswers:
        m_loseShare = fault.amount;
        return;
    case FaultKind::CrossAnswers:
        m_crossShare = fault.amount;
        return;
    case FaultKind::Kill:
        for (int i = 0; i < fault.count; ++i) {
            kill(fault.first + i);
        }
        return;
    default:
        for (int i = 0; i < fault.count; ++i) {
            strikeWorker(fault, (fault.first + i) % m_scenario.workers);
        }
    }
}

void Simulator::strikeWorker(const Fault &fault, int worker)
{
    auto &it = m_workers[static_cast<std::size_t>(worker)];
    switch (fault.kind) {
    case FaultKind::Slow:
        it.slowFactor = fault.amount;
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
            entry.silent.insert(worker);
        }
        break;
    default:
        it.slowFactor = 1;
        it.failing = false;
        it.misleading = false;
        it.draining = false;
    }
    if (fault.kind == FaultKind::Heal && m_policy == Policy::Central) {
        centralPump();
    }
}

// Strikes the members of the dispatch set first: the others have no calls to lose.
void Simulator::kill(int nth)
{
    const auto set = m_policy == Policy::Laburnummast ? dispatchSet() : std::vector<int>{};
    const int entry = set.empty() ? nth : set[static_cast<std::size_t>(nth) % set.size()];
    m_entries[static_cast<std::size_t>(entry)].alive = false;
    for (std::size_t id = 0; id < m_calls.size(); ++id) {
        if (m_calls[id].entry == entry && m_calls[id].ending == Ending::Open && m_policy != Policy::Central) {
            after(m_scenario.client, [this, id] { lostEntry(id); });
        }
    }
    after(detection, [this, entry] {
        m_listed[static_cast<std::size_t>(entry)] = false;
        tellDispatchers();
    });
}

}
