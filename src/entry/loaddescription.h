#ifndef LABURNUMMAST_ENTRY_LOADDESCRIPTION_H
#define LABURNUMMAST_ENTRY_LOADDESCRIPTION_H

#include "core/placement/servicedispatcher.h"

#include <string>

namespace Laburnummast::Entry
{

/// Formats the load report of an upstream as RUNNING+WAITING/SLOTSxSLOWNESS@AGE, with the slowness in percent.
///
/// Without a report it gives the calls of this daemon that are in flight there.
std::string describeLoad(const Placement::UpstreamView &view, Millis now);

/// Formats the values on which a refusal is based.
std::string describeDispatcher(const Placement::ServiceDispatcher &dispatcher, Millis now);

}

#endif
