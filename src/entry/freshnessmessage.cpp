#include "entry/freshnessmessage.h"

#include "core/boundedarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cmath>
#include <sstream>

namespace Laburnummast::Entry
{
namespace
{

constexpr std::uint8_t messageFormat = 1;

enum class Kind : std::uint8_t {
    Query,
    Answer,
};

template <class Archive>
void serializeProof(Archive &archive, Fleet::PeerProof &proof)
{
    archive(proof.known.position.era, proof.known.position.offset, proof.known.version, proof.age, proof.isSettled, proof.reader);
}

}

std::string encodeFreshnessMessage(const FreshnessMessage &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        if (const auto *query = std::get_if<FreshnessQuery>(&message)) {
            archive(messageFormat, static_cast<std::uint8_t>(Kind::Query), query->nonce);
        } else {
            auto answer = std::get<FreshnessAnswer>(message);
            archive(messageFormat, static_cast<std::uint8_t>(Kind::Answer), answer.nonce);
            serializeProof(archive, answer.proof);
        }
    }
    return stream.str();
}

Result<FreshnessMessage, FreshnessMessageError> decodeFreshnessMessage(std::string_view bytes)
{
    // The archive reports truncated bytes and lengths beyond their end only by exceptions.
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t format = 0;
        std::uint8_t kind = 0;
        std::uint64_t nonce = 0;
        archive(format);
        if (format != messageFormat) {
            return FreshnessMessageError::UnsupportedFormat;
        }
        archive(kind, nonce);
        if (kind == static_cast<std::uint8_t>(Kind::Query)) {
            return FreshnessMessage(FreshnessQuery{.nonce = nonce});
        }
        if (kind != static_cast<std::uint8_t>(Kind::Answer)) {
            return FreshnessMessageError::Malformed;
        }
        FreshnessAnswer answer{.nonce = nonce, .proof = {}};
        serializeProof(archive, answer.proof);
        if (answer.proof.age && (!std::isfinite(answer.proof.age->count) || answer.proof.age->count < 0)) {
            return FreshnessMessageError::Malformed;
        }
        return FreshnessMessage(std::move(answer));
    } catch (const std::exception &) {
        return FreshnessMessageError::Malformed;
    }
}

}
