#ifndef LABURNUMMAST_NET_HTTPCLIENT_H
#define LABURNUMMAST_NET_HTTPCLIENT_H

#include "core/millis.h"
#include "core/result.h"
#include "net/httpserver.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Net
{

enum class HttpError : std::uint8_t {
    CannotConnect,
    /// The connection failed while the request was being written.
    WriteFailed,
    TimedOut,
    /// The peer closed before or within its answer.
    BrokenOff,
    /// The answer is not HTTP, or longer than its bound.
    Malformed,
};

std::string_view nameOf(HttpError error);

struct ClientRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string_view body;
    /// Length of a body that follows in pieces; -1 for chunked pieces.
    std::optional<std::int64_t> streamedLength;
};

struct ResponseHead
{
    int status = 0;
    std::vector<Header> headers;
    /// Nothing for a chunked body or one that ends with the connection.
    std::optional<std::int64_t> contentLength;

    std::optional<std::string_view> header(std::string_view name) const;
};

struct ClientResponse
{
    ResponseHead head;
    std::string body;
};

/// One client connection that is kept alive between exchanges.
class HttpConnection
{
public:
    static Result<HttpConnection, HttpError> connect(const Address &address);

    ~HttpConnection();
    HttpConnection(HttpConnection &&other) noexcept;
    HttpConnection &operator=(HttpConnection &&other) noexcept;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request and reads the whole answer of at most `maxBody` bytes.
    Result<ClientResponse, HttpError> exchange(const ClientRequest &request, Millis timeout, std::size_t maxBody);

    std::optional<HttpError> sendRequest(const ClientRequest &request);
    bool sendBodyData(std::string_view data, bool chunked);
    bool sendLastChunk();
    Result<ResponseHead, HttpError> readHead(Millis timeout);
    /// Reads some of the body; 0 at its end, less than 0 if it broke off.
    std::int64_t read(std::span<char> buf);

    /// Whether the last answer was read whole and the peer keeps the connection.
    bool reusable() const
    {
        return m_reusable;
    }
    Millis openedAt() const
    {
        return m_openedAt;
    }
    bool usedBefore() const
    {
        return m_exchanges > 0;
    }

private:
    explicit HttpConnection(mg_connection *connection, const Address &address);

    mg_connection *m_connection = nullptr;
    Address m_address;
    Millis m_openedAt;
    std::optional<std::int64_t> m_contentLength;
    std::int64_t m_bodyBytesRead = 0;
    bool m_bodyless = false;
    bool m_keepAlive = false;
    bool m_reusable = false;
    int m_exchanges = 0;
};

/// One request over a new connection.
Result<ClientResponse, HttpError> fetch(const Address &address, const ClientRequest &request, Millis timeout, std::size_t maxBody);

}

#endif
