#ifndef LABURNUMMAST_CORE_KEYEDHASH_H
#define LABURNUMMAST_CORE_KEYEDHASH_H

#include <string>
#include <string_view>

namespace Laburnummast
{

constexpr std::size_t keyedHashBytes = 16;

/// HMAC-SHA-256 of `text`, cut to `keyedHashBytes`.
std::string keyedHash(std::string_view key, std::string_view text);

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

}

#endif
