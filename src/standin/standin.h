#ifndef LABURNUMMAST_STANDIN_STANDIN_H
#define LABURNUMMAST_STANDIN_STANDIN_H

// Entry points of the subcommands. Each reads its command-line flags and returns the exit code of the process.
namespace Laburnummast::Standin
{

/// Runs the stand-in for the platform's log service.
int runLog();
/// Runs the stand-in for the platform's host list, which shows changes only after a delay.
int runHosts();
/// Runs a stand-in upstream.
int runUpstream();
/// Runs a load generator that retries calls as the call interface requires.
///
/// Returns 1 if a call was lost, an upstream received an incomplete request body, or the calls that the upstreams executed do not
/// match the outcomes that the callers received; 2 if a flag is missing or malformed.
int runCaller();

}

#endif
