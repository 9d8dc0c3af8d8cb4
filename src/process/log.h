#ifndef LABURNUMMAST_PROCESS_LOG_H
#define LABURNUMMAST_PROCESS_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace Laburnummast::Process
{

/// A key and its value in a log line; the value is quoted if needed.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Starts logging to standard output; each line has the time, the level, the process name and an event.
///
/// A separate thread writes the lines, so that callers never block. If standard output is not read and the queue is full, lines are
/// dropped.
void startLog(std::string_view processName);
/// Writes the queued lines and stops the writer thread.
void stopLog();

/// Queues a log line with the name of an event and further fields.
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

}

#endif
