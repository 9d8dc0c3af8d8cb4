#include "http/contentcoding.h"

#include "core/text.h"

#include <zstd.h>

namespace Laburnummast::Http
{
namespace
{

// The fastest level: the bodies are sent once, and hosts have a small share of a processor.
constexpr int compressionLevel = 1;
constexpr unsigned long long maxDecompressedBytes = 67108864;

}

bool acceptsCompressed(const Request &request)
{
    return find(request.headers, "Accept-Encoding") == compressedCoding;
}

void compressBody(Response &response)
{
    std::string compressed(ZSTD_compressBound(response.body.size()), '\0');
    const auto n = ZSTD_compress(compressed.data(), compressed.size(), response.body.data(), response.body.size(), compressionLevel);
    if (ZSTD_isError(n) != 0) {
        return;
    }
    compressed.resize(n);
    response.body = std::move(compressed);
    response.headers.push_back({"Content-Encoding", std::string(compressedCoding)});
}

std::optional<std::string> decompressedBody(const Response &response)
{
    const auto coding = find(response.headers, "Content-Encoding");
    if (!coding) {
        return response.body;
    }
    const auto size = ZSTD_getFrameContentSize(response.body.data(), response.body.size());
    // Unknown and invalid sizes are values above any valid one.
    if (*coding != compressedCoding || size > maxDecompressedBytes) {
        return std::nullopt;
    }
    std::string body(size, '\0');
    const auto n = ZSTD_decompress(body.data(), body.size(), response.body.data(), response.body.size());
    if (ZSTD_isError(n) != 0 || n != size) {
        return std::nullopt;
    }
    return body;
}

}
