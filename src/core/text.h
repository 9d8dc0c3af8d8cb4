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

/// Text helpers. In the packaged build of Abseil absl::string_view is not std::string_view, so views are converted here.
namespace Laburnummast::Text
{

/// Converts a std::string_view to Abseil's type and returns any other argument as it is.
template <class T>
decltype(auto) toAbsl(const T &part)
{
    if constexpr (std::is_same_v<T, std::string_view>) {
        return absl::string_view(part.data(), part.size());
    } else {
        return part;
    }
}

/// Concatenates texts and numbers.
template <class... Parts>
std::string concat(const Parts &...parts)
{
    return absl::StrCat(toAbsl(parts)...);
}

/// Appends texts and numbers to `text`.
template <class... Parts>
void append(std::string &text, const Parts &...parts)
{
    absl::StrAppend(&text, toAbsl(parts)...);
}

/// Formats a number in lower-case hexadecimal.
inline std::string hex(std::uint64_t number)
{
    return absl::StrCat(absl::Hex(number));
}

/// Parse the whole text as a number; empty if it is not a finite one.
std::optional<std::int64_t> parseInteger(std::string_view text);
std::optional<double> parseNumber(std::string_view text);

/// Removes white space from both ends.
std::string_view trim(std::string_view text);
/// Splits a text at every separator, trims the parts and leaves out empty ones.
std::vector<std::string_view> split(std::string_view text, char separator);
/// Splits a text at the first separator; the second part is empty if there is none.
std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator);

std::string join(std::span<const std::string_view> parts, std::string_view separator);
std::string join(std::span<const std::string> parts, std::string_view separator);

/// Compares two texts without regard to the case of ASCII letters.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

std::string toBase64(std::string_view bytes);
/// Decodes Base64; empty if the text is not valid.
std::optional<std::string> fromBase64(std::string_view text);

}

#endif
