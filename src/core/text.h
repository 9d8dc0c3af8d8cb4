#ifndef LABURNUMMAST_CORE_TEXT_H
#define LABURNUMMAST_CORE_TEXT_H

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

/// Text helpers. The string library's views are not the standard ones in the packaged build, so they are converted here.
namespace Laburnummast::Text
{

/// Passes standard views to the string library.
template <class T>
decltype(auto) toAbsl(const T &part)
{
    if constexpr (std::is_same_v<T, std::string_view>) {
        return absl::string_view(part.data(), part.size());
    } else {
        return part;
    }
}

/// One text of all parts: texts and numbers.
template <class... Parts>
std::string concat(const Parts &...parts)
{
    return absl::StrCat(toAbsl(parts)...);
}

template <class... Parts>
void append(std::string &text, const Parts &...parts)
{
    absl::StrAppend(&text, toAbsl(parts)...);
}

/// Lower-case hexadecimal digits of a number.
inline std::string hex(std::uint64_t number)
{
    return absl::StrCat(absl::Hex(number));
}

/// The whole text as a number; nothing if it is not one.
std::optional<std::int64_t> parseInteger(std::string_view text);
std::optional<double> parseNumber(std::string_view text);

std::string_view trim(std::string_view text);
/// Parts between separators without white space at their ends; empty ones are left out.
std::vector<std::string_view> split(std::string_view text, char separator);
/// What stands before and after the first separator; the second part is empty if there is none.
std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator);

std::string join(std::span<const std::string_view> parts, std::string_view separator);
std::string join(std::span<const std::string> parts, std::string_view separator);

bool equalsIgnoreCase(std::string_view a, std::string_view b);

std::string toBase64(std::string_view bytes);
std::optional<std::string> fromBase64(std::string_view text);

}

#endif
