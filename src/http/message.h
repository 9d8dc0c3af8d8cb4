#ifndef LABURNUMMAST_HTTP_MESSAGE_H
#define LABURNUMMAST_HTTP_MESSAGE_H

#include "core/bufferbudget.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Http
{

struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// A complete request.
struct Request
{
    std::string method;
    /// Path and query as sent, without percent-decoding.
    std::string target;
    Headers headers;
    std::string body;
    /// Memory that is reserved for the body; null if it is not counted.
    std::shared_ptr<BufferReservation> reservation = nullptr;
    /// Whether the connection stays open after the response.
    bool keepAlive = true;
};

/// A complete response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
    /// Memory that is reserved for the body; null if it is not counted.
    std::shared_ptr<BufferReservation> reservation = nullptr;
    /// Whether the connection stays open after this response.
    bool keepAlive = true;
};

/// Value of the first header named `name`, compared without case; `std::nullopt` if there is none.
std::optional<std::string_view> find(const Headers &headers, std::string_view name);

/// Whether a header applies to a single connection and must not be forwarded.
bool isHopByHop(std::string_view name);

/// Names of further hop-by-hop headers that the `Connection` headers of a message list.
std::vector<std::string> connectionTokens(const Headers &headers);

/// Whether a response can have this status code: 100 to 599; RFC 9110, section 15.
bool isValidStatus(int status);

/// Standard reason phrase of a status code; a placeholder for an unknown code.
std::string_view reasonPhrase(int status);

/// Encodes the head of a request whose body has `bodyBytes`; adds `Content-Length` if that is not 0 or the method is POST, PUT or PATCH.
std::string encodeHead(const Request &request, std::size_t bodyBytes);
/// Encodes a request for the wire, with its body.
std::string encode(const Request &request);

/// Encodes the head of a response; `Content-Length` is omitted if `hasBody` is false.
std::string encodeHead(const Response &response, bool hasBody);

/// Path of a target, without its query.
std::string_view pathOf(std::string_view target);
/// Percent-decoded value of a query parameter, with `+` decoded as a space; `std::nullopt` if it is missing.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

}

#endif
