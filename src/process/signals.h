#ifndef LABURNUMMAST_PROCESS_SIGNALS_H
#define LABURNUMMAST_PROCESS_SIGNALS_H

#include "core/millis.h"

#include <optional>

namespace Laburnummast::Process
{

/// Blocks SIGTERM, SIGINT and SIGHUP for this and all later threads, and ignores SIGPIPE.
void blockSignals();

/// Waits for one of the blocked signals; nothing if none came in time.
std::optional<int> waitForSignal(Millis timeout);

}

#endif
