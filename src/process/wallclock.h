#ifndef LABURNUMMAST_PROCESS_WALLCLOCK_H
#define LABURNUMMAST_PROCESS_WALLCLOCK_H

#include "core/millis.h"

#include <chrono>
#include <ctime>

namespace Laburnummast::Process
{

/// Monotonic time since an unspecified start.
inline Millis steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration<double, std::milli>(now).count()};
}

/// Wall-clock time since the Unix epoch of 1970.
inline Millis wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration<double, std::milli>(now).count()};
}

/// Monotonic time since an unspecified start that also counts the time for which the host is suspended, unlike steadyNow().
inline Millis bootNow()
{
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return {static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6};
}

inline std::chrono::duration<double, std::milli> toChrono(Millis span)
{
    return std::chrono::duration<double, std::milli>(span.count);
}

}

#endif
