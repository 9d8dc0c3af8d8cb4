#ifndef LABURNUMMAST_ENTRY_CALLLOG_H
#define LABURNUMMAST_ENTRY_CALLLOG_H

#include "core/millis.h"
#include "core/retry/tokenbucket.h"
#include "process/log.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace Laburnummast::Entry
{

/// Logs single calls at a limited rate.
///
/// Lines beyond the rate are suppressed and counted; their number is logged before the next line that is written.
class CallLog
{
public:
    /// Logs a line with the name of an event and further fields, unless the rate is exceeded.
    void write(std::string_view event, Millis now, std::initializer_list<Process::LogField> fields);
    /// Number of suppressed lines since the start.
    std::uint64_t suppressedCount() const
    {
        return m_suppressed;
    }

private:
    // Up to a few hundred calls per second get a line each, while a flood of calls does not fill the disk.
    static constexpr double linesPerSecond = 200;
    static constexpr double burst = 400;

    Retry::TokenBucket m_tokens{linesPerSecond, burst};
    std::uint64_t m_suppressed = 0;
    /// Suppressed lines whose number has been logged.
    std::uint64_t m_reportedSuppressed = 0;
};

}

#endif
