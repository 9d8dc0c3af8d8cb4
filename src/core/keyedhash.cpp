#include "core/keyedhash.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace Laburnummast
{
namespace
{

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

}

std::string keyedHash(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(text), text.size(), buf.data(), &n);
    return {reinterpret_cast<const char *>(buf.data()), keyedHashBytes};
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return absl::BytesToHexString({reinterpret_cast<const char *>(buf.data()), n});
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}
