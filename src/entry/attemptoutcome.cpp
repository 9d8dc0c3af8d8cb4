#include "entry/attemptoutcome.h"

namespace Laburnummast::Entry
{

using Dispatch::AttemptOutcome;

AttemptOutcome outcomeOf(Http::ClientError error)
{
    switch (error) {
    case Http::ClientError::CannotConnect:
        return AttemptOutcome::NotSent;
    case Http::ClientError::TimedOut:
        return AttemptOutcome::TimedOut;
    case Http::ClientError::Cancelled:
        return AttemptOutcome::Cancelled;
    case Http::ClientError::ConnectionLost:
    case Http::ClientError::Malformed:
    case Http::ClientError::TooLarge:
        return AttemptOutcome::Incomplete;
    }
    return AttemptOutcome::Incomplete;
}

AttemptOutcome outcomeOf(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Success:
        return AttemptOutcome::Answered;
    case AnswerKind::Failure:
        return AttemptOutcome::Failed;
    case AnswerKind::NotRun:
        return AttemptOutcome::Shed;
    case AnswerKind::WrongInstance:
        return AttemptOutcome::NotSent;
    case AnswerKind::Unusable:
        return AttemptOutcome::Incomplete;
    }
    return AttemptOutcome::Incomplete;
}

}
