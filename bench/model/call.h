#ifndef LABURNUMMAST_MODEL_CALL_H
#define LABURNUMMAST_MODEL_CALL_H

#include "core/millis.h"
#include "core/priority.h"

#include <cstdint>

namespace Laburnummast::Model
{

enum class CallOutcome : std::uint8_t {
    Open,
    Done,
    NotRun,
    Unknown,
};

/// One call of a modelled caller, with what became of it.
struct Call
{
    Priority priority = Priority::Normal;
    int partner = 0;
    bool idempotent = false;
    Millis created;
    Millis deadline;
    int caller = 0;
    int entry = -1;
    int executions = 0;
    CallOutcome outcome = CallOutcome::Open;
    Millis ended;

    Millis latency() const
    {
        return ended - created;
    }
};

}

#endif
