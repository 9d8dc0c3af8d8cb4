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

/// Lines on single calls, bounded a second; what was left out is counted and told with the next line.
class CallLog
{
public:
    void write(std::string_view event, Millis now, std::initializer_list<Process::LogField> fields);
    std::uint64_t suppressedCount() const
    {
        return m_suppressed;
    }

private:
    // Lines a second and at once: some hundred calls a second leave one line each, a flood does not fill the disk.
    static constexpr double linesPerSecond = 200;
    static constexpr double burst = 400;

    Retry::TokenBucket m_tokens{linesPerSecond, burst};
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_reportedSuppressed = 0;
};

}

#endif
