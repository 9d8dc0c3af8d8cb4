#ifndef LABURNUMMAST_CORE_PRIORITY_H
#define LABURNUMMAST_CORE_PRIORITY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Laburnummast
{

/// Priority of a call, most urgent first.
enum class Priority : std::uint8_t {
    Urgent,
    Normal,
    Deferrable,
};

constexpr std::size_t priorityCount = 3;
/// Names of the priorities, indexed by `Priority`.
constexpr std::array<std::string_view, priorityCount> priorityNames{"urgent", "normal", "deferrable"};

constexpr std::size_t indexOf(Priority priority)
{
    return static_cast<std::size_t>(priority);
}

constexpr std::string_view nameOf(Priority priority)
{
    return priorityNames[indexOf(priority)];
}

}

#endif
