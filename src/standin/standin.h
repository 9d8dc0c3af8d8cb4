#ifndef LABURNUMMAST_STANDIN_STANDIN_H
#define LABURNUMMAST_STANDIN_STANDIN_H

namespace Laburnummast::Standin
{

/// Append-only log service with offsets.
int runLog();
/// Lagging list of live and leaving hosts.
int runHosts();
/// Server with slots that answers the calls of a service.
int runUpstream();
/// Load generator that behaves as the callers' interface asks.
int runCaller();

}

#endif
