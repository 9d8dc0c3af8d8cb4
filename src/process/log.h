#ifndef LABURNUMMAST_PROCESS_LOG_H
#define LABURNUMMAST_PROCESS_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace Laburnummast::Process
{

/// One named value of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Sends log lines to standard output; each carries the time, the level, the process's name and an event.
///
/// A thread of its own writes them: who logs never waits, and lines are dropped while nobody reads them.
void startLog(std::string_view processName);
/// Writes what is queued and ends the thread.
void stopLog();

void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

}

#endif
