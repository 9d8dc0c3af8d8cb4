#ifndef LABURNUMMAST_ENTRY_ATTEMPTOUTCOME_H
#define LABURNUMMAST_ENTRY_ATTEMPTOUTCOME_H

#include "core/dispatch/call.h"
#include "entry/call.h"
#include "http/clientconnection.h"

namespace Laburnummast::Entry
{

/// Outcome of an attempt without a response.
Dispatch::AttemptOutcome outcomeOf(Http::ClientError error);
/// Outcome of an attempt with a response.
Dispatch::AttemptOutcome outcomeOf(AnswerKind kind);

}

#endif
