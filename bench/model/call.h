#ifndef LABURNUMMAST_MODEL_CALL_H
#define LABURNUMMAST_MODEL_CALL_H

#include "core/millis.h"
#include "core/priority.h"

#include <cstdint>

namespace Laburnummast::Model
{

/// Outcome of a simulated call as its caller sees it.
enum class CallOutcome : std::uint8_t {
    /// Not ended yet.
    Open,
    /// The caller received an answer.
    Done,
    /// Refused, or no entry host accepted the connection; the call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
};

/// A call of a simulated caller and its outcome.
struct Call
{
    Priority priority = Priority::Normal;
    /// Index of the partner that the call is accounted to.
    int partner = 0;
    bool idempotent = false;
    Millis created;
    /// Point in time after which the entry host abandons the call.
    Millis deadline;
    /// Index of the caller.
    int caller = 0;
    /// Index of the entry host that received the call last; -1 if there was none.
    int entry = -1;
    /// How often a worker started to run the call.
    int executions = 0;
    CallOutcome outcome = CallOutcome::Open;
    /// Point in time at which the caller learned the outcome; valid unless the call is open.
    Millis ended;

    /// Time that the caller waited; valid unless the call is open.
    Millis latency() const
    {
        return ended - created;
    }
};

}

#endif
