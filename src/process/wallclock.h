#ifndef LABURNUMMAST_PROCESS_WALLCLOCK_H
#define LABURNUMMAST_PROCESS_WALLCLOCK_H

#include "core/millis.h"

#include <chrono>

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

inline std::chrono::duration<double, std::milli> toChrono(Millis span)
{
    return std::chrono::duration<double, std::milli>(span.count);
}

}

#endif
