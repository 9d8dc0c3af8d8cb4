#ifndef LABURNUMMAST_ENTRY_FRESHNESSMESSAGE_H
#define LABURNUMMAST_ENTRY_FRESHNESSMESSAGE_H

#include "core/fleet/freshness.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Laburnummast::Entry
{

/// Asks a daemon for its latest proof that its configuration is current.
struct FreshnessQuery
{
    /// Returned with the answer.
    std::uint64_t nonce = 0;
};

/// Answer to a FreshnessQuery.
struct FreshnessAnswer
{
    std::uint64_t nonce = 0;
    Fleet::PeerProof proof;
};

using FreshnessMessage = std::variant<FreshnessQuery, FreshnessAnswer>;

/// Why a datagram is not a FreshnessMessage.
enum class FreshnessMessageError : std::uint8_t {
    Malformed,
    UnsupportedFormat,
};

std::string encodeFreshnessMessage(const FreshnessMessage &message);
Result<FreshnessMessage, FreshnessMessageError> decodeFreshnessMessage(std::string_view bytes);

}

#endif
