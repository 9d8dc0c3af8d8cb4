#ifndef LABURNUMMAST_HTTP_REJECTREASON_H
#define LABURNUMMAST_HTTP_REJECTREASON_H

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Laburnummast::Http
{

/// Why a request was rejected before it was passed to the handler.
enum class RejectReason : std::uint8_t {
    /// The received bytes are not a valid HTTP request.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    /// The request was not received completely in time.
    Incomplete,
    /// The listener was about to close before the request had been received completely.
    Draining,
    /// There was no memory for the body.
    NoMemory,
};

constexpr std::size_t rejectReasonCount = 6;
/// Name of a reason in lower case with hyphens.
std::string_view nameOf(RejectReason reason);

/// Reason for an error of the parser.
RejectReason reasonOf(const boost::system::error_code &ec);
/// Status of the response. Under `provisional` limits it is 503 for a request beyond the sizes: the limits that apply may allow it.
int statusOf(RejectReason reason, bool provisional);

}

#endif
