#ifndef LABURNUMMAST_PROCESS_SIGNALS_H
#define LABURNUMMAST_PROCESS_SIGNALS_H

#include "core/millis.h"

#include <optional>

namespace Laburnummast::Process
{

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and the threads that it starts later, and ignores SIGPIPE.
void blockSignals();

/// Waits for one of the blocked signals and returns its number; `std::nullopt` if none arrives within `timeout`.
std::optional<int> waitForSignal(Millis timeout);

}

#endif
