#ifndef LABURNUMMAST_MODEL_WORKER_H
#define LABURNUMMAST_MODEL_WORKER_H

#include "core/millis.h"

#include <cstdint>
#include <deque>

namespace Laburnummast::Model
{

/// An attempt that a worker has received.
struct Job
{
    /// Index of the call.
    std::uint64_t call = 0;
    /// Number of the attempt within the call.
    std::uint32_t attempt = 0;
    /// Index of the entry host that sent the attempt.
    int entry = 0;
};

/// A simulated upstream: slots that serve one first-in, first-out queue, and the faults in effect.
struct Worker
{
    int domain = 0;
    int slots = 3;
    /// Number of occupied slots.
    int running = 0;
    std::deque<Job> queue;
    /// Factor on the service time, without the cold start.
    double slowFactor = 1;
    /// Answers every call with a quick failure.
    bool failing = false;
    /// Reports no calls in flight, whatever its load.
    bool misleading = false;
    /// Finishes the calls that it has and rejects new ones.
    bool draining = false;
    Millis drainingSince{};
    /// Time of the last cold start; the default is long past.
    Millis coldSince{-1e9};

    /// Number of calls that are running or queued.
    int inFlight() const
    {
        return running + static_cast<int>(queue.size());
    }
    /// Factor on the service time at `now`, including the cold start, whose effect decreases linearly.
    double serviceTimeFactor(Millis now) const
    {
        constexpr Millis coldStartDuration = 3_s;
        constexpr double coldStartFactor = 5;
        const double cold = 1 - (now - coldSince) / coldStartDuration;
        return slowFactor * (cold > 0 ? 1 + (coldStartFactor - 1) * cold : 1);
    }
};

}

#endif
