#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <cmath>

namespace Laburnummast::Text
{

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(toAbsl(text), &number) ? std::optional(number) : std::nullopt;
}

std::optional<double> parseNumber(std::string_view text)
{
    double number = 0;
    return absl::SimpleAtod(toAbsl(text), &number) && std::isfinite(number) ? std::optional(number) : std::nullopt;
}

std::string_view trim(std::string_view text)
{
    const auto trimmed = absl::StripAsciiWhitespace(toAbsl(text));
    return {trimmed.data(), trimmed.size()};
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto [first, rest] = splitOnce(text, separator);
        if (const auto part = trim(first); !part.empty()) {
            parts.push_back(part);
        }
        text = rest;
    }
    return parts;
}

std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator)
{
    const auto at = text.find(separator);
    if (at == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

std::string join(std::span<const std::string_view> parts, std::string_view separator)
{
    return absl::StrJoin(parts, toAbsl(separator), [](std::string *out, std::string_view part) { out->append(part); });
}

std::string join(std::span<const std::string> parts, std::string_view separator)
{
    return absl::StrJoin(parts, toAbsl(separator));
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(toAbsl(a), toAbsl(b));
}

std::string toBase64(std::string_view bytes)
{
    return absl::Base64Escape(toAbsl(bytes));
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes;
    return absl::Base64Unescape(toAbsl(text), &bytes) ? std::optional(std::move(bytes)) : std::nullopt;
}

}
