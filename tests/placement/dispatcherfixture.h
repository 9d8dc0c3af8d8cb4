#ifndef LABURNUMMAST_TESTS_PLACEMENT_DISPATCHERFIXTURE_H
#define LABURNUMMAST_TESTS_PLACEMENT_DISPATCHERFIXTURE_H

#include "core/placement/servicedispatcher.h"

#include <string>
#include <vector>

namespace Laburnummast::Tests
{

using namespace Laburnummast::Placement;

/// A dispatcher whose inputs, clock and pending actions are controlled by the test.
struct DispatcherFixture
{
    explicit DispatcherFixture(std::size_t upstreams, const PlacementOptions &options = {.domain = "a"})
        : dispatcher(options, tokens, 1)
    {
        for (std::size_t i = 0; i < upstreams; ++i) {
            specs.push_back({.id = "u" + std::to_string(i), .domain = "a", .slots = 3});
        }
        dispatcher.setUpstreams(specs);
    }

    void submit(CallId id, bool idempotent, Millis objective = 250_ms, Millis deadline = 800_ms)
    {
        dispatcher.submit(
            {.id = id, .idempotent = idempotent, .maxAttempts = 2, .objective = now + objective, .deadline = now + deadline}, now, actions);
    }

    // Answers every pending probe with the same load.
    void answerProbes(const LoadReport &load)
    {
        const auto pending = take<Dispatch::ProbeUpstream>();
        for (const auto &it : pending) {
            dispatcher.probeEnded(it.upstream, {.answered = true, .load = load}, now, actions);
        }
    }

    // Answers every pending attempt successfully with the same load; returns the upstreams of these attempts.
    std::vector<UpstreamId> answerAttempts(const LoadReport &load)
    {
        std::vector<UpstreamId> upstreams;
        for (const auto &it : take<Dispatch::SendAttempt>()) {
            upstreams.push_back(it.upstream);
            dispatcher.attemptEnded(it.call, it.attempt, Dispatch::AttemptOutcome::Answered, load, now, actions);
        }
        return upstreams;
    }

    // Removes the pending actions of one type and returns them.
    template <class T>
    std::vector<T> take()
    {
        std::vector<T> taken;
        std::erase_if(actions, [&](const Dispatch::Action &it) {
            if (const auto *wanted = std::get_if<T>(&it)) {
                taken.push_back(*wanted);
                return true;
            }
            return false;
        });
        return taken;
    }

    // Advances the clock in steps of 1 ms and answers all probes with the given load.
    void advanceTime(Millis duration, const LoadReport &load)
    {
        for (const auto end = now + duration; now < end; now += 1_ms) {
            dispatcher.tick(now, actions);
            answerProbes(load);
        }
    }

    Retry::TokenBucket tokens{1000, 1000};
    std::vector<UpstreamSpec> specs;
    ServiceDispatcher dispatcher;
    Dispatch::Actions actions;
    Millis now{1000};
};

constexpr LoadReport idleLoad{.running = 0, .waiting = 0, .slots = 3, .slowness = 1};
constexpr LoadReport fullLoad{.running = 3, .waiting = 6, .slots = 3, .slowness = 1};

}

#endif
