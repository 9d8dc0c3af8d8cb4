#ifndef LABURNUMMAST_MODEL_WORKER_H
#define LABURNUMMAST_MODEL_WORKER_H

#include "core/millis.h"

#include <cstdint>
#include <deque>

namespace Laburnummast::Model
{

/// One attempt as it stands at a worker.
struct Job
{
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    int entry = 0;
};

/// A modelled upstream: slots before a queue served first in, first out, with its faults.
struct Worker
{
    int domain = 0;
    int slots = 3;
    int running = 0;
    std::deque<Job> queue;
    double slowFactor = 1;
    bool failing = false;
    bool misleading = false;
    bool draining = false;
    Millis drainingSince{};
    Millis coldSince{-1e9};

    /// Calls here, running or waiting.
    int inFlight() const
    {
        return running + static_cast<int>(queue.size());
    }
    /// Factor on the service time, cold start included.
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
