#ifndef LABURNUMMAST_STANDIN_STANDIN_H
#define LABURNUMMAST_STANDIN_STANDIN_H

// Entry points of the subcommands. Each reads its command-line flags and returns the exit code of the process.
namespace Laburnummast::Standin
{

/// Runs the simulated log service.
int runLog();
/// Runs the simulated host list, which shows changes only after a delay.
int runHosts();
/// Runs a simulated upstream.
int runUpstream();
/// Runs a load generator that retries calls as the call interface requires.
///
/// Returns 1 if calls were lost or cut off, or if the upstreams executed other calls than the callers were told.
int runCaller();

}

#endif
