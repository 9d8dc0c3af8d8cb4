#include "core/placement/opencall.h"

#include <algorithm>

namespace Laburnummast::Placement
{

Millis OpenCall::nextDue() const
{
    const auto finalDue = activeAttempts.empty() ? spec.deadline : spec.deadline + answerGrace;
    switch (search) {
    case Search::None:
        return hedgeAt < spec.deadline ? hedgeAt : finalDue;
    case Search::First:
    case Search::Retry:
    case Search::Hedge:
        return std::min(finalDue, nextStepAt);
    }
    return finalDue;
}

HealthSignal healthSignalOf(const Attempt &attempt, AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return HealthSignal::Success;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Incomplete:
    case AttemptOutcome::TimedOut:
        return HealthSignal::Failure;
    case AttemptOutcome::Shed:
        // A full upstream may refuse calls; one that reported a free slot and still refuses is failing.
        return attempt.reportedFreeSlot ? HealthSignal::Failure : HealthSignal::None;
    default:
        return HealthSignal::None;
    }
}

}
