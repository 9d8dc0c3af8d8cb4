#ifndef LABURNUMMAST_HTTP_CONTENTCODING_H
#define LABURNUMMAST_HTTP_CONTENTCODING_H

#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace Laburnummast::Http
{

/// Content coding of compressed bodies, for the headers `Accept-Encoding` and `Content-Encoding`.
constexpr std::string_view compressedCoding = "zstd";

/// Whether the client accepts a compressed body.
bool acceptsCompressed(const Request &request);
/// Compresses the body and adds the header that says so.
void compressBody(Response &response);
/// Returns the body without its content coding; nothing if it cannot be decoded or is larger than 64 MB.
std::optional<std::string> decompressedBody(const Response &response);

}

#endif
