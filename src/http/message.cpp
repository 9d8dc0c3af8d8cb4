#include "http/message.h"

#include "core/text.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

namespace Laburnummast::Http
{
namespace
{

constexpr std::array<std::string_view, 10> hopByHop{"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade",
                                                    "expect"};

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto high = i + 2 < text.size() ? hexDigit(text[i + 1]) : std::nullopt;
        const auto low = i + 2 < text.size() ? hexDigit(text[i + 2]) : std::nullopt;
        if (text[i] == '%' && high && low) {
            decoded.push_back(static_cast<char>(*high * 16 + *low));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

}

std::optional<std::string_view> find(const Headers &headers, std::string_view name)
{
    const auto it
        = std::find_if(headers.begin(), headers.end(), [&](const Header &header) { return Text::equalsIgnoreCase(header.name, name); });
    return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->value);
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHop.begin(), hopByHop.end(), [&](std::string_view it) { return Text::equalsIgnoreCase(it, name); });
}

std::vector<std::string> connectionTokens(const Headers &headers)
{
    std::vector<std::string> tokens;
    for (const auto &header : headers) {
        if (!Text::equalsIgnoreCase(header.name, "connection")) {
            continue;
        }
        for (const auto it : Text::split(header.value, ',')) {
            tokens.emplace_back(it);
        }
    }
    return tokens;
}

bool isValidStatus(int status)
{
    return status >= 100 && status < 600;
}

std::string_view reasonPhrase(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {reason.data(), reason.size()};
}

std::string encodeHead(const Request &request, std::size_t bodyBytes)
{
    auto text = Text::concat(request.method, " ", request.target, " HTTP/1.1\r\n");
    for (const auto &it : request.headers) {
        Text::append(text, it.name, ": ", it.value, "\r\n");
    }
    if (bodyBytes > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        Text::append(text, "Content-Length: ", bodyBytes, "\r\n");
    }
    Text::append(text, "\r\n");
    return text;
}

std::string encode(const Request &request)
{
    return encodeHead(request, request.body.size()) + request.body;
}

std::string encodeHead(const Response &response, bool hasBody)
{
    auto text = Text::concat("HTTP/1.1 ", response.status, " ", reasonPhrase(response.status), "\r\n");
    for (const auto &it : response.headers) {
        Text::append(text, it.name, ": ", it.value, "\r\n");
    }
    if (!response.keepAlive) {
        Text::append(text, "Connection: close\r\n");
    }
    if (hasBody) {
        Text::append(text, "Content-Length: ", response.body.size(), "\r\n");
    }
    Text::append(text, "\r\n");
    return text;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const auto query = Text::splitOnce(target, '?').second;
    for (const auto it : Text::split(query, '&')) {
        const auto [key, value] = Text::splitOnce(it, '=');
        if (key == name) {
            return percentDecoded(value);
        }
    }
    return std::nullopt;
}

}
