#include "http/contentcoding.h"

#include <doctest/doctest.h>

using namespace Laburnummast::Http;

namespace
{

Response compressedResponse(const std::string &body)
{
    Response response{.status = 200, .headers = {}, .body = body};
    compressBody(response);
    return response;
}

}

TEST_CASE("A compressed body is shorter and is decompressed to what it was")
{
    const std::string body(100000, 'x');
    const auto response = compressedResponse(body);
    CHECK(find(response.headers, "Content-Encoding") == compressedCoding);
    CHECK(response.body.size() < 1000);
    CHECK(decompressedBody(response) == body);
    CHECK(decompressedBody(Response{.status = 200, .headers = {}, .body = "plain"}) == "plain");
}

TEST_CASE("A body that is truncated, too large or of an unknown coding is not decompressed")
{
    auto response = compressedResponse(std::string(100000, 'x'));
    response.body.resize(response.body.size() - 1);
    CHECK_FALSE(decompressedBody(response));
    std::string large;
    large.resize(67108865);
    CHECK_FALSE(decompressedBody(compressedResponse(large)));
    CHECK_FALSE(decompressedBody(Response{.status = 200, .headers = {{"Content-Encoding", "gzip"}}, .body = "?"}));
}
