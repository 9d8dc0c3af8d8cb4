#include "http/rejectreason.h"

#include <array>
#include <boost/beast/http/error.hpp>

namespace Laburnummast::Http
{

std::string_view nameOf(RejectReason reason)
{
    constexpr std::array<std::string_view, rejectReasonCount> names{
        "malformed", "head-too-large", "body-too-large", "incomplete", "draining", "no-memory"};
    return names[static_cast<std::size_t>(reason)];
}

RejectReason reasonOf(const boost::system::error_code &ec)
{
    if (ec == boost::beast::http::error::header_limit || ec == boost::beast::http::error::buffer_overflow) {
        return RejectReason::HeadTooLarge;
    }
    return ec == boost::beast::http::error::body_limit ? RejectReason::BodyTooLarge : RejectReason::Malformed;
}

int statusOf(RejectReason reason, bool provisional)
{
    switch (reason) {
    case RejectReason::Malformed:
        return 400;
    case RejectReason::HeadTooLarge:
        return provisional ? 503 : 431;
    case RejectReason::BodyTooLarge:
        return provisional ? 503 : 413;
    case RejectReason::Incomplete:
        return 408;
    case RejectReason::Draining:
    case RejectReason::NoMemory:
        return 503;
    }
    return 400;
}

}
