#ifndef LABURNUMMAST_HTTP_MESSAGE_H
#define LABURNUMMAST_HTTP_MESSAGE_H

#include <cstddef>
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

/// A whole request.
struct Request
{
    std::string method;
    /// Path and query as they were sent.
    std::string target;
    Headers headers;
    std::string body;
    bool keepAlive = true;
};

/// A whole response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
    bool keepAlive = true;
};

/// Value of the first header of that name, in any case; nothing if there is none.
std::optional<std::string_view> find(const Headers &headers, std::string_view name);

/// Whether a header speaks of one connection only and is never forwarded.
bool isHopByHop(std::string_view name);

/// Names that the sender's own `Connection` header adds to the hop-by-hop ones.
std::vector<std::string> connectionTokens(const Headers &headers);

std::string_view reasonPhrase(int status);

/// Bytes of a request on the wire; the length of the body is added.
std::string encode(const Request &request);

/// Bytes of a response on the wire; the length of the body is added unless `hasBody` is false.
std::string encode(const Response &response, bool hasBody);

/// Path of a target, without its query.
std::string_view pathOf(std::string_view target);
/// Decoded value of a query parameter; nothing if it is not there.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

}

#endif
