#ifndef LABURNUMMAST_CORE_KEYEDHASH_H
#define LABURNUMMAST_CORE_KEYEDHASH_H

#include <string>
#include <string_view>

namespace Laburnummast
{

/// Length of a keyed hash in bytes.
constexpr std::size_t keyedHashBytes = 16;

/// HMAC-SHA-256 of `text`, truncated to `keyedHashBytes`.
std::string keyedHash(std::string_view key, std::string_view text);

/// SHA-256 of `text` in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Compares two texts in a time that does not depend on where they differ; texts of unequal length differ at once.
bool equalInConstantTime(std::string_view a, std::string_view b);

}

#endif
